//! Responses of plain services: with and without a body, truncated, and larger than the buffers.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use rstest::rstest;

use crate::fixture::{Builder, KEY, Response, bearer, canned, connect, read_all, request, send};

#[rstest]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 700\r\nx-a: b\r\n\r\n", 200, Some("700"))]
#[case::no_content("GET", "HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n", 204, None)]
#[case::not_modified("GET", "HTTP/1.1 304 Not Modified\r\nx-a: b\r\n\r\n", 304, None)]
fn response_without_body(
    #[case] method: &str,
    #[case] canned_response: &str,
    #[case] status: u16,
    #[case] length: Option<&str>,
) {
    let address = canned(canned_response.into());
    let fixture = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let response = send(fixture.daemon.frontend(), request(method, "/raw", &bearer(KEY), ""));
    assert_eq!((response.status, response.body.as_str()), (status, ""));
    assert_eq!((response.header("x-a"), response.header("content-length")), (Some("b"), length));
}

#[test]
fn response_service_error() {
    let address = canned(b"HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops".to_vec());
    let fixture = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let response = send(fixture.daemon.frontend(), request("GET", "/raw", &bearer(KEY), ""));
    assert_eq!(response.status, 500);
    assert!(response.body.contains("oops"));
}

/// A response that ends early must not look complete to the caller.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf", 200)]
#[case::second_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\na\r\n",
    200
)]
#[case::first_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nhalf", 504)]
fn response_truncated(#[case] canned_response: &str, #[case] status: u16) {
    let fixture =
        Builder { raw: Some(canned(canned_response.into())), ..Builder::default() }.spawn();
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(request("POST", "/raw", &bearer(KEY), "").as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let response = Response::parse(&String::from_utf8_lossy(&bytes));
    assert_eq!(response.status, status, "{response:?}");
    match status {
        200 => {
            assert!(response.body.contains("half"), "{response:?}");
            assert!(!response.body.ends_with("0\r\n\r\n"), "{response:?}");
        }
        _ => assert_eq!(response.error()["ran"], "unknown"),
    }
}

/// A response is read from the service only as fast as the caller reads it, plus bounded buffers.
#[test]
fn response_buffering_bounded() {
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
    let fixture = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(request("GET", "/raw", &bearer(KEY), "").as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(500));
    let buffered = sent.load(Ordering::Relaxed);
    assert!(buffered < CHUNK * CHUNKS / 2, "{buffered} bytes read ahead");
    let text = read_all(&stream);
    assert_eq!(text.matches('Z').count(), CHUNK * CHUNKS);
}

/// Guards against answers that are cut when all connections are taken: the one that a new connection
/// replaced could have its last bytes still waiting for a slow caller.
///
/// The sizes of the answers go in small steps through what the system buffers for a connection, so
/// that for some of them only the last bytes wait.
#[test]
fn response_whole_at_connection_limit() {
    const STEP: usize = 16 << 10;
    let sizes: Vec<usize> = (225..261).map(|n| n * STEP).collect();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = sizes.clone();
    thread::spawn(move || {
        for size in served {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
            thread::spawn(move || {
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(&vec![b'Z'; size]);
            });
        }
    });
    let mut builder = Builder { raw: Some(address), ..Builder::default() };
    builder.frontend.max_connections = sizes.len();
    let fixture = builder.spawn();
    let callers: Vec<TcpStream> = sizes
        .iter()
        .map(|_| {
            let mut caller = connect(fixture.daemon.frontend());
            caller.write_all(request("POST", "/raw", &bearer(KEY), "").as_bytes()).unwrap();
            caller.peek(&mut [0]).unwrap();
            caller
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let _others: Vec<TcpStream> =
        sizes.iter().map(|_| connect(fixture.daemon.frontend())).collect();
    // Connections are accepted in order, so that all others are when this one has been served.
    let last = send(fixture.daemon.frontend(), request("GET", "/v1/models", &bearer(KEY), ""));
    assert_eq!(last.status, 200);
    let received: Vec<usize> = callers.iter().map(|it| read_all(it).matches('Z').count()).collect();
    assert_eq!(received, sizes);
}

/// Guards against a request that ends the service each time it starts again: it is refused, and
/// another one on the same path is sent.
#[test]
fn service_ends_on_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ends = Arc::new(AtomicUsize::new(0));
    let count = ends.clone();
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            let listening = listener.take().unwrap_or_else(|| TcpListener::bind(address).unwrap());
            let (mut stream, _) = listening.accept().unwrap();
            // The connection that shows whether it has ended brings nothing.
            if stream.read(&mut [0; 4]).unwrap_or(0) == 0 {
                listener = Some(listening);
                continue;
            }
            drop(listening);
            count.fetch_add(1, Ordering::Relaxed);
            drop(stream);
            thread::sleep(Duration::from_millis(150));
        }
    });
    let fixture = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let ask = |body| {
        let text = request("POST", "/raw", &bearer(KEY), body);
        send(fixture.daemon.frontend(), text)
    };
    let answers: Vec<Response> = (0..12)
        .map(|_| {
            thread::sleep(Duration::from_millis(300));
            ask("fatal")
        })
        .collect();
    let refused = answers.iter().filter(|it| it.status == 503 && it.body.contains("quarantined"));
    assert!(refused.count() >= 6, "{answers:?}");
    let ended = ends.load(Ordering::Relaxed);
    assert!(ended <= 4, "{ended}");
    ask("other");
    assert_eq!(ends.load(Ordering::Relaxed), ended + 1, "the other request is sent");
}

/// Guards against a caller that gets the head of an interim response, or an error without a kind, as the answer.
#[rstest]
#[case::switching("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nok")]
#[case::hints(
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
)]
fn response_interim(#[case] canned_response: &str) {
    let builder = Builder { raw: Some(canned(canned_response.into())), ..Builder::default() };
    let fixture = builder.spawn();
    let response = send(fixture.daemon.frontend(), request("POST", "/raw", &bearer(KEY), ""));
    assert_eq!((response.status, &response.error()["kind"]), (504, &"outcome_unknown".into()));
}
