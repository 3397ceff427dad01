//! The listener for callers and their connections.

mod activity;

use std::{
    convert::Infallible,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Frame, Incoming, SizeHint},
    header::{CONNECTION, HOST, HeaderValue},
    http::request,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioTimer;
use siskinstile_core::error::{Failure, Kind, Ran};
use siskinstile_gateway::{
    Catalog, Event,
    catalog::Limits,
    name_hash::NameHash,
    record::{self, Record},
    request as gateway,
};
use siskinstile_macros::value;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};

use crate::{
    body::{self, Buffer, Fault},
    client,
    control::{Control, Phase},
    exchange::Body,
    handover, status,
};

use activity::{Activity, Answering, Socket};

/// Limits that apply before the first configuration is loaded.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Smallest connection buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Retry-after time of a request for whose body there is no memory; most bodies are held for less.
const MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the end of a drain in which a caller may send the rest of a request.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a caller may accept no bytes of its response before the kernel closes its
/// connection, which cannot be evicted meanwhile.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// From whom connections come.
#[value(id)]
pub enum Source {
    /// Callers.
    Callers,
    /// Instances that reach no endpoint and hand their callers' requests over.
    Peers,
}

/// Accepts and serves connections; closes the listener at the end of a graceful shutdown.
pub async fn serve(control: Rc<Control>, listener: TcpListener, source: Source) {
    if source == Source::Callers {
        control.set_listening();
    }
    tokio::select! {
        () = accept(control.clone(), listener, source) => {}
        () = control.reached(Phase::Stopped) => {}
    }
}

async fn accept(control: Rc<Control>, listener: TcpListener, source: Source) {
    let slots = match source {
        Source::Callers => control.descriptors.callers(),
        Source::Peers => control.descriptors.peers(),
    };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a caller's connection failed: {error}");
                control.descriptors.recover(&error).await;
                continue;
            }
        };
        let permit = control.descriptors.acquire(|| false).await;
        let activity = slots.acquire().map(Activity::new);
        let (Some(permit), Some(activity)) = (permit, activity) else {
            metrics::counter!("siskinstile_connections_refused").increment(1);
            continue;
        };
        let open = control.open_connection();
        let control = control.clone();
        spawn_local(async move {
            let _held = (open, permit);
            tokio::select! {
                biased;
                () = serve_connection(control, stream, source, activity.clone()) => {}
                () = activity.evicted() => {}
            }
        });
    }
}

async fn serve_connection(
    control: Rc<Control>,
    stream: TcpStream,
    source: Source,
    activity: Rc<Activity>,
) {
    set_socket_options(&stream, source);
    let limits = limits(&control);
    let socket = Socket::new(stream, activity.clone());
    let (shared_control, shared_activity) = (control.clone(), activity.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let id = shared_control.exchanges.next_id();
        let (control, answering) = (shared_control.clone(), shared_activity.begin());
        async move {
            let response = handle(control, id, source, request).await;
            Ok::<_, Infallible>(
                response.map(|body| Guarded { _answering: Some(answering), ..body }),
            )
        }
    });
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .keep_alive(control.phase() == Phase::Serving)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = pin!(server.serve_connection(socket, service));
    let result = tokio::select! {
        // What has arrived before the phase changed is read first.
        biased;
        result = connection.as_mut() => result,
        () = may_close(&control, &activity) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                result = connection.as_mut() => result,
                () = is_given_up(&control, &activity) => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("caller's connection failed: {error}");
    }
}

fn set_socket_options(stream: &TcpStream, source: Source) {
    if source == Source::Peers {
        return client::set_socket_options(stream, true);
    }
    let options = SockRef::from(stream);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(error) = result {
        log::debug!("socket options not set: {error}");
    }
}

/// Waits until a connection may close as soon as it is idle: during a drain, or at its end if it has
/// had no request, since load balancers still choose the instance and callers have just connected.
async fn may_close(control: &Control, activity: &Activity) {
    control.reached(Phase::Draining).await;
    if !activity.has_begun() {
        control.reached(Phase::Stopped).await;
    }
}

/// Waits until a connection has to be closed after a drain, since its caller does not send the rest of
/// a request.
async fn is_given_up(control: &Control, activity: &Activity) {
    control.reached(Phase::Stopped).await;
    time::sleep(PARTIAL_REQUEST_TIMEOUT).await;
    if !activity.is_idle() {
        std::future::pending().await
    }
}

fn limits(control: &Control) -> Limits {
    control.read(|state| {
        state.catalog().map_or(DEFAULT_LIMITS, |it: &std::sync::Arc<Catalog>| it.limits.clone())
    })
}

async fn handle(
    control: Rc<Control>,
    id: gateway::Id,
    source: Source,
    request: Request<Incoming>,
) -> Response<Guarded> {
    let started = Instant::now();
    let (mut head, body) = request.into_parts();
    let mut request_head = control.protocol.read_request(&head);
    let crossing = handover::take_crossing(&mut head).filter(|_| source == Source::Peers);
    if let Some(crossing) = crossing {
        request_head.max_wait = Some(crossing.time_left);
    }
    let handed_over = (source == Source::Peers).then(|| crossing.map_or(0, |it| it.version));
    let body = match read_body(&control, body).await {
        Ok(body) => body,
        Err(kind) => return refusal(&control, &request_head.request_id, kind).map(Guarded::from),
    };
    let arrival = gateway::Arrival {
        id,
        request_id: request_head.request_id.clone(),
        host: host(&head).into(),
        path: head.uri.path().into(),
        content: content_hash(&head, &body),
        key: request_head.key,
        tokens: request_head.tokens,
        prompt_parts: request_head.prompt_parts,
        max_wait: request_head.max_wait,
        last_event: request_head.last_event,
        resumes: request_head.resumes,
        handed_over,
    };
    let opened = (request_head.request_id.clone(), handed_over.is_some());
    let receiver = control.exchanges.open(id, opened, head, body);
    let guard = Guard { control: control.clone(), id };
    control.post(Event::Arrival(arrival));
    let mut response = match receiver.await {
        Ok(response) => response,
        // The request was removed from the table without a response.
        Err(_) => refusal(&control, &request_head.request_id, Kind::Internal),
    };
    status::record_head_latency(started.elapsed());
    if control.phase() != Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| Guarded { body, _guard: Some(guard), _answering: None })
}

fn refusal(control: &Control, request_id: &str, kind: Kind) -> Response<Body> {
    let failure = match kind {
        Kind::QueueFull => Failure::not_run(kind).with_retry_after(MEMORY_RETRY),
        // Nobody can tell how far the request had come.
        Kind::Internal => Failure::not_run(kind).with_ran(Ran::Unknown),
        _ => Failure::not_run(kind),
    };
    let mut response = control.protocol.error_response(request_id, &failure);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response.map(Body::full)
}

async fn read_body(control: &Control, body: Incoming) -> Result<Buffer, Kind> {
    let read = body::read(&control.memory, body, limits(control).body_bytes);
    match time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(Fault::TooLarge)) => Err(Kind::BodyTooLarge),
        Ok(Err(Fault::OutOfMemory)) => {
            let line = Record::new(record::MEMORY_SHORT)
                .with("what", "request refused")
                .with("used_bytes", control.memory.used());
            control.logger.write(&line);
            Err(Kind::QueueFull)
        }
        Ok(Err(_)) => Err(Kind::BadRequest),
        Err(_) => Err(Kind::RequestTimeout),
    }
}

/// Returns the hash of what the caller asks for: host, method, path with query, and body.
fn content_hash(head: &request::Parts, body: &[u8]) -> NameHash {
    let host = host(head);
    let path = head.uri.path_and_query().map_or("", |it| it.as_str());
    let method = head.method.as_str();
    NameHash::of_all([host.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}

/// Returns the host of a request in lower case, without the port.
fn host(head: &request::Parts) -> String {
    let header = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = header.or_else(|| head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// Closes a request when its response body is dropped.
///
/// If the response was incomplete, the caller has disconnected; otherwise the reducer ignores the
/// event.
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

/// A response body that holds the guards of its request.
struct Guarded {
    body: Body,
    _guard: Option<Guard>,
    _answering: Option<Answering>,
}

impl From<Body> for Guarded {
    fn from(body: Body) -> Guarded {
        Guarded { body, _guard: None, _answering: None }
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
