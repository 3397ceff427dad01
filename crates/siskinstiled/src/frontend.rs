//! The listener for callers: OpenAI-compatible completions, and plain services selected by route.

mod body;
mod completion;
mod guard;
mod path;
mod plain;
mod response;
mod socket;

use std::{
    convert::Infallible,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use siskinstile_core::{
    Event, error::Failure, error::Kind, key, key::Secret, log as events, request,
};
use siskinstile_net::{Slot, Slots};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time,
};
use tokio_rustls::TlsAcceptor;

use self::socket::Socket;
use crate::{
    control::{Phase, Shared},
    relay::{Part, Payload},
    settings,
};

/// Maximum size of a request's head, in bytes; a larger one is refused with `HeadTooLarge`.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of refused connections that linger for the caller to read the refusal.
///
/// Further ones are closed at once.
const MAX_LINGERING_CONNECTIONS: usize = 64;
/// Pause after an error on accepting a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of bytes of text that are counted as one token.
const BYTES_PER_TOKEN: usize = 4;

type HttpResponse = Response<BoxBody<Bytes, io::Error>>;

/// Estimates the number of tokens of a text from its length in bytes, rounded up.
pub fn estimate_tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Accepts and serves callers' connections; closes the listener at the end of a graceful stop.
pub async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    settings: settings::Frontend,
    tls: Option<watch::Receiver<TlsAcceptor>>,
) {
    tokio::select! {
        () = accept(listener, shared.clone(), settings, tls) => {}
        () = shared.reached(Phase::Stopped) => {}
    }
}

/// Accepts and serves callers' connections.
///
/// Errors on accepting a connection are logged and followed by a pause. At the connection limit, a
/// new connection replaces the one that has been idle longest; if none is idle, it is refused.
async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    settings: settings::Frontend,
    tls: Option<watch::Receiver<TlsAcceptor>>,
) {
    let slots = Slots::new(settings.max_connections);
    let lingering = Arc::new(Semaphore::new(MAX_LINGERING_CONNECTIONS));
    let settings = Arc::new(settings);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match slots.acquire().map(Arc::new) {
                Some(slot) => {
                    let (shared, settings) = (shared.clone(), settings.clone());
                    let tls = tls.as_ref().map(|it| it.borrow().clone());
                    let open = shared.open_connection();
                    tokio::spawn(async move {
                        let _open = open;
                        tokio::select! {
                            () = serve_tcp(stream, tls, shared, settings, slot.clone()) => {}
                            () = slot.evicted() => {}
                        }
                    });
                }
                None => refuse(stream, &lingering),
            },
            Err(error) => {
                events::Record::new(events::ACCEPT_FAILED, error.to_string()).write();
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Refuses a connection beyond the limit; writes the error response only if that does not block.
fn refuse(stream: TcpStream, lingering: &Arc<Semaphore>) {
    metrics::counter!("siskinstile_connections_refused_total").increment(1);
    let failure = Failure::not_run(Kind::QueueFull).with_detail("too many connections");
    let _ = stream.try_write(&socket::closing_response(&failure));
    if let Ok(permit) = lingering.clone().try_acquire_owned() {
        tokio::spawn(async move {
            socket::linger(stream).await;
            drop(permit);
        });
    }
}

/// Serves a connection, over TLS if the listener has a certificate.
async fn serve_tcp(
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    shared: Arc<Shared>,
    settings: Arc<settings::Frontend>,
    slot: Arc<Slot>,
) {
    let _ = stream.set_nodelay(true);
    let Some(tls) = tls else { return serve_http(stream, shared, settings, slot).await };
    let handshake = time::timeout(settings.head_timeout(), tls.accept(stream));
    let result = tokio::select! {
        result = handshake => result,
        () = shared.reached(Phase::Stopped) => return,
    };
    if let Ok(Ok(stream)) = result {
        serve_http(stream, shared, settings, slot).await;
    }
}

async fn serve_http<S>(
    stream: S,
    shared: Arc<Shared>,
    settings: Arc<settings::Frontend>,
    slot: Arc<Slot>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let progress = Arc::new(guard::Progress::new(slot));
    let socket = Socket::new(stream, progress.clone(), settings.write_timeout());
    let body_timeout = settings.body_timeout();
    let control = shared.clone();
    let service = service_fn(move |request| {
        let (shared, active) = (shared.clone(), guard::Active::new(progress.clone()));
        async move {
            let response = handle(request, shared, body_timeout).await;
            Ok::<_, Infallible>(response.map(|body| guard::Body::new(body, active)))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout())
        .max_buf_size(MAX_HEAD_BYTES);
    let mut connection = builder.serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        _ = &mut connection => {}
        () = control.reached(Phase::Stopped) => {
            Pin::new(&mut connection).graceful_shutdown();
            let _ = (&mut connection).await;
        }
    }
    socket::linger(connection.into_parts().io.into_inner()).await;
}

async fn handle(
    request: Request<Incoming>,
    shared: Arc<Shared>,
    body_timeout: Duration,
) -> HttpResponse {
    let id = request::Id(rand::random());
    let result = match request.uri().path() {
        _ if head_bytes(&request) > MAX_HEAD_BYTES => Err(Failure::not_run(Kind::HeadTooLarge)),
        "/v1/completions" | "/v1/chat/completions" => {
            completion::serve(id, request, &shared, body_timeout).await
        }
        "/v1/models" => completion::models(id, &request, &shared),
        _ => plain::serve(id, request, &shared, body_timeout).await,
    };
    let mut response = result.unwrap_or_else(|failure| response::failure(id, &failure));
    if shared.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the size of a request's head in bytes.
///
/// The HTTP library checks its own limit only after a read, so that a larger head may pass.
fn head_bytes(request: &Request<Incoming>) -> usize {
    const LINE_OVERHEAD: usize = ": \r\n".len();
    let path = request.uri().path_and_query().map_or(0, |it| it.as_str().len());
    let lines = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    path + lines.map(|it| it + LINE_OVERHEAD).sum::<usize>()
}

/// Returns the API key from the authorization header, if it uses the `Bearer` scheme.
fn presented_key(request: &Request<Incoming>) -> Option<Secret> {
    let text = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| Secret::new(key.trim()))
}

/// Checks the API key before the body is read; the control thread checks it again afterwards.
///
/// Fails with `NotReady` until a first configuration is in force.
fn check_key(request: &Request<Incoming>, shared: &Shared) -> Result<(), Failure> {
    let config = shared.config.load();
    let key = presented_key(request).unwrap_or_else(|| Secret::new(""));
    match key::verify(&config.set, &key) {
        _ if config.generation == 0 => Err(Failure::not_run(Kind::NotReady)),
        Some(_) => Ok(()),
        None => Err(Failure::not_run(Kind::Unauthorized)),
    }
}

/// Returns the value of the `idempotency-key` header, or `None` if it is absent or not ASCII text.
fn idempotency_key(request: &Request<Incoming>) -> Option<Arc<str>> {
    Some(request.headers().get("idempotency-key")?.to_str().ok()?.into())
}

/// A request that the control thread handles, and the receiver of its answer.
struct Exchange {
    id: request::Id,
    shared: Arc<Shared>,
    parts: mpsc::Receiver<Part>,
    /// Whether the last part of the answer has been received.
    ended: bool,
}

impl Exchange {
    /// Registers a relay for the request and sends its arrival to the control thread.
    fn submit(shared: &Arc<Shared>, arrival: request::Arrival, payload: Payload) -> Exchange {
        let id = arrival.id;
        let parts = shared.relays.open(id, payload);
        metrics::counter!("siskinstile_requests_total").increment(1);
        let _ = shared.events.send(Event::Arrival(arrival));
        Exchange { id, shared: shared.clone(), parts, ended: false }
    }

    /// Waits for the next part of the answer; returns a failure if the control thread has stopped.
    async fn next(&mut self) -> Part {
        let part = self.parts.recv().await;
        let part = part.unwrap_or_else(|| Part::Failed(crate::control::control_stopped()));
        self.ended = matches!(part, Part::End | Part::Failed(_) | Part::Replay(_));
        part
    }
}

impl Drop for Exchange {
    /// Reports the caller's disconnection to the control thread, unless the answer has ended.
    fn drop(&mut self) {
        if !self.ended {
            self.shared.relays.remove(self.id);
            let _ = self.shared.events.send(Event::Disconnected(self.id));
        }
    }
}

/// Returns whether the instance accepts new requests.
pub fn is_ready(shared: &Shared) -> bool {
    shared.ready.load(Ordering::Acquire)
}
