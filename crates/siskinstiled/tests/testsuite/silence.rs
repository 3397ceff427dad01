//! Connections that go silent for good while new ones work.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use siskinstile_fakes::{engine, plain};

use crate::site::{
    Builder, KEY, bearer, completion, connect, raw, read_all, read_until, request, wait,
};

#[test]
fn silent_in_prefill() {
    let mut builder = Builder { prefills: 2, ..Builder::default() };
    // The computation outlives the limit on silence: only signs of life keep its connection.
    builder.prefill = engine::Config { prefill_rate: 300, places: 1, ..builder.prefill };
    let site = builder.spawn();
    let mut stream = connect(site.daemon.frontend());
    let prompt = "hello ".repeat(450);
    stream.write_all(completion(&prompt, 3, true).as_bytes()).unwrap();
    wait(|| site.prefills.iter().any(|it| !it.seen().is_empty()));
    site.prefills.iter().for_each(|it| it.knobs().silence());
    let text = read_all(&stream);
    assert!(text.contains("[DONE]"), "{text}");
    assert_eq!(site.prefills.iter().map(|it| it.prefills()).sum::<u64>(), 1);
}

#[test]
fn silent_in_transfer() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { transfer_ms: 300_000.0, ..builder.decode };
    let site = builder.spawn();
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(completion("hello", 3, true).as_bytes()).unwrap();
    wait(|| !site.decode.holds().is_empty());
    site.decode.knobs().silence();
    let text = read_all(&stream);
    assert!(text.contains("[DONE]"), "{text}");
}

#[test]
fn silent_in_stream() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 50.0, ..builder.decode };
    let site = builder.spawn();
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(completion("hello", 20, true).as_bytes()).unwrap();
    let mut text = read_until(&stream, "data:");
    site.decode.knobs().silence();
    text.push_str(&read_all(&stream));
    let hash = engine::hash16("hello");
    let tokens: String = (0..20).map(|index| engine::token_at(hash, index)).collect();
    let found: String = text
        .lines()
        .filter_map(|it| it.strip_prefix("data: {"))
        .map(|it| serde_json::from_str::<serde_json::Value>(&format!("{{{it}")).unwrap())
        .map(|it| it["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(found, tokens);
    assert!(text.contains("[DONE]"));
}

#[test]
fn silent_lookup() {
    let site = Builder::default().spawn();
    site.plain.knobs().set_delay_ms(500);
    let mut stream = connect(site.daemon.frontend());
    stream.write_all(request("GET", "/look", &bearer(KEY), "").as_bytes()).unwrap();
    wait(|| !site.plain.runs().is_empty());
    site.plain.knobs().silence();
    site.plain.knobs().set_delay_ms(0);
    assert!(read_all(&stream).starts_with("HTTP/1.1 200"));
}

/// A service that is slow, but not silent, costs a lookup one more run and no answer.
#[test]
fn slow_lookup() {
    let plain = plain::Config { name: "p".into(), delay_ms: 2_500 };
    let site = Builder { plain, ..Builder::default() }.spawn();
    assert_eq!(raw(site.daemon.frontend(), request("GET", "/look", &bearer(KEY), "")).status, 200);
    assert_eq!(site.plain.runs().len(), 2);
}

/// A call that may not be repeated waits for a slow service and runs once.
#[test]
fn slow_charge() {
    let plain = plain::Config { name: "p".into(), delay_ms: 2_500 };
    let site = Builder { plain, ..Builder::default() }.spawn();
    assert_eq!(
        raw(site.daemon.frontend(), request("POST", "/charge", &bearer(KEY), "")).status,
        200
    );
    assert_eq!(site.plain.runs().len(), 1);
}

/// Nothing is sent twice where the connection closes after the request.
#[test]
fn closed_unanswered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            // Counted before the connection closes, which ends the request.
            sender.send(()).unwrap();
        }
    });
    let site = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let answer = raw(site.daemon.frontend(), request("POST", "/raw", &bearer(KEY), "x"));
    assert_eq!((answer.status, &answer.error()["ran"]), (504, &"unknown".into()));
    assert_eq!(receiver.try_iter().count(), 1);
}
