//! Invalid, incomplete and oversized requests: each gets an error, and the instance still serves.

use std::io::Write;

use rstest::rstest;
use serde_json::json;
use siskinstiled::settings::Frontend;

use crate::fixture::{
    BODY_LIMIT, Builder, Fixture, KEY, NARROW_LIMIT, bearer, completion, connect, read_all,
    read_until, request, send, wait_until,
};

/// Time limit on receiving a head or a body in these tests, in milliseconds.
const SHORT_MS: u64 = 300;

fn short_limits() -> Fixture {
    let builder = Builder::default();
    let frontend =
        Frontend { head_limit_ms: SHORT_MS, body_limit_ms: SHORT_MS, ..builder.frontend };
    Builder { frontend, ..builder }.spawn()
}

fn assert_serves(fixture: &Fixture) {
    let response = send(fixture.daemon.frontend(), request("GET", "/look", &bearer(KEY), ""));
    assert_eq!(response.status, 200, "{response:?}");
}

#[rstest]
#[case::one_header(format!("x-long: {}\r\n", "a".repeat(70 << 10)))]
#[case::many_headers("x-short: a\r\n".repeat(7_000))]
fn head_too_large(#[case] headers: String) {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), request("GET", "/look", &headers, ""));
    assert_eq!(response.status, 431);
    assert_eq!(response.error()["kind"], "head_too_large");
    assert_eq!(response.error()["ran"], "no");
    assert_serves(&fixture);
}

#[test]
fn head_path_too_large() {
    let fixture = Builder::default().spawn();
    let path = format!("/{}", "a".repeat(70 << 10));
    let response = send(fixture.daemon.frontend(), request("GET", &path, "", ""));
    assert_eq!((response.status, &response.error()["kind"]), (431, &"head_too_large".into()));
}

#[rstest]
#[case::no_http("hello there\r\n\r\n")]
#[case::bad_header("GET /look HTTP/1.1\r\nno colon\r\n\r\n")]
fn head_malformed(#[case] text: &str) {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), text);
    assert_eq!((response.status, &response.error()["kind"]), (400, &"bad_request".into()));
    assert_serves(&fixture);
}

#[test]
fn head_malformed_after_response() {
    let fixture = Builder::default().spawn();
    let first = request("GET", "/look", &bearer(KEY), "").replace("connection: close\r\n", "");
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(first.as_bytes()).unwrap();
    crate::fixture::read_until(&stream, "0\r\n\r\n");
    stream.write_all(b"what\r\n\r\n").unwrap();
    let response = crate::fixture::Response::parse(&read_all(&stream));
    assert_eq!((response.status, &response.error()["kind"]), (400, &"bad_request".into()));
}

#[rstest]
#[case::with_length(request("POST", "/v1/completions", &bearer(KEY), &"a".repeat(BODY_LIMIT + 1)))]
#[case::chunked(chunked(BODY_LIMIT + 1))]
fn body_too_large(#[case] text: String) {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), text);
    assert_eq!(response.status, 413);
    let error = response.error();
    assert_eq!((&error["kind"], &error["ran"]), (&"body_too_large".into(), &"no".into()));
    assert!(error["message"].as_str().unwrap().contains(&BODY_LIMIT.to_string()));
    assert_serves(&fixture);
}

#[rstest]
#[case::within(NARROW_LIMIT / 2, 200)]
#[case::beyond(NARROW_LIMIT, 413)]
fn body_limit_by_route(#[case] prompt: usize, #[case] status: u16) {
    let fixture = Builder::default().spawn();
    let body = json!({"model": "n", "prompt": "a".repeat(prompt), "max_tokens": 1});
    let text = request("POST", "/v1/completions", &bearer(KEY), &body.to_string());
    assert_eq!(send(fixture.daemon.frontend(), text).status, status);
}

fn chunked(length: usize) -> String {
    let chunk = format!("400\r\n{}\r\n", "a".repeat(0x400));
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: door\r\nconnection: close\r\n{}\
         transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        bearer(KEY),
        chunk.repeat(length.div_ceil(0x400)),
    )
}

#[rstest]
#[case::empty("")]
#[case::incomplete("GET /look HTTP/1.1\r\nhost: do")]
fn head_incomplete(#[case] text: &str) {
    let fixture = short_limits();
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(text.as_bytes()).unwrap();
    // Returns once the instance has closed the connection.
    read_all(&stream);
    assert_serves(&fixture);
}

#[test]
fn connection_idle_closed() {
    let fixture = short_limits();
    let first = request("GET", "/look", &bearer(KEY), "").replace("connection: close\r\n", "");
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(first.as_bytes()).unwrap();
    // Returns once the instance has closed the connection.
    assert!(read_all(&stream).starts_with("HTTP/1.1 200"));
}

#[rstest]
#[case::length("content-length: 100\r\n\r\n{\"model\"")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n10\r\n{\"mo")]
fn body_incomplete(#[case] remainder: &str) {
    let fixture = short_limits();
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: door\r\n{}{remainder}", bearer(KEY));
    let response = send(fixture.daemon.frontend(), head);
    assert_eq!((response.status, &response.error()["kind"]), (408, &"request_timeout".into()));
    assert_serves(&fixture);
}

#[rstest]
#[case::truncated("{\"model\": \"m\",\n \"prompt\"", "line 2 column")]
#[case::wrong_type("{\"model\": 7}", "line 1 column 11")]
#[case::no_model("{\"prompt\": \"a\"}", "missing field `model`")]
#[case::no_prompt("{\"model\": \"m\"}", "prompt is missing")]
#[case::no_tokens("{\"model\": \"m\", \"prompt\": \"a\", \"max_tokens\": 0}", "max_tokens")]
fn json_invalid(#[case] body: &str, #[case] expected: &str) {
    let fixture = Builder::default().spawn();
    let response =
        send(fixture.daemon.frontend(), request("POST", "/v1/completions", &bearer(KEY), body));
    let error = response.error();
    assert_eq!((response.status, &error["kind"]), (400, &"bad_request".into()));
    assert!(error["message"].as_str().unwrap().contains(expected), "{error}");
}

/// At the connection limit, with a request in progress on each connection, a new one is refused.
#[test]
fn connections_too_many() {
    let builder = Builder::default();
    let frontend = Frontend { max_connections: 2, ..builder.frontend };
    let fixture = Builder { frontend, ..builder }.spawn();
    fixture.plain.faults().set_delay_ms(2_000);
    let mut connections = [connect(fixture.daemon.frontend()), connect(fixture.daemon.frontend())];
    for stream in &mut connections {
        stream.write_all(request("GET", "/look", &bearer(KEY), "").as_bytes()).unwrap();
    }
    wait_until(|| fixture.plain.transcripts().len() >= connections.len());
    let refused = send(fixture.daemon.frontend(), completion("a", 1, false));
    assert_eq!((refused.status, refused.header("retry-after")), (503, Some("1")));
    assert_eq!(refused.error()["ran"], "no");
    drop(connections);
    fixture.plain.faults().set_delay_ms(0);
    wait_until(|| {
        send(fixture.daemon.frontend(), request("GET", "/look", &bearer(KEY), "")).status == 200
    });
}

/// Connections without a complete request do not lock out other callers.
#[rstest]
#[case::empty("")]
#[case::incomplete_head("GET /look HTTP/1.1\r\nx-half: ")]
fn connections_idle_evicted(#[case] text: &str) {
    let builder = Builder::default();
    let frontend = Frontend { max_connections: 20, ..builder.frontend };
    let fixture = Builder { frontend, ..builder }.spawn();
    let connections: Vec<_> = (0..60)
        .map(|_| {
            let mut stream = connect(fixture.daemon.frontend());
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .collect();
    for _ in 0..5 {
        assert_serves(&fixture);
    }
    drop(connections);
}

/// Guards against connections that keep their slots after an answer: callers that wait between two
/// requests do not lock out others.
#[test]
fn connections_served_evicted() {
    let builder = Builder::default();
    let frontend = Frontend { max_connections: 20, ..builder.frontend };
    let fixture = Builder { frontend, ..builder }.spawn();
    let keep_alive = request("GET", "/look", &bearer(KEY), "").replace("connection: close\r\n", "");
    let connections: Vec<_> = (0..40)
        .map(|_| {
            let mut stream = connect(fixture.daemon.frontend());
            stream.write_all(keep_alive.as_bytes()).unwrap();
            assert!(read_until(&stream, "\"endpoint\"").starts_with("HTTP/1.1 200"));
            stream
        })
        .collect();
    assert_serves(&fixture);
    drop(connections);
}
