//! Callers' requests while they are open, and the way back to the caller.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, channel, combinators::UnsyncBoxBody};
use hyper::{HeaderMap, Response, StatusCode, http::request};
use siskinstile_gateway::{Name, request as gateway};
use tokio::sync::oneshot;

/// Parts of a stream that wait for a caller that takes them slowly.
const STREAM_DEPTH: usize = 16;

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The part of a streamed body that is written to; dropping it unfinished breaks the stream off.
#[derive(Debug)]
struct Writer(Option<channel::Sender<Bytes, io::Error>>);

impl Drop for Writer {
    fn drop(&mut self) {
        if let Some(sender) = self.0.take() {
            sender.abort(io::ErrorKind::ConnectionAborted.into());
        }
    }
}

/// The caller's stream while a call writes to it; goes back to the table when it is dropped.
#[derive(Debug)]
pub struct Lent {
    table: Rc<Table>,
    id: gateway::Id,
    writer: Option<Writer>,
    /// Identifier of the last event that was written.
    pub last: Option<Name>,
}

impl Lent {
    /// Writes bytes; returns whether the caller still takes them.
    pub async fn write(&mut self, bytes: Bytes) -> bool {
        match self.writer.as_mut().and_then(|it| it.0.as_mut()) {
            Some(sender) => sender.send_data(bytes).await.is_ok(),
            None => false,
        }
    }

    /// Ends the stream as complete.
    pub fn finish(mut self) {
        if let Some(mut writer) = self.writer.take() {
            writer.0.take();
        }
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        if let Some(writer) = self.writer.take() {
            self.table.put_back(self.id, writer, self.last.take());
        }
    }
}

/// A caller's request with the way back.
#[derive(Debug)]
struct Exchange {
    sent: Rc<(request::Parts, Bytes)>,
    trace: Name,
    respond: Option<oneshot::Sender<Response<Body>>>,
    writer: Option<Writer>,
    last: Option<Name>,
}

/// The open requests of this process.
#[derive(Debug, Default)]
pub struct Table {
    open: RefCell<HashMap<gateway::Id, Exchange>>,
}

impl Table {
    /// Adds a request; the receiver gets the head of its answer.
    pub fn open(
        &self,
        id: gateway::Id,
        trace: Name,
        sent: (request::Parts, Bytes),
    ) -> oneshot::Receiver<Response<Body>> {
        let (respond, answer) = oneshot::channel();
        let exchange = Exchange {
            sent: Rc::new(sent),
            trace,
            respond: Some(respond),
            writer: None,
            last: None,
        };
        self.open.borrow_mut().insert(id, exchange);
        answer
    }

    /// Returns a request as it was sent, with the caller's identifier of it.
    pub fn sent(&self, id: gateway::Id) -> Option<(Rc<(request::Parts, Bytes)>, Name)> {
        self.open.borrow().get(&id).map(|it| (it.sent.clone(), it.trace.clone()))
    }

    /// Gives a whole answer to the caller.
    pub fn answer(&self, id: gateway::Id, head: (StatusCode, HeaderMap), body: Bytes) {
        let Some(exchange) = self.open.borrow_mut().remove(&id) else { return };
        if let Some(respond) = exchange.respond {
            // A caller that has left takes no answer.
            let _ = respond.send(response(head, Full::new(body).map_err(never).boxed_unsync()));
        }
    }

    /// Begins a streamed answer, or goes on with the one that has begun.
    pub fn stream(
        self: &Rc<Table>,
        id: gateway::Id,
        head: (StatusCode, HeaderMap),
    ) -> Option<Lent> {
        let mut open = self.open.borrow_mut();
        let exchange = open.get_mut(&id)?;
        if let Some(respond) = exchange.respond.take() {
            let (sender, body) = channel::Channel::<Bytes, io::Error>::new(STREAM_DEPTH);
            // A caller that has left takes no answer.
            let _ = respond.send(response(head, body.boxed_unsync()));
            exchange.writer = Some(Writer(Some(sender)));
        }
        let (writer, last) = (exchange.writer.take()?, exchange.last.clone());
        Some(Lent { table: self.clone(), id, writer: Some(writer), last })
    }

    fn put_back(&self, id: gateway::Id, writer: Writer, last: Option<Name>) {
        if let Some(exchange) = self.open.borrow_mut().get_mut(&id) {
            exchange.writer = Some(writer);
            exchange.last = last;
        }
    }

    /// Ends a request with an error; a stream that has begun is broken off.
    pub fn fail(&self, id: gateway::Id, refusal: impl FnOnce(&str) -> Response<Bytes>) {
        let Some(exchange) = self.open.borrow_mut().remove(&id) else { return };
        if let Some(respond) = exchange.respond {
            let answer = refusal(&exchange.trace);
            let _ = respond.send(answer.map(|it| Full::new(it).map_err(never).boxed_unsync()));
        }
    }

    /// Forgets a request.
    pub fn close(&self, id: gateway::Id) {
        self.open.borrow_mut().remove(&id);
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }
}

fn response((status, headers): (StatusCode, HeaderMap), body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn never(never: std::convert::Infallible) -> io::Error {
    match never {}
}
