//! The daemon's binary in separate processes, from start to exit.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use clap::Parser as _;
use rstest::rstest;
use siskinstile_fakes::engine;

use crate::fixture::{
    Builder, Fakes, KEY, MAX_WAIT, Response, bearer, canned, completion, connect, read_all,
    read_until, register, request, send, settings, wait_until,
};

/// Maximum time that a stopping process may keep its listener open before a slow caller reads on.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(5);

/// A daemon process, which is killed when dropped.
struct Process {
    child: Child,
    frontend: SocketAddr,
    admin: SocketAddr,
    file: PathBuf,
    log: Option<thread::JoinHandle<String>>,
}

impl Process {
    fn spawn(name: &str, fakes: &Fakes) -> Process {
        let command = Command::new(env!("CARGO_BIN_EXE_siskinstiled"));
        let process = Process::start(command, name, fakes, 1);
        process.wait_ready();
        process
    }

    fn wait_ready(&self) {
        wait_until(|| send(self.admin, request("GET", "/ready", "", "")).status == 200);
    }

    /// Starts a process by `command`, to which the daemon's arguments are added.
    ///
    /// `fleet` is the number of instances in its settings.
    fn start(mut command: Command, name: &str, fakes: &Fakes, fleet: u64) -> Process {
        let frontend = Builder::default().frontend;
        let mut settings = settings(name, fakes.platform.address(), frontend);
        settings.fleet.size = fleet;
        let file = std::env::temp_dir().join(format!("{name}-{:016x}.toml", rand::random::<u64>()));
        fs::write(&file, toml::to_string(&settings).unwrap()).unwrap();
        let mut child = command
            .arg("--config")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        let mut stderr = child.stderr.take().unwrap();
        let log = thread::spawn(move || {
            let mut text = String::new();
            let _ = stderr.read_to_string(&mut text);
            text
        });
        let [_, frontend, _, admin, _, peer] = words[..] else { panic!("{line}") };
        let (frontend, admin) = (frontend.parse().unwrap(), admin.parse().unwrap());
        let process = Process { child, frontend, admin, file, log: Some(log) };
        register(name, peer.parse().unwrap(), admin, &fakes.platform);
        process
    }

    fn signal(&self) {
        self.send_signal("TERM");
    }

    fn send_signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let name = format!("-{name}");
        assert!(Command::new("kill").args([&name, &id]).status().unwrap().success());
    }

    /// Waits until the process accepts no caller's connection; returns whether that came within
    /// [`MAX_CLOSE_WAIT`].
    fn closes_listener(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < MAX_CLOSE_WAIT {
            if TcpStream::connect(self.frontend).is_err() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Waits for the process to exit; returns its status and its log.
    fn exit(mut self) -> (ExitStatus, String) {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status, self.log.take().unwrap().join().unwrap());
            }
            assert!(start.elapsed() < MAX_WAIT, "still running");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

/// Runs `siskinctl` with the given arguments and returns its output.
fn siskinctl(line: &[&str]) -> String {
    let args = siskinctl::args::Args::try_parse_from(["siskinctl"].iter().chain(line)).unwrap();
    let mut out = Vec::new();
    assert_eq!(siskinctl::run(&args, &mut out).unwrap(), siskinctl::Code::Success);
    String::from_utf8(out).unwrap()
}

/// Returns the options of a fixture whose decode engine takes 50 ms per token.
fn slow_decode() -> Builder {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 50.0, ..builder.decode };
    builder
}

/// Returns the services in the burn report of an instance.
fn services(admin: SocketAddr) -> Vec<String> {
    let report = siskinctl(&["--output", "json", "burn", "--admin", &admin.to_string()]);
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    let rows = report["rows"].as_array().unwrap();
    rows.iter().map(|it| it["service"].to_string()).collect()
}

/// Two processes serve, replay, explain, report and stop gracefully without aborting a request.
#[test]
fn process_end_to_end() {
    let fakes = slow_decode().fakes();
    let [one, two] = ["one", "two"].map(|name| {
        let command = Command::new(env!("CARGO_BIN_EXE_siskinstiled"));
        Process::start(command, name, &fakes, 2)
    });
    [&one, &two].into_iter().for_each(Process::wait_ready);
    let streamed = send(one.frontend, completion("hello", 4, true));
    assert!(streamed.body.contains("[DONE]"), "{streamed:?}");
    assert_eq!(send(two.frontend, request("GET", "/look", &bearer(KEY), "")).status, 200);
    let headers = format!("{}idempotency-key: visit-1\r\n", bearer(KEY));
    let charge = request("POST", "/charge", &headers, "{}");
    let runs = fakes.plain.runs().len();
    assert_eq!(send(one.frontend, &charge).status, 200);
    wait_until(|| send(two.frontend, &charge).header("idempotent-replayed") == Some("true"));
    assert_eq!(fakes.plain.runs().len(), runs + 1);

    let id = streamed.header("x-request-id").unwrap();
    let admin = one.admin.to_string();
    let explained = siskinctl(&["explain", id, "--admin", &admin]);
    assert!(explained.contains("answered, 4 tokens"), "{explained}");
    let burn = siskinctl(&["--output", "json", "burn", "--admin", &admin]);
    assert!(burn.contains("\"t\""), "{burn}");
    let (streams, lookups) = (services(one.admin), services(two.admin));
    assert!(streams.iter().any(|it| !lookups.contains(it)), "{streams:?} {lookups:?}");

    let mut open = connect(one.frontend);
    open.write_all(completion("again", 20, true).as_bytes()).unwrap();
    let mut text = read_until(&open, "data:");
    siskinctl(&["drain", "--admin", &admin]);
    wait_until(|| send(one.admin, request("GET", "/ready", "", "")).status == 503);
    text.push_str(&read_all(&open));
    drop(open);
    assert!(text.contains("[DONE]"), "{text}");
    let (status, log) = one.exit();
    assert_eq!(status.code(), Some(0));
    assert!(log.contains("E101") && !log.contains("open-sesame"), "{log}");
    wait_until(|| streams.iter().all(|it| services(two.admin).contains(it)));
    assert_eq!(send(two.frontend, request("GET", "/look", &bearer(KEY), "")).status, 200);
    two.signal();
    assert_eq!(two.exit().0.code(), Some(0));
}

#[test]
fn process_second_signal_aborts() {
    let mut builder = slow_decode();
    builder.decode.token_ms = 1_000.0;
    let fakes = builder.fakes();
    let process = Process::spawn("one", &fakes);
    let mut open = connect(process.frontend);
    open.write_all(completion("hello", 60, true).as_bytes()).unwrap();
    read_until(&open, "data:");
    process.signal();
    wait_until(|| send(process.admin, request("GET", "/ready", "", "")).status == 503);
    process.signal();
    let (status, log) = process.exit();
    assert_eq!(status.code(), Some(3), "{log}");
}

/// Guards against answers that are cut by the end of the process, which came as soon as the last
/// request was answered, although a slow caller had not received the answer yet. A connection without
/// a request does not hold up the exit.
#[rstest]
#[case::some_in_http_buffer(4 << 20)]
#[case::some_in_channel(9 << 19)]
fn process_slow_caller_gets_whole_answer(#[case] size: usize) {
    let mut answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + size, b'Z');
    let fakes = Builder { raw: Some(canned(answer)), ..Builder::default() }.fakes();
    let process = Process::spawn("one", &fakes);
    let _idle = connect(process.frontend);
    let mut caller = connect(process.frontend);
    caller.write_all(request("GET", "/raw", &bearer(KEY), "").as_bytes()).unwrap();
    caller.peek(&mut [0]).unwrap();
    process.signal();
    // An answer that does not fit into the buffers keeps its request open, and the listener too.
    let _ = process.closes_listener();
    let text = read_all(&caller);
    assert_eq!(text.matches('Z').count(), size);
    assert_eq!(process.exit().0.code(), Some(0));
}

/// Guards against callers that go on sending on a connection to an instance that is about to stop:
/// each response during a drain says that the connection closes, on old connections and on new ones.
#[test]
fn process_connection_closes_while_draining() {
    // A service that does not respond keeps its request open, and so the drain going.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let fakes = Builder { raw: silent.local_addr().ok(), ..Builder::default() }.fakes();
    let process = Process::spawn("one", &fakes);
    let mut open = connect(process.frontend);
    open.write_all(request("POST", "/raw", &bearer(KEY), "").as_bytes()).unwrap();
    let _service = silent.accept().unwrap();
    let early = connect(process.frontend);
    process.signal();
    wait_until(|| send(process.admin, request("GET", "/ready", "", "")).status == 503);
    for mut caller in [early, connect(process.frontend)] {
        let keep_alive =
            request("GET", "/look", &bearer(KEY), "").replace("connection: close\r\n", "");
        caller.write_all(keep_alive.as_bytes()).unwrap();
        let response = Response::parse(&read_all(&caller));
        assert!([200, 503].contains(&response.status), "{response:?}");
        assert_eq!(response.header("connection"), Some("close"));
    }
}

/// Guards against requests without an answer: one that is still being received when the instance
/// stops is refused.
#[test]
fn process_arrival_at_stop() {
    let fakes = Builder::default().fakes();
    let process = Process::spawn("one", &fakes);
    let charge = request("POST", "/charge", &bearer(KEY), "{}");
    let (start, end) = charge.split_at(charge.len() - 1);
    let mut caller = connect(process.frontend);
    caller.write_all(start.as_bytes()).unwrap();
    process.signal();
    assert!(process.closes_listener());
    caller.write_all(end.as_bytes()).unwrap();
    let response = Response::parse(&read_all(&caller));
    assert_eq!((response.status, response.header("connection")), (503, Some("close")));
    let error = response.error();
    assert_eq!((&error["kind"], &error["ran"]), (&"draining".into(), &"no".into()));
    drop(caller);
    assert_eq!(process.exit().0.code(), Some(0));
    assert!(fakes.plain.runs().is_empty());
}

#[test]
fn process_address_in_use() {
    let fakes = Builder::default().fakes();
    let process = Process::spawn("one", &fakes);
    let text = fs::read_to_string(&process.file).unwrap();
    let file = process.file.with_extension("taken");
    fs::write(&file, text.replacen("127.0.0.1:0", &process.frontend.to_string(), 1)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskinstiled"));
    let output = command.arg("--config").arg(&file).output().unwrap();
    fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains(&format!("cannot listen on {}", process.frontend)), "{error}");
}

/// An error on accepting a connection, here due to too few file descriptors, does not end the
/// listener for callers.
#[test]
fn process_accept_error() {
    const DESCRIPTORS: usize = 100;
    let fakes = Builder::default().fakes();
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {DESCRIPTORS}; exec \"$0\" \"$@\"");
    command.args(["-c", &script, env!("CARGO_BIN_EXE_siskinstiled")]);
    let process = Process::start(command, "one", &fakes, 1);
    process.wait_ready();
    let connections: Vec<_> = (0..2 * DESCRIPTORS).map(|_| connect(process.frontend)).collect();
    thread::sleep(Duration::from_millis(200));
    drop(connections);
    wait_until(|| {
        let mut stream = connect(process.frontend);
        let sent = stream.write_all(request("GET", "/look", &bearer(KEY), "").as_bytes());
        sent.is_ok() && read_all(&stream).starts_with("HTTP/1.1 200")
    });
    process.signal();
    let (status, log) = process.exit();
    assert_eq!(status.code(), Some(0));
    assert!(log.contains("E600"), "{log}");
}

/// Guards against an instance that ends at once, with its callers' requests, by a signal that tells other programs to read
/// their settings again, or that comes when the file of its log is full.
#[rstest]
#[case::hangup("HUP")]
#[case::log_file_full("XFSZ")]
fn process_goes_on(#[case] signal: &str) {
    let fakes = slow_decode().fakes();
    let process = Process::spawn("one", &fakes);
    let mut open = connect(process.frontend);
    open.write_all(completion("hello", 4, true).as_bytes()).unwrap();
    read_until(&open, "data:");
    process.send_signal(signal);
    let text = read_all(&open);
    assert!(text.contains("[DONE]"), "{text}");
    process.signal();
    assert_eq!(process.exit().0.code(), Some(0));
}

/// Guards against an instance that ends at each start, since nobody reads its output.
#[test]
fn process_output_closed() {
    let fakes = Builder::default().fakes();
    let settings = settings("one", fakes.platform.address(), Builder::default().frontend);
    let file = std::env::temp_dir().join(format!("closed-{:016x}.toml", rand::random::<u64>()));
    fs::write(&file, toml::to_string(&settings).unwrap()).unwrap();
    let before = fakes.platform.counters();
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskinstiled"));
    command.arg("--config").arg(&file).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().unwrap();
    drop(child.stdout.take());
    wait_until(|| fakes.platform.counters() != before);
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    let status = child.wait().unwrap();
    fs::remove_file(&file).unwrap();
    assert_eq!(status.code(), Some(0));
}
