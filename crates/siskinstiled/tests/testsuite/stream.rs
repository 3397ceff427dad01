//! Completions, streamed and whole, and callers that do not read.

use std::io::Write;

use rstest::rstest;
use serde_json::{Value, json};
use siskinstile_fakes::engine;
use siskinstiled::settings::Frontend;

use crate::site::{
    Builder, KEY, PATIENCE, bearer, completion, connect, raw, read_until, request, wait,
};

#[test]
fn stream_whole() {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), completion("hello", 5, true));
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    let events: Vec<&str> =
        answer.body.lines().filter_map(|it| it.strip_prefix("data: ")).collect();
    assert_eq!((events.len(), events[5]), (6, "[DONE]"), "{answer:?}");
    let hash = engine::hash16("hello");
    for (index, event) in events[..5].iter().enumerate() {
        let event: Value = serde_json::from_str(event).unwrap();
        let token = engine::token_at(hash, index as u64);
        assert_eq!(event["choices"][0]["text"], json!(token));
    }
}

#[test]
fn whole_usage() {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), completion("12345678", 3, false));
    let body: Value = serde_json::from_str(&answer.body).unwrap();
    let usage = json!({"prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5});
    assert_eq!(body["usage"], usage);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
}

#[rstest]
#[case::whole(false, "chat.completion")]
#[case::streamed(true, "chat.completion.chunk")]
fn chat(#[case] stream: bool, #[case] object: &str) {
    let site = Builder::default().spawn();
    let body = json!({"model": "m", "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 2, "stream": stream});
    let text = request("POST", "/v1/chat/completions", &bearer(KEY), &body.to_string());
    let answer = raw(site.daemon.frontend(), text);
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains(&format!("\"{object}\"")), "{answer:?}");
}

/// A caller that takes no bytes holds neither a worker thread nor engine memory for good.
#[test]
fn reader_silent() {
    const TOKENS: u64 = 200_000;
    let mut builder = Builder::default();
    builder.frontend = Frontend { silence_limit_ms: 300, ..builder.frontend };
    builder.decode = engine::Config { token_ms: 0.0, memory: 10 * TOKENS, ..builder.decode };
    let site = builder.spawn();
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(completion("hello", TOKENS, true).as_bytes()).unwrap();
    read_until(&stream, "data:");
    assert!(!site.decode.holds().is_empty(), "ended within {PATIENCE:?}");
    wait(|| site.decode.holds().is_empty());
    assert!(site.decode.decoded_tokens() < TOKENS);
}
