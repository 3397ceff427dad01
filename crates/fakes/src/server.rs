//! The HTTP server of a stand-in: a thread for each request, with the faults applied.

use std::{
    collections::VecDeque,
    io::Cursor,
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::OwnedFd,
    sync::{
        Arc, Mutex,
        mpsc::{self, RecvTimeoutError},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use anyhow::{Context, anyhow};
use tiny_http::{Header, Request, Response, StatusCode};

use crate::{
    fault::Faults,
    http::{Answer, Call, EventStream, Handler, error},
    relay::Relay,
};

/// Requests whose text is kept.
const TRANSCRIPT_LIMIT: usize = 1_000;

/// Time between two comment lines before an answer.
const LIFE_INTERVAL: Duration = Duration::from_millis(500);

/// A running server; it stops when dropped.
pub(crate) struct Server {
    http: Arc<tiny_http::Server>,
    relay: Option<Relay>,
    faults: Faults,
    transcripts: Arc<Transcripts>,
    receiver: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Transcripts(Mutex<VecDeque<String>>);

/// What each request's thread shares.
struct Shared<H, C> {
    handler: Arc<H>,
    close: C,
    faults: Faults,
    transcripts: Arc<Transcripts>,
}

impl Server {
    pub(crate) fn spawn(handler: Arc<impl Handler>, faults: Faults) -> anyhow::Result<Server> {
        let listener = without_delay(TcpListener::bind("127.0.0.1:0")?)?;
        let inner = listener.local_addr()?;
        let http = tiny_http::Server::from_listener(listener, None)
            .map_err(|it| anyhow!(it))
            .context("start of the HTTP server")?;
        let http = Arc::new(http);
        let relay = Relay::spawn(inner, faults.clone())?;
        let transcripts = Arc::new(Transcripts::default());
        let shared = Arc::new(Shared {
            handler,
            close: relay.closer(),
            faults: faults.clone(),
            transcripts: Arc::clone(&transcripts),
        });
        let source = Arc::clone(&http);
        let receiver = thread::spawn(move || {
            while let Ok(request) = source.recv() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(request));
            }
        });
        Ok(Server { http, relay: Some(relay), faults, transcripts, receiver: Some(receiver) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.relay.as_ref().expect("runs until dropped").address()
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }

    pub(crate) fn transcripts(&self) -> Vec<String> {
        self.transcripts.0.lock().expect("no holder panics").iter().cloned().collect()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.faults.close();
        self.relay = None;
        self.http.unblock();
        if let Some(receiver) = self.receiver.take() {
            let _ = receiver.join();
        }
    }
}

impl Transcripts {
    fn push(&self, text: String) {
        let mut list = self.0.lock().expect("no holder panics");
        if list.len() == TRANSCRIPT_LIMIT {
            list.pop_front();
        }
        list.push_back(text);
    }
}

impl<H: Handler, C: Fn(SocketAddr) + Sync> Shared<H, C> {
    fn serve(&self, mut request: Request) {
        let peer = request.remote_addr().copied();
        let Some(call) = read(&mut request) else { return };
        self.transcripts.push(call.transcript());
        if call.header("Accept") == Some("text/event-stream") && self.handler.shows_life(&call) {
            let closes = self.serve_alive(request, &call);
            return if let Some(peer) = peer.filter(|_| closes) {
                (self.close)(peer)
            };
        }
        let answer = match self.faults.take_refusal(&call.target) {
            Some(status) => error(status, "refused"),
            None => self.handler.handle(&call),
        };
        let lost = self.faults.take_lost(&call.target);
        let closes = match answer {
            _ if lost || !self.faults.hold_answer() => {
                drop(request.into_writer());
                true
            }
            Answer::Json(status, value) => {
                respond(request, status, &value.to_string());
                false
            }
            Answer::Stream(run) => stream(request, run),
        };
        if let Some(peer) = peer.filter(|_| closes) {
            (self.close)(peer);
        }
    }
}

impl<H: Handler, C: Fn(SocketAddr) + Sync> Shared<H, C> {
    /// Answers at the end of a stream of comments; returns whether the connection is to be closed.
    fn serve_alive(&self, request: Request, call: &Call) -> bool {
        if let Some(status) = self.faults.take_refusal(&call.target) {
            respond(request, status, "{\"error\":\"refused\"}");
            return false;
        }
        let Ok(mut events) = EventStream::start(request.into_writer()) else { return true };
        let (sender, receiver) = mpsc::channel();
        thread::scope(|scope| {
            scope.spawn(|| {
                let answer = self.handler.handle(call);
                let lost = self.faults.take_lost(&call.target) || !self.faults.hold_answer();
                let _ = sender.send((answer, lost));
            });
            loop {
                match receiver.recv_timeout(LIFE_INTERVAL) {
                    Ok((Answer::Json(status, mut value), false)) => {
                        value["status"] = status.into();
                        return events.data(&value).and_then(|()| events.finish()).is_err();
                    }
                    Err(RecvTimeoutError::Timeout) => drop(events.comment()),
                    _ => return true,
                }
            }
        })
    }
}

/// Reads a request whole; none where its caller went away.
fn read(request: &mut Request) -> Option<Call> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).ok()?;
    let pair = |it: &Header| (it.field.to_string(), it.value.to_string());
    let headers = request.headers().iter().map(pair).collect();
    Some(Call::new(request.method().to_string(), request.url().to_owned(), headers, body))
}

fn respond(request: Request, status: u16, text: &str) {
    let kind = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let data = Cursor::new(text.as_bytes());
    let response = Response::new(StatusCode(status), vec![kind], data, Some(text.len()), None)
        .with_chunked_threshold(usize::MAX);
    if let Err(error) = request.respond(response) {
        log::debug!("answer not written: {error}");
    }
}

/// Runs a stream; returns whether the connection is to be closed.
fn stream(request: Request, run: Box<dyn FnOnce(&mut EventStream) -> bool + Send>) -> bool {
    let Ok(mut events) = EventStream::start(request.into_writer()) else { return true };
    run(&mut events) || events.finish().is_err()
}

/// Sets `TCP_NODELAY` on a listener, from which accepted connections inherit it.
fn without_delay(listener: TcpListener) -> std::io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}
