//! HTTP server of a fake, with one thread per request; it applies the injected faults.

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

/// Number of requests whose text is kept.
const TRANSCRIPT_LIMIT: usize = 1_000;

/// Interval between the keep-alive comments before an answer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// A running server; it stops when dropped.
pub(crate) struct Server {
    http: Arc<tiny_http::Server>,
    relay: Option<Relay>,
    faults: Faults,
    transcripts: Arc<Transcripts>,
    acceptor: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Transcripts(Mutex<VecDeque<String>>);

/// State shared by the request threads.
struct Shared<H, C> {
    handler: Arc<H>,
    /// Function that closes the connection of a peer.
    close: C,
    faults: Faults,
    transcripts: Arc<Transcripts>,
}

impl Server {
    pub(crate) fn spawn(handler: Arc<impl Handler>, faults: Faults) -> anyhow::Result<Server> {
        let listener = with_nodelay(TcpListener::bind("127.0.0.1:0")?)?;
        let http_address = listener.local_addr()?;
        let http = tiny_http::Server::from_listener(listener, None)
            .map_err(|it| anyhow!(it))
            .context("cannot start the HTTP server")?;
        let http = Arc::new(http);
        let relay = Relay::spawn(http_address, faults.clone())?;
        let transcripts = Arc::new(Transcripts::default());
        let shared = Arc::new(Shared {
            handler,
            close: relay.connection_closer(),
            faults: faults.clone(),
            transcripts: Arc::clone(&transcripts),
        });
        let incoming = Arc::clone(&http);
        let acceptor = thread::spawn(move || {
            while let Ok(request) = incoming.recv() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(request));
            }
        });
        Ok(Server { http, relay: Some(relay), faults, transcripts, acceptor: Some(acceptor) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.relay.as_ref().expect("the relay runs until the server is dropped").address()
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }

    pub(crate) fn transcripts(&self) -> Vec<String> {
        self.transcripts.0.lock().expect("lock poisoned").iter().cloned().collect()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.faults.close();
        self.relay = None;
        self.http.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

impl Transcripts {
    fn push(&self, text: String) {
        let mut list = self.0.lock().expect("lock poisoned");
        if list.len() == TRANSCRIPT_LIMIT {
            list.pop_front();
        }
        list.push_back(text);
    }
}

impl<H: Handler, C: Fn(SocketAddr) + Sync> Shared<H, C> {
    fn serve(&self, mut request: Request) {
        let peer = request.remote_addr().copied();
        let Some(call) = read_call(&mut request) else { return };
        self.transcripts.push(call.transcript());
        if call.header("Accept") == Some("text/event-stream")
            && self.handler.sends_keep_alives(&call)
        {
            let close = self.serve_with_keep_alives(request, &call);
            return if let Some(peer) = peer.filter(|_| close) {
                (self.close)(peer)
            };
        }
        let answer = match self.faults.take_refusal(&call.target) {
            Some(status) => error(status, "refused"),
            None => self.handler.handle(&call),
        };
        let dropped = self.faults.take_drop(&call.target);
        let close = match answer {
            _ if dropped || !self.faults.wait_before_answer() => {
                drop(request.into_writer());
                true
            }
            Answer::Json(status, value) => {
                respond(request, status, &value.to_string());
                false
            }
            Answer::Stream(run) => run_stream(request, run),
        };
        if let Some(peer) = peer.filter(|_| close) {
            (self.close)(peer);
        }
    }
}

impl<H: Handler, C: Fn(SocketAddr) + Sync> Shared<H, C> {
    /// Answers with an event stream: keep-alive comments, then the answer as its only event.
    ///
    /// Returns whether to close the connection.
    fn serve_with_keep_alives(&self, request: Request, call: &Call) -> bool {
        if let Some(status) = self.faults.take_refusal(&call.target) {
            respond(request, status, "{\"error\":\"refused\"}");
            return false;
        }
        let Ok(mut events) = EventStream::start(request.into_writer()) else { return true };
        let (sender, receiver) = mpsc::channel();
        thread::scope(|scope| {
            scope.spawn(|| {
                let answer = self.handler.handle(call);
                let dropped =
                    self.faults.take_drop(&call.target) || !self.faults.wait_before_answer();
                let _ = sender.send((answer, dropped));
            });
            loop {
                match receiver.recv_timeout(KEEP_ALIVE_INTERVAL) {
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

/// Reads a request with its body; `None` if the caller disconnected.
fn read_call(request: &mut Request) -> Option<Call> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).ok()?;
    let name_and_value = |it: &Header| (it.field.to_string(), it.value.to_string());
    let headers = request.headers().iter().map(name_and_value).collect();
    Some(Call::new(request.method().to_string(), request.url().to_owned(), headers, body))
}

fn respond(request: Request, status: u16, text: &str) {
    let content_type =
        Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let data = Cursor::new(text.as_bytes());
    let response =
        Response::new(StatusCode(status), vec![content_type], data, Some(text.len()), None)
            .with_chunked_threshold(usize::MAX);
    if let Err(error) = request.respond(response) {
        log::debug!("cannot write the answer: {error}");
    }
}

/// Writes an event stream; returns whether to close the connection.
fn run_stream(request: Request, run: Box<dyn FnOnce(&mut EventStream) -> bool + Send>) -> bool {
    let Ok(mut events) = EventStream::start(request.into_writer()) else { return true };
    run(&mut events) || events.finish().is_err()
}

/// Sets `TCP_NODELAY` on a listener, from which accepted connections inherit it.
fn with_nodelay(listener: TcpListener) -> std::io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}
