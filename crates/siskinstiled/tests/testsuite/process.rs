//! The real daemon as separate processes, from the objects to the exit.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    thread,
};

use clap::Parser as _;
use siskinstile_fakes::engine;

use crate::site::{
    Builder, KEY, PATIENCE, StandIns, bearer, completion, connect, raw, read_all, read_until,
    register, request, settings, wait,
};

/// A process of the daemon; it is killed when dropped.
struct Process {
    child: Child,
    frontend: SocketAddr,
    admin: SocketAddr,
    file: PathBuf,
    log: Option<thread::JoinHandle<String>>,
}

impl Process {
    fn spawn(name: &str, stand_ins: &StandIns) -> Process {
        let command = Command::new(env!("CARGO_BIN_EXE_siskinstiled"));
        let process = Process::start(command, name, stand_ins, 1);
        process.wait_ready();
        process
    }

    fn wait_ready(&self) {
        wait(|| raw(self.admin, request("GET", "/ready", "", "")).status == 200);
    }

    /// Starts a process of a fleet by a command to which the arguments of the daemon are added.
    fn start(mut command: Command, name: &str, stand_ins: &StandIns, fleet: u64) -> Process {
        let frontend = Builder::default().frontend;
        let mut settings = settings(name, stand_ins.platform.address(), frontend);
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
        register(name, peer.parse().unwrap(), admin, &stand_ins.platform);
        process
    }

    fn signal(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    /// Waits for the exit; returns it with the log.
    fn exit(mut self) -> (ExitStatus, String) {
        let start = std::time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status, self.log.take().unwrap().join().unwrap());
            }
            assert!(start.elapsed() < PATIENCE, "still running");
            thread::sleep(std::time::Duration::from_millis(10));
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

/// Runs the command line and returns its output.
fn siskinctl(line: &[&str]) -> String {
    let args = siskinctl::args::Args::try_parse_from(["siskinctl"].iter().chain(line)).unwrap();
    let mut out = Vec::new();
    assert_eq!(siskinctl::run(&args, &mut out).unwrap(), siskinctl::Code::Success);
    String::from_utf8(out).unwrap()
}

fn slow() -> Builder {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 50.0, ..builder.decode };
    builder
}

/// Two processes serve, explain, report and stop, and cut off nothing.
/// Returns the services that an instance has counts of.
fn services(admin: SocketAddr) -> Vec<String> {
    let report = siskinctl(&["--output", "json", "burn", "--admin", &admin.to_string()]);
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    let rows = report["rows"].as_array().unwrap();
    rows.iter().map(|it| it["service"].to_string()).collect()
}

#[test]
fn process_end_to_end() {
    let stand_ins = slow().stand_ins();
    let [one, two] = ["one", "two"].map(|name| {
        let command = Command::new(env!("CARGO_BIN_EXE_siskinstiled"));
        Process::start(command, name, &stand_ins, 2)
    });
    [&one, &two].into_iter().for_each(Process::wait_ready);
    let streamed = raw(one.frontend, completion("hello", 4, true));
    assert!(streamed.body.contains("[DONE]"), "{streamed:?}");
    assert_eq!(raw(two.frontend, request("GET", "/look", &bearer(KEY), "")).status, 200);
    let headers = format!("{}idempotency-key: visit-1\r\n", bearer(KEY));
    let charge = request("POST", "/charge", &headers, "{}");
    let runs = stand_ins.plain.runs().len();
    assert_eq!(raw(one.frontend, &charge).status, 200);
    wait(|| raw(two.frontend, &charge).header("idempotent-replayed") == Some("true"));
    assert_eq!(stand_ins.plain.runs().len(), runs + 1);

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
    wait(|| raw(one.admin, request("GET", "/ready", "", "")).status == 503);
    text.push_str(&read_all(&open));
    assert!(text.contains("[DONE]"), "{text}");
    let (status, log) = one.exit();
    assert_eq!(status.code(), Some(0));
    assert!(log.contains("E101") && !log.contains("open-sesame"), "{log}");
    wait(|| streams.iter().all(|it| services(two.admin).contains(it)));
    assert_eq!(raw(two.frontend, request("GET", "/look", &bearer(KEY), "")).status, 200);
    two.signal();
    assert_eq!(two.exit().0.code(), Some(0));
}

#[test]
fn process_second_signal() {
    let mut builder = slow();
    builder.decode.token_ms = 1_000.0;
    let stand_ins = builder.stand_ins();
    let process = Process::spawn("one", &stand_ins);
    let mut open = connect(process.frontend);
    open.write_all(completion("hello", 60, true).as_bytes()).unwrap();
    read_until(&open, "data:");
    process.signal();
    wait(|| raw(process.admin, request("GET", "/ready", "", "")).status == 503);
    process.signal();
    let (status, log) = process.exit();
    assert_eq!(status.code(), Some(3), "{log}");
}

#[test]
fn process_address_taken() {
    let stand_ins = Builder::default().stand_ins();
    let process = Process::spawn("one", &stand_ins);
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

/// Errors from accept, here for want of file descriptors, do not end the door.
#[test]
fn process_accept_errors() {
    const DESCRIPTORS: usize = 100;
    let stand_ins = Builder::default().stand_ins();
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {DESCRIPTORS}; exec \"$0\" \"$@\"");
    command.args(["-c", &script, env!("CARGO_BIN_EXE_siskinstiled")]);
    let process = Process::start(command, "one", &stand_ins, 1);
    process.wait_ready();
    let held: Vec<_> = (0..2 * DESCRIPTORS).map(|_| connect(process.frontend)).collect();
    thread::sleep(std::time::Duration::from_millis(200));
    drop(held);
    wait(|| {
        let mut stream = connect(process.frontend);
        let sent = stream.write_all(request("GET", "/look", &bearer(KEY), "").as_bytes());
        sent.is_ok() && read_all(&stream).starts_with("HTTP/1.1 200")
    });
    process.signal();
    let (status, log) = process.exit();
    assert_eq!(status.code(), Some(0));
    assert!(log.contains("E600"), "{log}");
}
