//! Completions, streamed or in one response, and callers that do not read.

use std::io::Write;

use rstest::rstest;
use serde_json::{Value, json};
use siskinstile_fakes::engine;
use siskinstiled::settings::Frontend;

use crate::fixture::{
    Builder, KEY, MAX_WAIT, bearer, completion, connect, read_until, request, send, wait_until,
};

#[test]
fn stream_complete() {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), completion("hello", 5, true));
    assert_eq!(response.header("content-type"), Some("text/event-stream"));
    let events: Vec<&str> =
        response.body.lines().filter_map(|it| it.strip_prefix("data: ")).collect();
    assert_eq!((events.len(), events[5]), (6, "[DONE]"), "{response:?}");
    let hash = engine::hash16("hello");
    for (index, event) in events[..5].iter().enumerate() {
        let event: Value = serde_json::from_str(event).unwrap();
        let token = engine::token_at(hash, index as u64);
        assert_eq!(event["choices"][0]["text"], json!(token));
    }
}

#[test]
fn response_usage() {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), completion("12345678", 3, false));
    let body: Value = serde_json::from_str(&response.body).unwrap();
    let usage = json!({"prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5});
    assert_eq!(body["usage"], usage);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
}

#[rstest]
#[case::not_streamed(false, "chat.completion")]
#[case::streamed(true, "chat.completion.chunk")]
fn chat_object(#[case] stream: bool, #[case] object: &str) {
    let fixture = Builder::default().spawn();
    let body = json!({"model": "m", "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 2, "stream": stream});
    let text = request("POST", "/v1/chat/completions", &bearer(KEY), &body.to_string());
    let response = send(fixture.daemon.frontend(), text);
    assert_eq!(response.status, 200);
    assert!(response.body.contains(&format!("\"{object}\"")), "{response:?}");
}

/// A caller that reads no bytes is disconnected, which frees its worker thread and engine memory.
#[test]
fn caller_not_reading() {
    const TOKENS: u64 = 200_000;
    let mut builder = Builder::default();
    builder.frontend = Frontend { silence_limit_ms: 300, ..builder.frontend };
    builder.decode = engine::Config { token_ms: 0.0, memory: 10 * TOKENS, ..builder.decode };
    let fixture = builder.spawn();
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(completion("hello", TOKENS, true).as_bytes()).unwrap();
    read_until(&stream, "data:");
    assert!(!fixture.decode.holds().is_empty(), "ended within {MAX_WAIT:?}");
    wait_until(|| fixture.decode.holds().is_empty());
    assert!(fixture.decode.decoded_tokens() < TOKENS);
}
