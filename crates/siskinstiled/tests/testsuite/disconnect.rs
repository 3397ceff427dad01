//! Callers that disconnect: at every stage, this is detected and the engine's work is cancelled.

use std::{io::Write, net::TcpStream, thread, time::Duration};

use siskinstile_fakes::{Engine, engine};

use crate::fixture::{Builder, Fixture, completion, connect, read_until, wait_until};

/// Duration of a step that no test waits out, in milliseconds.
const LONG_MS: f64 = 60_000.0;

fn send_completion(fixture: &Fixture, prompt: &str) -> TcpStream {
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(completion(prompt, 50, true).as_bytes()).unwrap();
    stream
}

fn load(engine: &Engine, field: &str) -> u64 {
    let url = format!("http://{}/load", engine.address());
    let load: serde_json::Value = attohttpc::get(url).send().unwrap().json().unwrap();
    load[field].as_u64().unwrap()
}

#[test]
fn disconnect_while_streaming() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 100.0, ..builder.decode };
    let fixture = builder.spawn();
    let stream = send_completion(&fixture, "hello");
    read_until(&stream, "data:");
    assert_eq!(fixture.decode.holds().len(), 1);
    drop(stream);
    wait_until(|| fixture.decode.holds().is_empty());
    assert!(fixture.decode.decoded_tokens() < 50);
    wait_until(|| fixture.decode.cancelled() == 1);
}

#[test]
fn disconnect_before_first_token() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: LONG_MS, ..builder.decode };
    let fixture = builder.spawn();
    let stream = send_completion(&fixture, "hello");
    wait_until(|| load(&fixture.decode, "running") == 1);
    drop(stream);
    wait_until(|| fixture.decode.holds().is_empty());
}

#[test]
fn disconnect_in_transfer() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { transfer_ms: LONG_MS * 1_000.0, ..builder.decode };
    let fixture = builder.spawn();
    let stream = send_completion(&fixture, "hello");
    wait_until(|| fixture.decode.holds().len() == 1);
    drop(stream);
    wait_until(|| fixture.decode.holds().is_empty());
    assert_eq!((fixture.decode.imports(), fixture.decode.cancelled()), (0, 1));
}

#[test]
fn disconnect_in_prefill() {
    let mut builder = Builder::default();
    builder.prefill = engine::Config { prefill_rate: 1, ..builder.prefill };
    let fixture = builder.spawn();
    let stream = send_completion(&fixture, &"hello ".repeat(200));
    wait_until(|| load(&fixture.prefills[0], "running") == 1);
    drop(stream);
    wait_until(|| load(&fixture.prefills[0], "running") == 0);
    assert_eq!((fixture.prefills[0].prefills(), fixture.prefills[0].cancelled()), (0, 1));
}

#[test]
fn disconnect_while_queued() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 20.0, slots: 1, ..builder.decode };
    let fixture = builder.spawn();
    let first = send_completion(&fixture, "hello");
    read_until(&first, "data:");
    let second = send_completion(&fixture, "other");
    thread::sleep(Duration::from_millis(100));
    drop(second);
    read_until(&first, "[DONE]");
    let third = send_completion(&fixture, "third");
    read_until(&third, "[DONE]");
    let received: String = fixture.prefills[0].transcripts().concat();
    assert!(received.contains("third") && !received.contains("other"), "{received}");
}
