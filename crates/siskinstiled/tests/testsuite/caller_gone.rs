//! A caller that leaves is noticed at every stage, and its engine work is cancelled.

use std::{io::Write, net::TcpStream, thread, time::Duration};

use siskinstile_fakes::{Engine, engine};

use crate::site::{Builder, Site, completion, connect, read_until, wait};

/// A time that no step of these tests reaches, in milliseconds.
const LONG_MS: f64 = 60_000.0;

fn ask(site: &Site, prompt: &str) -> TcpStream {
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(completion(prompt, 50, true).as_bytes()).unwrap();
    stream
}

fn load(engine: &Engine, field: &str) -> u64 {
    let url = format!("http://{}/load", engine.address());
    let load: serde_json::Value = attohttpc::get(url).send().unwrap().json().unwrap();
    load[field].as_u64().unwrap()
}

#[test]
fn gone_while_streaming() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 100.0, ..builder.decode };
    let site = builder.spawn();
    let stream = ask(&site, "hello");
    read_until(&stream, "data:");
    assert_eq!(site.decode.holds().len(), 1);
    drop(stream);
    wait(|| site.decode.holds().is_empty());
    assert!(site.decode.decoded_tokens() < 50);
    wait(|| site.decode.cancelled() == 1);
}

#[test]
fn gone_before_the_first_token() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: LONG_MS, ..builder.decode };
    let site = builder.spawn();
    let stream = ask(&site, "hello");
    wait(|| load(&site.decode, "running") == 1);
    drop(stream);
    wait(|| site.decode.holds().is_empty());
}

#[test]
fn gone_in_transfer() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { transfer_ms: LONG_MS * 1_000.0, ..builder.decode };
    let site = builder.spawn();
    let stream = ask(&site, "hello");
    wait(|| site.decode.holds().len() == 1);
    drop(stream);
    wait(|| site.decode.holds().is_empty());
    assert_eq!((site.decode.imports(), site.decode.cancelled()), (0, 1));
}

#[test]
fn gone_in_prefill() {
    let mut builder = Builder::default();
    builder.prefill = engine::Config { prefill_rate: 1, ..builder.prefill };
    let site = builder.spawn();
    let stream = ask(&site, &"hello ".repeat(200));
    wait(|| load(&site.prefills[0], "running") == 1);
    drop(stream);
    wait(|| load(&site.prefills[0], "running") == 0);
    assert_eq!((site.prefills[0].prefills(), site.prefills[0].cancelled()), (0, 1));
}

#[test]
fn gone_while_queued() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 20.0, places: 1, ..builder.decode };
    let site = builder.spawn();
    let first = ask(&site, "hello");
    read_until(&first, "data:");
    let second = ask(&site, "other");
    thread::sleep(Duration::from_millis(100));
    drop(second);
    read_until(&first, "[DONE]");
    let third = ask(&site, "third");
    read_until(&third, "[DONE]");
    let seen: String = site.prefills[0].seen().concat();
    assert!(seen.contains("third") && !seen.contains("other"), "{seen}");
}
