//! Answers of plain services: whole, bounded in memory, with or without a body.

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use rstest::rstest;

use crate::site::{Answer, Builder, KEY, bearer, canned, connect, raw, read_all, request};

#[rstest]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 700\r\nx-a: b\r\n\r\n", 200, Some("700"))]
#[case::no_content("GET", "HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n", 204, None)]
#[case::not_modified("GET", "HTTP/1.1 304 Not Modified\r\nx-a: b\r\n\r\n", 304, None)]
fn answer_without_body(
    #[case] method: &str,
    #[case] canned_answer: &str,
    #[case] status: u16,
    #[case] length: Option<&str>,
) {
    let address = canned(canned_answer.into());
    let site = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let answer = raw(site.daemon.frontend(), request(method, "/raw", &bearer(KEY), ""));
    assert_eq!((answer.status, answer.body.as_str()), (status, ""));
    assert_eq!((answer.header("x-a"), answer.header("content-length")), (Some("b"), length));
}

#[test]
fn answer_with_service_error() {
    let address = canned(b"HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops".to_vec());
    let site = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let answer = raw(site.daemon.frontend(), request("GET", "/raw", &bearer(KEY), ""));
    assert_eq!(answer.status, 500);
    assert!(answer.body.contains("oops"));
}

/// An answer that breaks off must not look whole.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf", 200)]
#[case::second_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\na\r\n",
    200
)]
#[case::first_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nhalf", 504)]
fn answer_cut(#[case] canned_answer: &str, #[case] status: u16) {
    let site = Builder { raw: Some(canned(canned_answer.into())), ..Builder::default() }.spawn();
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(request("POST", "/raw", &bearer(KEY), "").as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let answer = Answer::parse(&String::from_utf8_lossy(&bytes));
    assert_eq!(answer.status, status, "{answer:?}");
    match status {
        200 => {
            assert!(answer.body.contains("half"), "{answer:?}");
            assert!(!answer.body.ends_with("0\r\n\r\n"), "{answer:?}");
        }
        _ => assert_eq!(answer.error()["ran"], "unknown"),
    }
}

/// Only as much is read from the service as the caller takes, and what waits in between.
#[test]
fn answer_big_bounded() {
    const CHUNK: usize = 64 << 10;
    const CHUNKS: usize = 1_024;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", CHUNK * CHUNKS);
        stream.write_all(head.as_bytes()).unwrap();
        for _ in 0..CHUNKS {
            if stream.write_all(&[b'Z'; CHUNK]).is_err() {
                return;
            }
            counter.fetch_add(CHUNK, Ordering::Relaxed);
        }
    });
    let site = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(request("GET", "/raw", &bearer(KEY), "").as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(500));
    let waiting = sent.load(Ordering::Relaxed);
    assert!(waiting < CHUNK * CHUNKS / 2, "{waiting} bytes read ahead");
    let text = read_all(&stream);
    assert_eq!(text.matches('Z').count(), CHUNK * CHUNKS);
}
