//! Endpoints that stop responding on open connections but still serve new ones.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use siskinstile_fakes::{engine, plain};

use crate::fixture::{
    Builder, KEY, bearer, completion, connect, read_all, read_until, request, send, wait_until,
};

#[test]
fn unresponsive_in_prefill() {
    let mut builder = Builder { prefills: 2, ..Builder::default() };
    // The prefill takes longer than the read time-out, so that only keep-alives prevent a failure.
    builder.prefill = engine::Config { prefill_rate: 300, slots: 1, ..builder.prefill };
    let fixture = builder.spawn();
    let mut stream = connect(fixture.daemon.frontend());
    let prompt = "hello ".repeat(450);
    stream.write_all(completion(&prompt, 3, true).as_bytes()).unwrap();
    wait_until(|| fixture.prefills.iter().any(|it| !it.transcripts().is_empty()));
    fixture.prefills.iter().for_each(|it| it.faults().mute_connections());
    let text = read_all(&stream);
    assert!(text.contains("[DONE]"), "{text}");
    assert_eq!(fixture.prefills.iter().map(|it| it.prefills()).sum::<u64>(), 1);
}

#[test]
fn unresponsive_in_transfer() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { transfer_ms: 300_000.0, ..builder.decode };
    let fixture = builder.spawn();
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(completion("hello", 3, true).as_bytes()).unwrap();
    wait_until(|| !fixture.decode.holds().is_empty());
    fixture.decode.faults().mute_connections();
    let text = read_all(&stream);
    assert!(text.contains("[DONE]"), "{text}");
}

#[test]
fn unresponsive_in_decode() {
    let mut builder = Builder::default();
    builder.decode = engine::Config { token_ms: 50.0, ..builder.decode };
    let fixture = builder.spawn();
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(completion("hello", 20, true).as_bytes()).unwrap();
    let mut text = read_until(&stream, "data:");
    fixture.decode.faults().mute_connections();
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
fn unresponsive_lookup() {
    let fixture = Builder::default().spawn();
    fixture.plain.faults().set_delay_ms(500);
    let mut stream = connect(fixture.daemon.frontend());
    stream.write_all(request("GET", "/look", &bearer(KEY), "").as_bytes()).unwrap();
    wait_until(|| !fixture.plain.runs().is_empty());
    fixture.plain.faults().mute_connections();
    fixture.plain.faults().set_delay_ms(0);
    assert!(read_all(&stream).starts_with("HTTP/1.1 200"));
}

/// An idempotent request to a slow service is run twice, since the first attempt times out, and
/// succeeds.
#[test]
fn slow_lookup() {
    let plain = plain::Config { name: "p".into(), delay_ms: 2_500 };
    let fixture = Builder { plain, ..Builder::default() }.spawn();
    assert_eq!(
        send(fixture.daemon.frontend(), request("GET", "/look", &bearer(KEY), "")).status,
        200
    );
    assert_eq!(fixture.plain.runs().len(), 2);
}

/// A non-idempotent request waits for a slow service and is run once.
#[test]
fn slow_charge() {
    let plain = plain::Config { name: "p".into(), delay_ms: 2_500 };
    let fixture = Builder { plain, ..Builder::default() }.spawn();
    assert_eq!(
        send(fixture.daemon.frontend(), request("POST", "/charge", &bearer(KEY), "")).status,
        200
    );
    assert_eq!(fixture.plain.runs().len(), 1);
}

/// A non-idempotent request is not retried if the connection closes without a response.
#[test]
fn closed_without_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            // A connection that only shows that the service listens brings no byte.
            if stream.read(&mut [0; 4_096]).unwrap_or(0) > 0 {
                // Sent before the connection closes, since the request fails at that moment.
                sender.send(()).unwrap();
            }
        }
    });
    let fixture = Builder { raw: Some(address), ..Builder::default() }.spawn();
    let response = send(fixture.daemon.frontend(), request("POST", "/raw", &bearer(KEY), "x"));
    assert_eq!((response.status, &response.error()["ran"]), (504, &"unknown".into()));
    assert_eq!(receiver.try_iter().count(), 1);
}
