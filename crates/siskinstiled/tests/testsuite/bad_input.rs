//! Bad input: a clear error at bounded cost, and the door goes on.

use std::io::Write;

use rstest::rstest;
use serde_json::json;
use siskinstiled::settings::Frontend;

use crate::site::{
    BODY_LIMIT, Builder, KEY, NARROW_LIMIT, Site, bearer, completion, connect, raw, read_all,
    request, wait,
};

/// Limit on arrival in these tests, in milliseconds.
const SHORT_MS: u64 = 300;

fn short() -> Site {
    let builder = Builder::default();
    let frontend =
        Frontend { head_limit_ms: SHORT_MS, body_limit_ms: SHORT_MS, ..builder.frontend };
    Builder { frontend, ..builder }.spawn()
}

fn assert_serves(site: &Site) {
    let answer = raw(site.daemon.frontend(), request("GET", "/look", &bearer(KEY), ""));
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[rstest]
#[case::one_header(format!("x-long: {}\r\n", "a".repeat(70 << 10)))]
#[case::many_headers("x-short: a\r\n".repeat(7_000))]
fn head_too_large(#[case] headers: String) {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), request("GET", "/look", &headers, ""));
    assert_eq!(answer.status, 431);
    assert_eq!(answer.error()["kind"], "head_too_large");
    assert_eq!(answer.error()["ran"], "no");
    assert_serves(&site);
}

#[test]
fn head_path_too_large() {
    let site = Builder::default().spawn();
    let path = format!("/{}", "a".repeat(70 << 10));
    let answer = raw(site.daemon.frontend(), request("GET", &path, "", ""));
    assert_eq!((answer.status, &answer.error()["kind"]), (431, &"head_too_large".into()));
}

#[rstest]
#[case::no_http("hello there\r\n\r\n")]
#[case::bad_header("GET /look HTTP/1.1\r\nno colon\r\n\r\n")]
fn head_malformed(#[case] text: &str) {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), text);
    assert_eq!((answer.status, &answer.error()["kind"]), (400, &"bad_request".into()));
    assert_serves(&site);
}

#[test]
fn head_malformed_after_an_answer() {
    let site = Builder::default().spawn();
    let first = request("GET", "/look", &bearer(KEY), "").replace("connection: close\r\n", "");
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(first.as_bytes()).unwrap();
    crate::site::read_until(&stream, "0\r\n\r\n");
    stream.write_all(b"what\r\n\r\n").unwrap();
    let answer = crate::site::Answer::parse(&read_all(&stream));
    assert_eq!((answer.status, &answer.error()["kind"]), (400, &"bad_request".into()));
}

#[rstest]
#[case::with_length(request("POST", "/v1/completions", &bearer(KEY), &"a".repeat(BODY_LIMIT + 1)))]
#[case::chunked(chunked(BODY_LIMIT + 1))]
fn body_too_large(#[case] text: String) {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), text);
    assert_eq!(answer.status, 413);
    let error = answer.error();
    assert_eq!((&error["kind"], &error["ran"]), (&"body_too_large".into(), &"no".into()));
    assert!(error["message"].as_str().unwrap().contains(&BODY_LIMIT.to_string()));
    assert_serves(&site);
}

#[rstest]
#[case::within(NARROW_LIMIT / 2, 200)]
#[case::beyond(NARROW_LIMIT, 413)]
fn body_limit_of_own_route(#[case] prompt: usize, #[case] status: u16) {
    let site = Builder::default().spawn();
    let body = json!({"model": "n", "prompt": "a".repeat(prompt), "max_tokens": 1});
    let text = request("POST", "/v1/completions", &bearer(KEY), &body.to_string());
    assert_eq!(raw(site.daemon.frontend(), text).status, status);
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
#[case::nothing("")]
#[case::half("GET /look HTTP/1.1\r\nhost: do")]
fn head_half_sent(#[case] text: &str) {
    let site = short();
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(text.as_bytes()).unwrap();
    // Returns only when the door closes.
    read_all(&stream);
    assert_serves(&site);
}

#[test]
fn idle_after_an_answer() {
    let site = short();
    let first = request("GET", "/look", &bearer(KEY), "").replace("connection: close\r\n", "");
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(first.as_bytes()).unwrap();
    // Returns only when the door closes.
    assert!(read_all(&stream).starts_with("HTTP/1.1 200"));
}

#[rstest]
#[case::length("content-length: 100\r\n\r\n{\"model\"")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n10\r\n{\"mo")]
fn body_half_sent(#[case] rest: &str) {
    let site = short();
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: door\r\n{}{rest}", bearer(KEY));
    let answer = raw(site.daemon.frontend(), head);
    assert_eq!((answer.status, &answer.error()["kind"]), (408, &"request_timeout".into()));
    assert_serves(&site);
}

#[rstest]
#[case::cut("{\"model\": \"m\",\n \"prompt\"", "line 2 column")]
#[case::wrong_type("{\"model\": 7}", "line 1 column 11")]
#[case::no_model("{\"prompt\": \"a\"}", "missing field `model`")]
#[case::no_prompt("{\"model\": \"m\"}", "prompt is missing")]
#[case::no_tokens("{\"model\": \"m\", \"prompt\": \"a\", \"max_tokens\": 0}", "max_tokens")]
fn json_bad(#[case] body: &str, #[case] expected: &str) {
    let site = Builder::default().spawn();
    let answer =
        raw(site.daemon.frontend(), request("POST", "/v1/completions", &bearer(KEY), body));
    let error = answer.error();
    assert_eq!((answer.status, &error["kind"]), (400, &"bad_request".into()));
    assert!(error["message"].as_str().unwrap().contains(expected), "{error}");
}

/// Two connections at most, and requests under way on both.
#[test]
fn connections_too_many() {
    let builder = Builder::default();
    let frontend = Frontend { max_connections: 2, ..builder.frontend };
    let site = Builder { frontend, ..builder }.spawn();
    site.plain.knobs().set_delay_ms(2_000);
    let mut held = [connect(site.daemon.frontend()), connect(site.daemon.frontend())];
    for stream in &mut held {
        stream.write_all(request("GET", "/look", &bearer(KEY), "").as_bytes()).unwrap();
    }
    wait(|| site.plain.seen().len() >= held.len());
    let refused = raw(site.daemon.frontend(), completion("a", 1, false));
    assert_eq!((refused.status, refused.header("retry-after")), (503, Some("1")));
    assert_eq!(refused.error()["ran"], "no");
    drop(held);
    site.plain.knobs().set_delay_ms(0);
    wait(|| raw(site.daemon.frontend(), request("GET", "/look", &bearer(KEY), "")).status == 200);
}

/// Callers that send nothing whole keep out nobody.
#[rstest]
#[case::nothing("")]
#[case::half_a_head("GET /look HTTP/1.1\r\nx-half: ")]
fn connections_waiting(#[case] text: &str) {
    let builder = Builder::default();
    let frontend = Frontend { max_connections: 20, ..builder.frontend };
    let site = Builder { frontend, ..builder }.spawn();
    let held: Vec<_> = (0..60)
        .map(|_| {
            let mut stream = connect(site.daemon.frontend());
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .collect();
    for _ in 0..5 {
        assert_serves(&site);
    }
    drop(held);
}
