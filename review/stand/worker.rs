//! Workers that stream: each run writes a text of its own, so that pieces of two runs can be told apart.

use std::{
    io::ErrorKind,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Message},
    record::Record,
    store::Store,
};

/// How the runs of a worker go.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Time from the head of the answer to the first event.
    pub first: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Number of events.
    pub pieces: u32,
}

/// What a worker is.
#[derive(Clone)]
pub struct Role {
    /// Identifier, under which its entry lies in the store.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// `decode`, or nothing for a worker of a plain service.
    pub stage: Option<&'static str>,
    /// How its runs go.
    pub pace: Pace,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number over all workers, which stands in each of its events.
    pub number: u64,
    /// `Last-Event-Id` of the request, as it reached the worker.
    pub after: Option<String>,
}

/// A request that may not be repeated, as it reached a worker.
#[derive(Clone, Debug)]
pub struct Issue {
    /// Time since the store has acknowledged that the worker leaves, if it does.
    pub since_leaving_ms: Option<u64>,
}

/// Path of requests that may not be repeated.
pub const ISSUE: &str = "/issue/";
/// Time that they take.
const ISSUE_TIME: Duration = Duration::from_millis(450);

/// The runs at all workers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Inner {
    role: Role,
    address: SocketAddr,
    version: Mutex<String>,
    born_ms: AtomicU64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    /// When the store acknowledged that it is draining.
    left_at: Mutex<Option<Instant>>,
    issues: Mutex<Vec<Issue>>,
    /// What it names in `Server-Limit`.
    limit: Mutex<Option<String>>,
    /// Number of starts and ends; what belongs to an earlier one stops.
    epoch: AtomicU64,
    sockets: Mutex<Vec<TcpStream>>,
    store: Store,
    runs: Runs,
    record: Record,
}

/// A worker, which can end and start again under the same identifier.
#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    /// Starts a worker and writes its entry.
    pub fn start(
        address: SocketAddr,
        role: Role,
        version: &str,
        (store, runs, record): (&Store, &Runs, &Record),
    ) -> Worker {
        let listener = TcpListener::bind(address).expect("a free port");
        let worker = Worker(Arc::new(Inner {
            address: listener.local_addr().expect("bound"),
            role,
            version: Mutex::new(version.to_owned()),
            born_ms: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(1),
            is_draining: AtomicBool::new(false),
            left_at: Mutex::default(),
            issues: Mutex::default(),
            limit: Mutex::default(),
            epoch: AtomicU64::new(1),
            sockets: Mutex::default(),
            store: store.clone(),
            runs: runs.clone(),
            record: record.clone(),
        }));
        worker.accept(listener);
        worker.write_entry();
        worker
    }

    /// Returns the identifier.
    pub fn id(&self) -> &str {
        &self.0.role.id
    }

    /// Names a limit in its answers from now on.
    pub fn set_limit(&self, limit: &str) {
        *self.0.limit.lock().unwrap() = Some(limit.to_owned());
        self.0.record.line(&format!("worker {} names Server-Limit: {limit}", self.id()));
    }

    /// Returns the requests that may not be repeated which have reached it.
    pub fn issues(&self) -> Vec<Issue> {
        self.0.issues.lock().unwrap().clone()
    }

    /// Ends at once: all connections are closed, and new ones are refused.
    pub fn crash(&self) {
        self.0.epoch.fetch_add(1, Ordering::SeqCst);
        for socket in self.0.sockets.lock().unwrap().drain(..) {
            // The other end may have closed it already.
            let _ = socket.shutdown(Shutdown::Both);
        }
        self.0.record.line(&format!("worker {} ends", self.id()));
        // The listener is closed by its thread.
        thread::sleep(Duration::from_millis(20));
    }

    /// Starts again under the same identifier and address, with some version. The entry is written by
    /// [`Worker::write_entry`].
    pub fn restart(&self, version: &str) {
        let listener = TcpListener::bind(self.0.address).expect("the port that it had");
        *self.0.version.lock().unwrap() = version.to_owned();
        self.0.born_ms.store(unix_ms(), Ordering::SeqCst);
        self.0.sequence.store(1, Ordering::SeqCst);
        self.0.record.line(&format!("worker {} starts again, software {version}", self.id()));
        self.accept(listener);
    }

    /// Reports that it leaves.
    pub fn drain(&self) {
        self.0.is_draining.store(true, Ordering::SeqCst);
        self.0.sequence.fetch_add(1, Ordering::SeqCst);
        self.write_entry();
        *self.0.left_at.lock().unwrap() = Some(Instant::now());
        self.0.record.line(&format!("worker {} reports draining", self.id()));
    }

    /// Removes the entry.
    pub fn remove_entry(&self) {
        self.0.store.put("servers", self.id(), None);
        self.0.record.line(&format!("the entry of worker {} is removed", self.id()));
    }

    /// Writes the entry.
    pub fn write_entry(&self) {
        let Role { id, service, zone, stage, .. } = &self.0.role;
        let stage = stage.map_or(String::new(), |it| {
            format!(
                "\"stage\":\"{it}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
            )
        });
        let state = match self.0.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let (address, version) = (self.0.address, self.0.version.lock().unwrap().clone());
        let born = self.0.born_ms.load(Ordering::SeqCst);
        let sequence = self.0.sequence.load(Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             {stage}\"sequence\":{sequence},\"born\":{born}}}"
        );
        self.0.store.put("servers", id, Some(entry));
        self.0
            .record
            .line(&format!("the store has the entry of worker {id}: {state}, software {version}"));
    }

    fn accept(&self, listener: TcpListener) {
        let worker = self.clone();
        let epoch = self.0.epoch.fetch_add(1, Ordering::SeqCst) + 1;
        listener.set_nonblocking(true).expect("a socket");
        thread::spawn(move || {
            while worker.is_in(epoch) {
                match listener.accept() {
                    Ok((stream, _)) => worker.clone().serve(stream, epoch),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
    }

    fn is_in(&self, epoch: u64) -> bool {
        self.0.epoch.load(Ordering::SeqCst) == epoch
    }

    fn serve(self, stream: TcpStream, epoch: u64) {
        stream.set_nonblocking(false).expect("a socket");
        self.0.sockets.lock().unwrap().push(stream.try_clone().expect("a socket"));
        thread::spawn(move || {
            let Ok(mut connection) = Connection::new(stream) else { return };
            while let Some(request) = connection.read() {
                if !self.is_in(epoch) || !self.respond(&mut connection, &request, epoch) {
                    break;
                }
            }
            connection.close();
        });
    }

    fn respond(&self, connection: &mut Connection, request: &Message, epoch: u64) -> bool {
        let (method, target) = request.target();
        let id = self.id();
        if request.header("expected-instance").is_some_and(|it| it != id) {
            let answer = format!("HTTP/1.1 421 X\r\nInstance: {id}\r\nContent-Length: 0\r\n\r\n");
            return connection.write(answer.as_bytes());
        }
        let number = unix_ms();
        match (method, target) {
            ("GET", "/health") => {
                let answer =
                    format!("HTTP/1.1 200 X\r\nInstance: {id}\r\nContent-Length: 0\r\n\r\n");
                connection.write(answer.as_bytes())
            }
            ("GET", "/report") => connection.write(&http::json(200, &self.report())),
            ("POST", "/hold-take") => {
                connection.write(&http::json(200, &format!("{{\"hold\":\"h{number}\"}}")))
            }
            ("DELETE", _) => connection.write(&http::json(200, "{}")),
            (_, target) if target.starts_with(ISSUE) => self.issue(connection, request, epoch),
            _ => self.run(connection, request, epoch),
        }
    }

    fn report(&self) -> String {
        let born = self.0.born_ms.load(Ordering::SeqCst);
        format!(
            "{{\"stage\":\"decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"waiting_requests\":0,\"running_requests\":0,\
             \"kv_cache_used\":0,\"kv_cache_total\":57728,\"handles\":0,\"born\":{born}}}"
        )
    }

    /// Runs a request that may not be repeated: it issues a number.
    fn issue(&self, connection: &mut Connection, request: &Message, epoch: u64) -> bool {
        let id = request.header("request-identifier").unwrap_or_default().to_owned();
        let since_leaving =
            self.0.left_at.lock().unwrap().map(|it| it.elapsed().as_millis() as u64);
        let issue = Issue { since_leaving_ms: since_leaving };
        self.0.issues.lock().unwrap().push(issue);
        let text = since_leaving
            .map_or(String::new(), |it| format!(", {it} ms after the store has its leaving"));
        self.0.record.line(&format!("worker {} begins request {id}{text}", self.id()));
        thread::sleep(ISSUE_TIME);
        if !self.is_in(epoch) {
            self.0.record.line(&format!("request {id} is cut at worker {}", self.id()));
            return false;
        }
        let leaving = match since_leaving {
            Some(_) => "Server-Leaving: 1\r\nConnection: close\r\n",
            None => "",
        };
        let limit = self.0.limit.lock().unwrap().clone();
        let limit = limit.map_or(String::new(), |it| format!("Server-Limit: {it}\r\n"));
        let body = format!("number {id}");
        let length = body.len();
        connection.write(
            format!(
                "HTTP/1.1 200 X\r\nRequest-Identifier: {id}\r\nResponse-Signature: s.{id}\r\n{leaving}{limit}\
                 Content-Length: {length}\r\n\r\n{body}"
            )
            .as_bytes(),
        ) && since_leaving.is_none()
    }

    /// Runs a request: the head at once, then the events, from the one after `Last-Event-Id`.
    fn run(&self, connection: &mut Connection, request: &Message, epoch: u64) -> bool {
        let version = self.0.version.lock().unwrap().clone();
        let after = request.header("last-event-id").map(str::to_owned);
        let run = {
            let mut runs = self.0.runs.lock().unwrap();
            let number = runs.len() as u64 + 1;
            runs.push(Run { number, after: after.clone() });
            number
        };
        let id = request.header("request-identifier").unwrap_or_default().to_owned();
        self.0.record.line(&format!(
            "worker {} ({version}) begins run {run} of request {id}, Last-Event-Id {}",
            self.id(),
            after.as_deref().unwrap_or("none")
        ));
        let head = format!(
            "HTTP/1.1 200 X\r\nRequest-Identifier: {id}\r\nResponse-Signature: s.{run}.{id}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let Pace { first, gap, pieces } = self.0.role.pace;
        let mut is_open = connection.write(head.as_bytes());
        thread::sleep(first);
        let begin = after.and_then(|it| it.parse().ok()).unwrap_or(0) + 1;
        for piece in begin..=pieces {
            let event = format!("id: {piece}\ndata: {version} run {run} piece {piece}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && self.is_in(epoch) && connection.write(chunk.as_bytes());
            if !is_open {
                self.0.record.line(&format!("run {run} is broken off at piece {piece}"));
                return false;
            }
            thread::sleep(gap);
        }
        self.0.record.line(&format!("run {run} has made all {pieces} pieces"));
        connection.write(b"0\r\n\r\n")
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
