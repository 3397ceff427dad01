//! Case 7: a worker crashes, starts again with new software and crashes before its entry tells so.
//!
//! Usage: `case_7 PROGRAM FOLDER`; with `TROUBLE=0` the worker drains, leaves and starts again with new software.
//!
//! `case_7 PROGRAM FOLDER ahead` is case 8: the clocks of the workers are half a second ahead of that of the gateway, and
//! the worker crashes again only after its entry has told the new version. `case_7 worker
//! ID VERSION ADDRESS` is one of the workers, a process of its own that prints its address.

#[path = "fleet.rs"]
mod fleet;
#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[path = "store.rs"]
mod store;

use std::{
    io::{BufRead, BufReader, Read},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fleet::{Folder, Gateway, Place, Record, free_network};
use http::{Connection, Message};
use store::Store;

const SERVICE: &str = "drafts";
const HOST: &str = "reviews.example";
const KEY: &str = "key-of-the-only-tenant";
/// Workers of the service; one of them crashes: share 0.25.
const WORKERS: usize = 4;
const STREAMS: usize = 16;
const EVENTS: usize = 40;
const EVENT_GAP: Duration = Duration::from_millis(40);
/// Time from the start of a worker to its entry; `lag_ms` of the site files.
const ENTRY_LAG: Duration = Duration::from_millis(800);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(300);
/// Time for which a worker goes on serving after its report that it is draining; more than `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_300);
/// Time by which the clocks of the workers are ahead in case 8.
const AHEAD_MS: u128 = 500;
/// Time from the start of the upgraded worker to the first request, and to its crash.
const FIRST_REQUEST: Duration = Duration::from_millis(150);
const CRASH: Duration = Duration::from_millis(550);
/// The same in case 8, in which the entry comes before.
const LATE_CRASH: Duration = Duration::from_millis(1_400);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args[0] == "worker" {
        return work(&args[1], &args[2], &args[3], args.len() > 4);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let (folder, record) = (Folder::new(), Record::new());
    let is_ahead = args.len() > 2;
    let result = run(&PathBuf::from(&args[0]), &folder.0, &record, (trouble, is_ahead));
    record.save(&PathBuf::from(&args[1]));
    drop(folder);
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            exit(2)
        }
    }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis())
}

/// Serves requests until it is killed.
fn work(id: &str, version: &str, address: &str, is_ahead: bool) {
    let born = unix_ms() + if is_ahead { AHEAD_MS } else { 0 };
    let (id, version) = (id.to_owned(), version.to_owned());
    let serve = move |connection: &mut Connection| {
        while let Some(request) = connection.message() {
            let is_served = if request.header("Expected-Instance").is_some_and(|it| it != id) {
                connection.respond("421 Misdirected Request", &[("Instance", &id)], "")
            } else if request.path() == "/report" {
                let body = format!("{{\"born\":{born}}}");
                connection.respond("200 OK", &[("Content-Type", "application/json")], &body)
            } else {
                stream(connection, &request, &id, &version)
            };
            if !is_served {
                return;
            }
        }
    };
    let address = http::serve(address.parse().expect("an address"), serve);
    println!("{address} {born}");
    // The standard input ends with the process that has started this one.
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}

/// Streams the events after `Last-Event-Id`, or all; each names the version that has written it.
fn stream(connection: &mut Connection, request: &Message, worker: &str, version: &str) -> bool {
    let id = request.header("Request-Identifier").unwrap_or_default();
    let last = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Identifier: {id}\r\n\
         Response-Signature: {worker}.{id}\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes());
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {version} {worker}\n\n");
        if !connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
            return false;
        }
        thread::sleep(EVENT_GAP);
    }
    connection.write(b"0\r\n\r\n")
}

struct Worker {
    id: String,
    version: &'static str,
    born: String,
    child: Child,
    address: SocketAddr,
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Worker {
    fn start(id: &str, version: &'static str, address: &str, is_ahead: bool) -> Option<Worker> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["worker", id, version, address].into_iter().chain(is_ahead.then_some("ahead")))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut line = String::new();
        BufReader::new(child.stdout.take()?).read_line(&mut line).ok()?;
        let (address, born) = line.trim().split_once(' ')?;
        let (address, born) = (address.parse().ok()?, born.to_owned());
        Some(Worker { id: id.to_owned(), version, born, child, address })
    }

    fn entry(&self, state: &str) -> String {
        let Worker { version, born, address, .. } = self;
        let sequence = if state == "ready" { 1 } else { 2 };
        format!(
            r#"{{"service":"{SERVICE}","address":"{address}","zone":"north-a","version":"{version}","slots":64,
"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        )
    }
}

fn run(
    program: &Path,
    folder: &Path,
    record: &Record,
    (trouble, is_ahead): (bool, bool),
) -> Result<bool, &'static str> {
    let store = Store::default();
    let listener = store.listen(0, "127.0.0.1:0".parse().expect("an address"));
    store.put("config", "main", &configuration());
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let id = format!("i-{number}");
        let worker =
            Worker::start(&id, "v1", "127.0.0.1:0", is_ahead).ok_or("a worker does not start")?;
        store.put("servers", &id, &worker.entry("ready"));
        workers.push(worker);
    }
    let [a, b, c] = free_network();
    let ip = Ipv4Addr::new(a, b, c, 1);
    let place =
        Place { name: "front-north-a-1", zone: "north-a", ip, store: listener, bootstrap: true };
    let gateway = Gateway::start(program, folder, &place, &[ip]);
    if !gateway.await_ready() {
        return Err("the machine is not ready");
    }
    // All workers have served before.
    send_all(gateway.front, "0")?;
    thread::sleep(Duration::from_secs(2));

    let address = workers[0].address.to_string();
    record
        .note("release: software v2 is installed for worker i-1, to be run from its next start on");
    if trouble {
        record.note("worker i-1 is killed (SIGKILL)");
    } else {
        store.put("servers", "i-1", &workers[0].entry("draining"));
        record.note("worker i-1 reports that it is draining");
        thread::sleep(DRAIN);
    }
    drop(workers.remove(0));
    if !trouble {
        store.remove("servers", "i-1");
        record.note("worker i-1 has left");
    }
    thread::sleep(DOWN);
    let mut upgraded =
        Worker::start("i-1", "v2", &address, is_ahead).ok_or("the worker does not start again")?;
    record.note("worker i-1 starts again under its identifier, software v2");
    let entry = upgraded.entry("ready");
    let writer = store.clone();
    let registration = thread::spawn(move || {
        thread::sleep(ENTRY_LAG);
        // What has crashed writes nothing.
        if !trouble || is_ahead {
            writer.put("servers", "i-1", &entry);
        }
    });
    thread::sleep(FIRST_REQUEST);
    let front = gateway.front;
    let clients = thread::spawn(move || send_all(front, "1"));
    thread::sleep(if is_ahead { LATE_CRASH } else { CRASH } - FIRST_REQUEST);
    if trouble {
        upgraded.child.kill().map_err(|_| "a worker cannot be killed")?;
        let when = if is_ahead { "after" } else { "before" };
        record
            .note(format!("worker i-1 is killed (SIGKILL) again, {when} it has written its entry"));
    }
    let answers = clients.join().map_err(|_| "a client fails")??;
    let _ = registration.join();
    let mut joined = 0;
    for (id, answer) in answers {
        let text = answer.text();
        let parts: Vec<&str> =
            text.split("\n\n").filter_map(|it| it.split_once("data: ")).map(|it| it.1).collect();
        let runs = parts.chunk_by(|a, b| a == b).map(|it| format!("{} x {}", it.len(), it[0]));
        let runs = runs.collect::<Vec<_>>().join(", then ");
        let is_joined = text.contains("data: v1") && text.contains("data: v2");
        joined += usize::from(is_joined);
        let mark = if is_joined { "  ORDER: two versions" } else { "" };
        let end = if answer.whole { "complete" } else { "broken off" };
        record.note(format!("{id}: {}, {end}, events {runs}{mark}", answer.message.status()));
    }
    // "More than two streams hold events from workers of two software versions".
    let is_broken = joined > 2;
    record.note(match is_broken {
        true => format!("ORDER is broken: {joined} streams hold events of v1 and v2"),
        false => format!("ORDER held: {joined} streams hold events of v1 and v2"),
    });
    Ok(!is_broken)
}

/// An answer, or the part of it that arrived.
struct Answer {
    message: Message,
    whole: bool,
}

impl Answer {
    fn text(&self) -> String {
        self.message.text()
    }
}

/// Sends streams at the same time.
fn send_all(front: SocketAddr, round: &str) -> Result<Vec<(String, Answer)>, &'static str> {
    let ids = (0..STREAMS).map(|number| format!("{round}{number:015x}"));
    let open: Vec<_> =
        ids.map(|id| (id.clone(), thread::spawn(move || send(front, &id)))).collect();
    let wait = |(id, it): (String, thread::JoinHandle<Option<Answer>>)| {
        let answer = it.join().ok().flatten().ok_or("a client gets no answer")?;
        Ok((id, answer))
    };
    open.into_iter().map(wait).collect()
}

fn send(front: SocketAddr, id: &str) -> Option<Answer> {
    let stream = std::net::TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(14))).ok()?;
    let mut connection = Connection::new(stream);
    let text = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: {id}\r\nDeadline-Milliseconds: 14000\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 4\r\n\r\ntext"
    );
    connection.write(text.as_bytes());
    let mut message = connection.head()?;
    let whole = connection.body(&mut message);
    Some(Answer { message, whole })
}

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"/draft/","kind":"streaming",
"timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"{SERVICE}","attempts":2,"public":false,
"sticky":true,"resumable":true,"target_gap_ms":300}}],
"services":[{{"name":"{SERVICE}","health_check":"/health","connection_limit":360,"protocol":"h1","tls":false}}],
"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"tenant-1","keys":["{KEY}"],"priority":1,"unit":"tokens","uncached_tokens":200,
"rate_per_s":0,"burst":0}}]}}"#
    )
}
