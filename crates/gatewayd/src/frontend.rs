//! Callers' connections.

use std::{
    cell::Cell,
    convert::Infallible,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response,
    body::{Frame, Incoming, SizeHint},
    header::{CONNECTION, HOST, HeaderValue},
    http::request,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use siskinstile_core::error::{Failure, Kind};
use siskinstile_gateway::{Catalog, Event, State, catalog::Limits, request as gateway};
use siskinstile_net::{Slot, Slots};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};

use crate::{control::Control, exchange::Body, status};

/// Limits on callers before a configuration is in force.
const FIRST_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;
/// Longest time for a body to arrive.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Pause after an error on accepting a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Part of the process's descriptors that callers may use, in percent.
const CALLERS_PERCENT: usize = 60;

/// Takes callers' connections.
pub async fn serve(control: Rc<Control>, listener: TcpListener, descriptors: usize) {
    let most = descriptors * CALLERS_PERCENT / 100;
    let slots = Slots::new(most);
    let next = Rc::new(Cell::new(0_u64));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("no connection of a caller accepted: {error}");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(slot) = slots.acquire().map(Rc::new) else {
            metrics::counter!("siskinstile_connections_refused").increment(1);
            continue;
        };
        let (control, next) = (control.clone(), next.clone());
        spawn_local(async move {
            tokio::select! {
                () = serve_connection(control, stream, next, slot.clone()) => {}
                () = slot.evicted() => {}
            }
        });
    }
}

async fn serve_connection(
    control: Rc<Control>,
    stream: TcpStream,
    next: Rc<Cell<u64>>,
    slot: Rc<Slot>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("socket option not set: {error}");
    }
    let limits = limits(&control);
    let shared = control.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        next.set(next.get() + 1);
        let id = gateway::Id(next.get());
        let (control, kept) = (shared.clone(), Kept::new(slot.clone()));
        async move {
            let answer = handle(control, id, request).await;
            Ok::<_, Infallible>(answer.map(|body| Guarded { _kept: Some(kept), ..body }))
        }
    });
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER));
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = control.draining() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended: {error}");
    }
}

fn limits(control: &Control) -> Limits {
    control.read(|state| {
        state.catalog().map_or(FIRST_LIMITS, |it: &std::sync::Arc<Catalog>| it.limits.clone())
    })
}

async fn handle(
    control: Rc<Control>,
    id: gateway::Id,
    request: Request<Incoming>,
) -> Response<Guarded> {
    let begun = Instant::now();
    let (head, body) = request.into_parts();
    let caller = control.protocol.read_request(&head);
    let body = match read_body(body, limits(&control).body_bytes).await {
        Ok(body) => body,
        Err(kind) => return refuse(&control, &caller.trace, kind).map(Guarded::from),
    };
    let arrival = gateway::Arrival {
        id,
        trace: caller.trace.clone(),
        host: host(&head).into(),
        path: head.uri.path().into(),
        key: caller.key,
        tokens: caller.tokens,
        max_wait: caller.max_wait,
        last_event: caller.last_event,
    };
    let answer = control.exchanges.open(id, caller.trace.clone(), (head, body));
    let guard = Guard { control: control.clone(), id };
    control.post(Event::Arrival(arrival));
    let mut response = match answer.await {
        Ok(response) => response,
        // The request has been given up without an answer of its own.
        Err(_) => refuse(&control, &caller.trace, Kind::Internal),
    };
    status::note_head(begun.elapsed());
    if control.read(State::is_draining) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| Guarded { body, _guard: Some(guard), _kept: None })
}

fn refuse(control: &Control, trace: &str, kind: Kind) -> Response<Body> {
    let failure = Failure::not_run(kind);
    let mut response = control.protocol.error_response(trace, &failure);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response.map(|it| Full::new(it).map_err(|never| match never {}).boxed_unsync())
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Kind> {
    match time::timeout(BODY_LIMIT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge),
        Ok(Err(_)) => Err(Kind::BadRequest),
        Err(_) => Err(Kind::RequestTimeout),
    }
}

/// Returns the host that a caller names, without the port.
fn host(head: &request::Parts) -> String {
    let header = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = header.or_else(|| head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// Tells that a caller has left when it is dropped before the answer's end.
struct Guard {
    control: Rc<Control>,
    id: gateway::Id,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.control.exchanges.close(self.id);
        self.control.post(Event::Disconnected(self.id));
    }
}

/// The body of an answer with the guard of its request.
struct Guarded {
    body: Body,
    _guard: Option<Guard>,
    _kept: Option<Kept>,
}

/// Keeps the place of a connection while a request is under way.
struct Kept(Rc<Slot>);

impl Kept {
    fn new(slot: Rc<Slot>) -> Kept {
        slot.mark_active();
        Kept(slot)
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.0.mark_idle();
    }
}

impl From<Body> for Guarded {
    fn from(body: Body) -> Guarded {
        Guarded { body, _guard: None, _kept: None }
    }
}

impl hyper::body::Body for Guarded {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
