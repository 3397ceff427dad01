//! A client that asks for streams and takes them up again as the pages allow.

use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{http::Connection, record::Record};

/// A request for a stream.
#[derive(Clone)]
pub struct Ask {
    /// Identifier of this attempt.
    pub id: String,
    /// Path.
    pub path: String,
    /// Further header lines, each with its end.
    pub headers: String,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Its identifier.
    pub id: u32,
    /// Software version of the worker that made it.
    pub version: String,
    /// The run that made it.
    pub run: u64,
}

/// What came back.
#[derive(Clone, Default, Debug)]
pub struct Answer {
    /// Status; 0 if the connection ended without an answer.
    pub status: u16,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
    /// The events, in the order in which they arrived.
    pub events: Vec<Event>,
    /// Whether the answer has ended as complete.
    pub is_complete: bool,
}

/// Sends a request that may not be repeated, on a connection of its own; returns the status, 0 if the
/// connection ended without a whole answer.
pub fn issue(front: SocketAddr, id: &str, record: &Record) -> u16 {
    record.line(&format!("request {id} is sent to {front}"));
    let status = send_issue(front, id).unwrap_or(0);
    record.line(&format!("request {id}: status {status}"));
    status
}

fn send_issue(front: SocketAddr, id: &str) -> Option<u16> {
    let stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut connection = Connection::new(stream).ok()?;
    connection.write(
        format!(
            "POST /issue/1 HTTP/1.1\r\nHost: board.example\r\nRequest-Identifier: {id}\r\n\
             Deadline-Milliseconds: 1500\r\nContent-Length: 2\r\n\r\nno"
        )
        .as_bytes(),
    );
    Some(connection.read()?.status())
}

/// Sends a request for a stream on a connection of its own and reads the answer to its end.
pub fn ask(front: SocketAddr, ask: &Ask, record: &Record) -> Answer {
    let Ask { id, path, headers } = ask;
    record.line(&format!("request {id} is sent to {front} {}", headers.replace("\r\n", "; ")));
    let mut answer = Answer::default();
    let Ok(stream) = TcpStream::connect(front) else { return answer };
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    let Ok(mut connection) = Connection::new(stream) else { return answer };
    let body = "summary, please";
    let length = body.len();
    connection.write(
        format!(
            "POST {path} HTTP/1.1\r\nHost: board.example\r\nRequest-Identifier: {id}\r\nModel: m\r\n\
             Deadline-Milliseconds: 14000\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        )
        .as_bytes(),
    );
    read(&mut connection, &mut answer);
    record.line(&format!(
        "request {id}: status {}, {} events ({}), {}",
        answer.status,
        answer.events.len(),
        describe(&answer.events),
        if answer.is_complete { "complete" } else { "broken off" }
    ));
    answer
}

fn read(connection: &mut Connection, answer: &mut Answer) {
    let Some(head) = connection.read_head() else { return };
    answer.status = head.status();
    answer.retry_after =
        head.header("retry-after").and_then(|it| it.parse().ok()).map(Duration::from_secs_f64);
    if !head.is_chunked() {
        answer.is_complete = true;
        return;
    }
    let mut text = String::new();
    while let Some(chunk) = connection.read_chunk() {
        let Some(chunk) = chunk else {
            answer.is_complete = true;
            return;
        };
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            answer.events.extend(parse(&event));
        }
    }
}

fn parse(event: &str) -> Option<Event> {
    let id = event.lines().find_map(|it| it.strip_prefix("id: "))?.parse().ok()?;
    let data = event.lines().find_map(|it| it.strip_prefix("data: "))?;
    let mut words = data.split(' ');
    let version = words.next()?.to_owned();
    let run = words.nth(1)?.parse().ok()?;
    Some(Event { id, version, run })
}

/// Returns which pieces came from which run.
pub fn describe(events: &[Event]) -> String {
    let mut parts: Vec<(u64, &str, u32, u32)> = Vec::new();
    for it in events {
        match parts.last_mut() {
            Some(last) if last.0 == it.run && last.3 + 1 == it.id => last.3 = it.id,
            _ => parts.push((it.run, &it.version, it.id, it.id)),
        }
    }
    let texts = parts.iter().map(|(run, version, first, last)| {
        format!("{first}..{last} of run {run}, software {version}")
    });
    texts.collect::<Vec<_>>().join("; ")
}
