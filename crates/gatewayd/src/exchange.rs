//! Callers' open requests, and the channels through which their responses are sent.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt, io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, channel};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Frame, SizeHint},
    http::request,
};
use siskinstile_gateway::{Name, request as gateway};
use siskinstile_macros::value;
use tokio::{sync::oneshot, time};

use crate::{
    body::{Buffer, Held},
    handover,
    memory::{Charge, Memory},
};

/// Chunks of a stream that are buffered for a slow caller before the endpoint is throttled.
const STREAM_BUFFER_CHUNKS: usize = 16;
/// Time for which a caller that has unread events may take none of them while the budget for buffered
/// bytes is exceeded; its stream is then aborted.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of a response to a caller.
pub struct Body(Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = io::Error>>>);

impl Body {
    /// Creates a body from one that produces bytes.
    pub fn new(body: impl hyper::body::Body<Data = Bytes, Error = io::Error> + 'static) -> Body {
        Body(Box::pin(body))
    }

    /// Creates a body that is known completely.
    pub fn full(bytes: Bytes) -> Body {
        Body::new(Full::new(bytes).map_err(never))
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body").finish_non_exhaustive()
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.0.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}

/// The sending half of a streamed body; dropping it before the end aborts the caller's stream.
#[derive(Debug)]
struct Writer {
    sender: Option<channel::Sender<Bytes, io::Error>>,
    /// Bytes that the caller's connection has not taken yet.
    unread: Rc<RefCell<Charge>>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            sender.abort(io::ErrorKind::ConnectionAborted.into());
        }
    }
}

/// Why bytes could not be written to a caller.
#[value(id)]
pub enum Unwritten {
    /// The caller has disconnected.
    Disconnected,
    /// The caller reads too slowly while the memory is needed for others.
    TooSlow,
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
    /// Writes bytes and waits while the caller's buffer is full, or while the budget for all is
    /// exceeded and the caller has unread bytes.
    ///
    /// # Errors
    ///
    /// Returns why the caller does not get the bytes.
    pub async fn write(&mut self, bytes: Bytes) -> Result<(), Unwritten> {
        let memory = self.table.memory.clone();
        let Some(writer) = self.writer.as_mut() else { return Err(Unwritten::Disconnected) };
        let unread = writer.unread.clone();
        let has_room = async {
            while memory.is_exceeded_by(bytes.len()) && unread.borrow().bytes() > 0 {
                memory.released().await;
            }
        };
        time::timeout(SLOW_CALLER_TIMEOUT, has_room).await.map_err(|_| Unwritten::TooSlow)?;
        let Some(sender) = writer.sender.as_mut() else { return Err(Unwritten::Disconnected) };
        unread.borrow_mut().add(bytes.len());
        sender.send_data(bytes).await.map_err(|_| Unwritten::Disconnected)
    }

    /// Ends the stream normally, so that the caller receives a complete response.
    pub fn finish(mut self) {
        if let Some(mut writer) = self.writer.take() {
            writer.sender.take();
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
    /// Counts the body of the request as used.
    _charge: Charge,
    request_id: Name,
    /// Whether a peer has handed it over.
    handed_over: bool,
    respond: Option<oneshot::Sender<Response<Body>>>,
    writer: Option<Writer>,
    last_event: Option<Name>,
}

/// The open requests of this process.
#[derive(Debug, Default)]
pub struct Table {
    last_id: Cell<u64>,
    open: RefCell<HashMap<gateway::Id, Exchange>>,
    memory: Memory,
}

impl Table {
    /// Creates a table whose buffered bytes count towards a budget.
    pub fn new(memory: Memory) -> Rc<Table> {
        Rc::new(Table { last_id: Cell::default(), open: RefCell::default(), memory })
    }

    /// Returns an identifier for a new request.
    pub fn next_id(&self) -> gateway::Id {
        self.last_id.set(self.last_id.get() + 1);
        gateway::Id(self.last_id.get())
    }

    /// Adds a request; the receiver gets its response once the head is known.
    pub fn open(
        &self,
        id: gateway::Id,
        (request_id, handed_over): (Name, bool),
        head: request::Parts,
        body: Buffer,
    ) -> oneshot::Receiver<Response<Body>> {
        let (respond, response) = oneshot::channel();
        let (body, charge) = body.into_parts();
        let exchange = Exchange {
            original: Rc::new((head, body)),
            _charge: charge,
            request_id,
            handed_over,
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
    pub fn respond(&self, id: gateway::Id, head: (StatusCode, HeaderMap), body: Held) {
        let Some(exchange) = self.open.borrow_mut().remove(&id) else { return };
        if let Some(respond) = exchange.respond {
            // The receiver has been dropped if the caller has disconnected.
            let _ = respond.send(response(head, Body::new(body)));
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
            let unread = Rc::new(RefCell::new(self.memory.charge(0)));
            let queued = unread.clone();
            let body = body.map_frame(move |frame| {
                queued.borrow_mut().release(frame.data_ref().map_or(0, Bytes::len));
                frame
            });
            // The receiver has been dropped if the caller has disconnected.
            let _ = respond.send(response(head, Body::new(body)));
            exchange.writer = Some(Writer { sender: Some(sender), unread });
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

    /// Sends the response of a peer to the caller, whose body arrives over the hop, and removes the
    /// request.
    pub fn relay(&self, id: gateway::Id, response: Response<Body>) {
        let Some(exchange) = self.open.borrow_mut().remove(&id) else { return };
        if let Some(respond) = exchange.respond {
            // The receiver has been dropped if the caller has disconnected.
            let _ = respond.send(response);
        }
    }

    /// Ends a request with an error response; a stream that has started is aborted instead.
    ///
    /// With `not_taken`, a peer that has handed the request over learns that another one may take it.
    pub fn fail(
        &self,
        id: gateway::Id,
        error_response: impl FnOnce(&str) -> Response<Bytes>,
        not_taken: bool,
    ) {
        let Some(exchange) = self.open.borrow_mut().remove(&id) else { return };
        if let Some(respond) = exchange.respond {
            let mut response = error_response(&exchange.request_id);
            if not_taken && exchange.handed_over {
                handover::mark_not_taken(&mut response);
            }
            let _ = respond.send(response.map(Body::full));
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
