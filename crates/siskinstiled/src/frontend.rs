//! The listener for callers: OpenAI-style completions and plain services by route.

mod answer;
mod body;
mod completion;
mod guard;
mod path;
mod plain;
mod socket;

use std::{
    convert::Infallible,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::{Request, Response, body::Incoming, header, service::service_fn};
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
    control::Shared,
    relay::{Part, Payload},
    settings,
};

/// Largest head of a request, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Refused connections that wait at once for their caller to read the refusal.
const MAX_LINGERING: usize = 64;
/// Pause after an error from accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Characters counted as one token.
const TOKEN_CHARS: usize = 4;

type Answer = Response<BoxBody<Bytes, io::Error>>;

/// Returns the estimated number of tokens of a text.
pub fn tokens(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_CHARS) as u64
}

/// Serves callers; an error from accept or too many connections never end it.
pub async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    settings: settings::Frontend,
    tls: Option<watch::Receiver<TlsAcceptor>>,
) {
    let slots = Slots::new(settings.max_connections);
    let lingering = Arc::new(Semaphore::new(MAX_LINGERING));
    let settings = Arc::new(settings);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match slots.acquire().map(Arc::new) {
                Some(slot) => {
                    let (shared, settings) = (shared.clone(), settings.clone());
                    let tls = tls.as_ref().map(|it| it.borrow().clone());
                    tokio::spawn(async move {
                        tokio::select! {
                            () = secure(stream, tls, shared, settings, slot.clone()) => {}
                            () = slot.evicted() => {}
                        }
                    });
                }
                None => refuse(stream, &lingering),
            },
            Err(error) => {
                events::Record::new(events::ACCEPT_FAILED, error.to_string()).write();
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Refuses a connection beyond the limit, as far as that goes without waiting.
fn refuse(stream: TcpStream, lingering: &Arc<Semaphore>) {
    metrics::counter!("siskinstile_connections_refused_total").increment(1);
    let failure = Failure::not_run(Kind::QueueFull).with_detail("too many connections");
    let _ = stream.try_write(&socket::last_answer(&failure));
    if let Ok(place) = lingering.clone().try_acquire_owned() {
        tokio::spawn(async move {
            socket::linger(stream).await;
            drop(place);
        });
    }
}

/// Serves a connection, over TLS where the listener has a certificate.
async fn secure(
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    shared: Arc<Shared>,
    settings: Arc<settings::Frontend>,
    slot: Arc<Slot>,
) {
    let _ = stream.set_nodelay(true);
    let Some(tls) = tls else { return connection(stream, shared, settings, slot).await };
    if let Ok(Ok(stream)) = time::timeout(settings.head_limit(), tls.accept(stream)).await {
        connection(stream, shared, settings, slot).await;
    }
}

async fn connection<S>(
    stream: S,
    shared: Arc<Shared>,
    settings: Arc<settings::Frontend>,
    slot: Arc<Slot>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let answering = Arc::new(AtomicBool::new(false));
    let socket = Socket::new(stream, answering.clone(), settings.silence_limit());
    let limit = settings.body_limit();
    let service = service_fn(move |request| {
        answering.store(true, Ordering::Release);
        slot.mark_active();
        let (shared, mark) = (shared.clone(), guard::Mark::new(answering.clone(), slot.clone()));
        async move {
            let answer = handle(request, shared, limit).await;
            Ok::<_, Infallible>(answer.map(|body| guard::Body::new(body, mark)))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_limit())
        .max_buf_size(MAX_HEAD_BYTES);
    let mut connection = builder.serve_connection(TokioIo::new(socket), service);
    let _ = (&mut connection).await;
    socket::linger(connection.into_parts().io.into_inner()).await;
}

async fn handle(request: Request<Incoming>, shared: Arc<Shared>, limit: Duration) -> Answer {
    let id = request::Id(rand::random());
    let result = match request.uri().path() {
        _ if head_bytes(&request) > MAX_HEAD_BYTES => Err(Failure::not_run(Kind::HeadTooLarge)),
        "/v1/completions" | "/v1/chat/completions" => {
            completion::serve(id, request, &shared, limit).await
        }
        "/v1/models" => completion::models(id, &request, &shared),
        _ => plain::serve(id, request, &shared, limit).await,
    };
    result.unwrap_or_else(|failure| answer::failure(id, &failure))
}

/// Returns the size of a head, which the HTTP library bounds only by its reads.
fn head_bytes(request: &Request<Incoming>) -> usize {
    const LINE: usize = ": \r\n".len();
    let path = request.uri().path_and_query().map_or(0, |it| it.as_str().len());
    let lines = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    path + lines.map(|it| it + LINE).sum::<usize>()
}

/// Returns the key that came with a request.
fn presented_key(request: &Request<Incoming>) -> Option<Secret> {
    let text = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| Secret::new(key.trim()))
}

/// Refuses early, before a body is read, what the control thread would refuse anyhow.
fn check_key(request: &Request<Incoming>, shared: &Shared) -> Result<(), Failure> {
    let config = shared.config.load();
    let key = presented_key(request).unwrap_or_else(|| Secret::new(""));
    match key::verify(&config.set, &key) {
        _ if config.generation == 0 => Err(Failure::not_run(Kind::NotReady)),
        Some(_) => Ok(()),
        None => Err(Failure::not_run(Kind::Unauthorized)),
    }
}

/// Returns the caller's idempotency key.
fn idempotency_key(request: &Request<Incoming>) -> Option<Arc<str>> {
    Some(request.headers().get("idempotency-key")?.to_str().ok()?.into())
}

/// An open request, whose end the control thread must hear of.
struct Open {
    id: request::Id,
    shared: Arc<Shared>,
    parts: mpsc::Receiver<Part>,
    ended: bool,
}

impl Open {
    /// Hands a request to the control thread.
    fn submit(shared: &Arc<Shared>, arrival: request::Arrival, payload: Payload) -> Open {
        let id = arrival.id;
        let parts = shared.relays.open(id, payload);
        metrics::counter!("siskinstile_requests_total").increment(1);
        let _ = shared.events.send(Event::Arrival(arrival));
        Open { id, shared: shared.clone(), parts, ended: false }
    }

    /// Waits for the next part of the answer.
    async fn next(&mut self) -> Part {
        let part = self.parts.recv().await;
        let part = part.unwrap_or_else(|| Part::Failed(crate::control::no_control()));
        self.ended = matches!(part, Part::End | Part::Failed(_) | Part::Replay(_));
        part
    }
}

impl Drop for Open {
    /// Tells the control thread that the caller has left, unless the answer has ended.
    fn drop(&mut self) {
        if !self.ended {
            self.shared.relays.close(self.id);
            let _ = self.shared.events.send(Event::Disconnected(self.id));
        }
    }
}

/// Returns whether the instance takes requests.
pub fn is_ready(shared: &Shared) -> bool {
    shared.ready.load(Ordering::Acquire)
}
