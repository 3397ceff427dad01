//! Callers' open requests, and the channels through which their responses are sent.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, channel, combinators::UnsyncBoxBody};
use hyper::{HeaderMap, Response, StatusCode, http::request};
use siskinstile_gateway::{Name, request as gateway};
use tokio::sync::oneshot;

/// Chunks of a stream that are buffered for a slow caller before the endpoint is throttled.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The sending half of a streamed body; dropping it before the end aborts the caller's stream.
#[derive(Debug)]
struct Writer(Option<channel::Sender<Bytes, io::Error>>);

impl Drop for Writer {
    fn drop(&mut self) {
        if let Some(sender) = self.0.take() {
            sender.abort(io::ErrorKind::ConnectionAborted.into());
        }
    }
}

/// A caller's response stream while a call writes to it.
///
/// Dropping it unfinished returns the stream to the table, so that another call can continue it.
#[derive(Debug)]
pub struct Stream {
    table: Rc<Table>,
    id: gateway::Id,
    writer: Option<Writer>,
    /// Identifier of the last event that was written to the caller.
    pub last_event: Option<Name>,
}

impl Stream {
    /// Writes bytes and waits while the caller's buffer is full; returns false once the caller has
    /// disconnected.
    pub async fn write(&mut self, bytes: Bytes) -> bool {
        match self.writer.as_mut().and_then(|it| it.0.as_mut()) {
            Some(sender) => sender.send_data(bytes).await.is_ok(),
            None => false,
        }
    }

    /// Ends the stream normally, so that the caller receives a complete response.
    pub fn finish(mut self) {
        if let Some(mut writer) = self.writer.take() {
            writer.0.take();
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if let Some(writer) = self.writer.take() {
            self.table.put_back(self.id, writer, self.last_event.take());
        }
    }
}

/// A caller's request and the state of its response.
#[derive(Debug)]
struct Exchange {
    original: Rc<(request::Parts, Bytes)>,
    request_id: Name,
    respond: Option<oneshot::Sender<Response<Body>>>,
    writer: Option<Writer>,
    last_event: Option<Name>,
}

/// The open requests of this process.
#[derive(Debug, Default)]
pub struct Table {
    open: RefCell<HashMap<gateway::Id, Exchange>>,
}

impl Table {
    /// Adds a request; the receiver gets its response once the head is known.
    pub fn open(
        &self,
        id: gateway::Id,
        request_id: Name,
        original: (request::Parts, Bytes),
    ) -> oneshot::Receiver<Response<Body>> {
        let (respond, response) = oneshot::channel();
        let exchange = Exchange {
            original: Rc::new(original),
            request_id,
            respond: Some(respond),
            writer: None,
            last_event: None,
        };
        self.open.borrow_mut().insert(id, exchange);
        response
    }

    /// Returns the original request and the identifier that the caller gave it.
    pub fn original(&self, id: gateway::Id) -> Option<(Rc<(request::Parts, Bytes)>, Name)> {
        self.open.borrow().get(&id).map(|it| (it.original.clone(), it.request_id.clone()))
    }

    /// Sends a complete response to the caller and removes the request.
    pub fn respond(&self, id: gateway::Id, head: (StatusCode, HeaderMap), body: Bytes) {
        let Some(exchange) = self.open.borrow_mut().remove(&id) else { return };
        if let Some(respond) = exchange.respond {
            // The receiver has been dropped if the caller has disconnected.
            let _ = respond.send(response(head, Full::new(body).map_err(never).boxed_unsync()));
        }
    }

    /// Starts a streamed response, or continues the one that another call started.
    ///
    /// Returns `None` if the request is closed or another call is writing to its stream.
    pub fn start_stream(
        self: &Rc<Table>,
        id: gateway::Id,
        head: (StatusCode, HeaderMap),
    ) -> Option<Stream> {
        let mut open = self.open.borrow_mut();
        let exchange = open.get_mut(&id)?;
        if let Some(respond) = exchange.respond.take() {
            let (sender, body) = channel::Channel::<Bytes, io::Error>::new(STREAM_BUFFER_CHUNKS);
            // The receiver has been dropped if the caller has disconnected.
            let _ = respond.send(response(head, body.boxed_unsync()));
            exchange.writer = Some(Writer(Some(sender)));
        }
        let (writer, last_event) = (exchange.writer.take()?, exchange.last_event.clone());
        Some(Stream { table: self.clone(), id, writer: Some(writer), last_event })
    }

    fn put_back(&self, id: gateway::Id, writer: Writer, last_event: Option<Name>) {
        if let Some(exchange) = self.open.borrow_mut().get_mut(&id) {
            exchange.writer = Some(writer);
            exchange.last_event = last_event;
        }
    }

    /// Ends a request with an error response; a stream that has started is aborted instead.
    pub fn fail(&self, id: gateway::Id, error_response: impl FnOnce(&str) -> Response<Bytes>) {
        let Some(exchange) = self.open.borrow_mut().remove(&id) else { return };
        if let Some(respond) = exchange.respond {
            let response = error_response(&exchange.request_id);
            let _ = respond.send(response.map(|it| Full::new(it).map_err(never).boxed_unsync()));
        }
    }

    /// Removes a request; its unfinished stream is aborted unless a call is writing to it.
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
