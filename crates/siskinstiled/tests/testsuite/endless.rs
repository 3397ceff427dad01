//! Endpoints that send an answer without end.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{self, Receiver},
    thread,
};

use rstest::rstest;

use crate::fixture::{Builder, completion, send};

/// Bytes after which the endpoint gives up.
const ENDLESS_BYTES: usize = 64 << 20;
/// More than the sockets hold of what nobody has read, and of what may be read.
const MAX_SENT_BYTES: usize = 24 << 20;

/// Starts an endpoint that answers with a head and one line without end; the receiver gets the number of bytes that
/// were taken on each connection.
fn endpoint(head: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            // The test may be over.
            let _ = sender.send(respond(stream.unwrap(), head));
        }
    });
    (address, receiver)
}

fn respond(mut stream: TcpStream, head: &str) -> usize {
    let part = [b'a'; 64 << 10];
    if stream.read(&mut [0; 4_096]).is_err() || stream.write_all(head.as_bytes()).is_err() {
        return 0;
    }
    let mut sent = 0;
    while sent < ENDLESS_BYTES && stream.write_all(&part).is_ok() {
        sent += part.len();
    }
    sent
}

/// Guards against an instance that runs out of memory, and a request that is never answered, since an engine sends a line or
/// a body without end.
#[rstest]
#[case::event("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ")]
#[case::body("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n\"")]
fn result_without_end(#[case] head: &'static str) {
    let (address, sent) = endpoint(head);
    let builder = Builder { prefills: 0, raw_prefill: Some(address), ..Builder::default() };
    let fixture = builder.spawn();
    let response = send(fixture.daemon.frontend(), completion("hello", 3, false));
    assert!(response.status >= 500, "{response:?}");
    let sent = sent.recv().unwrap();
    assert!(sent <= MAX_SENT_BYTES, "{sent}");
}
