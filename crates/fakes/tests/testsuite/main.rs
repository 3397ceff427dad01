//! Tests that call the fakes over loopback.

mod engine;
mod faults;
mod plain;
mod platform;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

/// Maximum time to wait for a state that a test expects.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Sends a request and returns the status and the JSON body of the answer.
fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> Result<(u16, Value), attohttpc::Error> {
    let method = method.parse().expect("a method");
    let answer = attohttpc::RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .read_timeout(MAX_WAIT)
        .json(body)?
        .send()?;
    Ok((answer.status().as_u16(), answer.json()?))
}

fn call(address: SocketAddr, method: &str, path: &str, body: &Value) -> (u16, Value) {
    try_call(address, method, path, body).expect("an answer")
}

/// Reads a token stream to its end; returns its events and whether the response was complete.
fn stream(address: SocketAddr, body: &Value) -> (Vec<Value>, bool) {
    let answer = attohttpc::post(format!("http://{address}/decode"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .json(body)
        .expect("a body")
        .send()
        .expect("an answer");
    assert_eq!(answer.status().as_u16(), 200);
    let mut events = Vec::new();
    for line in BufReader::new(answer).lines() {
        let Ok(line) = line else { return (events, false) };
        if let Some(data) = line.strip_prefix("data: ") {
            events.push(serde_json::from_str(data).expect("an event"));
        }
    }
    (events, true)
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < deadline, "not reached: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
