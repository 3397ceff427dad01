//! Case 9: a worker is killed in the middle of an answer without a length.
//!
//! Usage: `case_9 PROGRAM FOLDER`; `TROUBLE=0` kills no worker. `case_9 worker ID` is one of the workers, a process
//! of its own that prints its address.

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
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use fleet::{Folder, Gateway, Place, Record, free_network};
use http::{Connection, Message};
use store::Store;

const SERVICE: &str = "registry";
const HOST: &str = "licences.example";
const KEY: &str = "key-of-the-only-tenant";
/// Bytes of an answer, as in the sheet of the requests.
const ANSWER_BYTES: usize = 800;
/// Time that a worker needs for the second half of an answer; the sheet has 60 ms of work for a request.
const WORK: Duration = Duration::from_millis(60);
/// Workers of the service; one of them crashes: share 0.25.
const WORKERS: usize = 4;
/// Rounds of requests; a worker crashes in each.
const ROUNDS: usize = 5;
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_secs(3);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args[0] == "worker" {
        return work(&args[1]);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let (folder, record) = (Folder::new(), Record::new());
    let result = run(&PathBuf::from(&args[0]), &folder.0, &record, trouble);
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

/// Serves requests until it is killed. An answer has no length: it ends with its connection.
fn work(id: &str) {
    let id = id.to_owned();
    let serve = move |connection: &mut Connection| {
        while let Some(request) = connection.message() {
            if request.header("Expected-Instance").is_some_and(|it| it != id) {
                connection.respond("421 Misdirected Request", &[("Instance", &id)], "");
                continue;
            }
            answer(connection, &request, &id);
            return;
        }
    };
    let address = http::serve("127.0.0.1:0".parse().expect("an address"), serve);
    println!("{address}");
    // The standard input ends with the process that has started this one.
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}

fn answer(connection: &mut Connection, request: &Message, worker: &str) {
    let id = request.header("Request-Identifier").unwrap_or_default();
    let body = body_of(id);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Identifier: {id}\r\nResponse-Signature: {worker}.{id}.{}\r\n\
         Content-Type: text/plain\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let (first, second) = body.split_at(body.len() / 2);
    connection.write(head.as_bytes());
    connection.write(first.as_bytes());
    thread::sleep(WORK);
    connection.write(second.as_bytes());
}

fn body_of(id: &str) -> String {
    let line = format!("licence of {id}; ");
    line.chars().cycle().take(ANSWER_BYTES).collect()
}

struct Worker {
    id: String,
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
    fn start(number: usize, store: &Store) -> Option<Worker> {
        let id = format!("i-{number}");
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["worker", &id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut line = String::new();
        BufReader::new(child.stdout.take()?).read_line(&mut line).ok()?;
        let worker = Worker { id, child, address: line.trim().parse().ok()? };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis());
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"north-a","version":"v1","slots":6,"state":"ready",
"cold_remaining_ms":0,"sequence":1,"born":{born}}}"#,
            worker.address
        );
        store.put("servers", &worker.id, &entry);
        Some(worker)
    }
}

fn run(
    program: &Path,
    folder: &Path,
    record: &Record,
    trouble: bool,
) -> Result<bool, &'static str> {
    let store = Store::default();
    let listener = store.listen(0, "127.0.0.1:0".parse().expect("an address"));
    store.put("config", "main", &configuration());
    let start = |number| Worker::start(number, &store).ok_or("a worker does not start");
    let mut workers = (1..=WORKERS).map(start).collect::<Result<Vec<Worker>, _>>()?;
    let [a, b, c] = free_network();
    let ip = Ipv4Addr::new(a, b, c, 1);
    let place =
        Place { name: "front-north-a-1", zone: "north-a", ip, store: listener, bootstrap: true };
    let gateway = Gateway::start(program, folder, &place, &[ip]);
    if !gateway.await_ready() {
        return Err("the machine is not ready");
    }
    let mut wrong = 0;
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..2 * WORKERS)
            .map(|number| format!("{round:x}{number:015x}"))
            .map(|id| {
                (id.clone(), thread::spawn(move || (send(gateway.front, &id), Instant::now())))
            })
            .collect();
        thread::sleep(WORK / 2);
        if trouble {
            let worker = &mut workers[round % WORKERS];
            worker.child.kill().map_err(|_| "a worker cannot be killed")?;
            record.note(format!("worker {} is killed (SIGKILL)", worker.id));
        }
        for (id, client) in clients {
            let Ok((answer, at)) = client.join() else { return Err("a client fails") };
            let Some(answer) = answer else {
                record.note_at(at, format!("{id}: no complete answer"));
                continue;
            };
            let (whole, got) = (body_of(&id), answer.text());
            let signature = answer.header("Response-Signature").unwrap_or("none").to_owned();
            let is_wrong = (200..300).contains(&answer.status()) && got != whole;
            wrong += usize::from(is_wrong);
            let mark = if is_wrong { "  MIXED: not the whole body" } else { "" };
            let (status, length) = (answer.status(), got.len());
            record.note_at(at, format!(
                "{id}: {status}, complete answer with {length} of {ANSWER_BYTES} bytes, signature {signature}{mark}"
            ));
        }
        if trouble {
            thread::sleep(DOWN);
            let number = round % WORKERS;
            workers[number] = start(number + 1)?;
            record.note(format!("worker {} is up again", workers[number].id));
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    record.note(match wrong {
        0 => "MIXED held".to_owned(),
        _ => format!("MIXED is broken: {wrong} successes without the worker's whole body"),
    });
    Ok(wrong == 0)
}

/// Sends a request that isn't idempotent; returns the answer if it is complete on the wire.
fn send(front: SocketAddr, id: &str) -> Option<Message> {
    let text = format!(
        "POST /issue/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: {id}\r\nDeadline-Milliseconds: 1500\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 4\r\n\r\ntext"
    );
    http::request(front, &text, Duration::from_secs(3))
}

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"/issue/","kind":"unsafe",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"{SERVICE}","attempts":1,"public":false}}],
"services":[{{"name":"{SERVICE}","health_check":"/health","connection_limit":96,"protocol":"h1","tls":false}}],
"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"tenant-1","keys":["{KEY}"],"priority":1,"unit":"tokens","uncached_tokens":200,
"rate_per_s":0,"burst":0}}]}}"#
    )
}
