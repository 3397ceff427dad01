//! Direct calls of the engines: prefill, import and decode without an instance in between.

use std::{
    io::{BufRead as _, BufReader},
    time::Instant,
};

use anyhow::{Context as _, bail, ensure};
use serde_json::{Value, json};

use super::site::{SINGLE, Site};
use crate::client::Stream;

/// Runs one completion and returns its stream.
///
/// # Errors
///
/// An engine refused a step or a call failed.
pub(super) fn stream(site: &Site, prompt: &str, max_tokens: u64) -> anyhow::Result<Stream> {
    let request = format!("{:016x}", rand::random::<u64>());
    let sent_at = Instant::now();
    let prefill = site.prefill.address();
    let body = json!({"request": request, "attempt": 1, "model": SINGLE, "prompt": prompt,
        "priority": 0});
    let prefilled = read_result(post(&format!("http://{prefill}/prefill"), &body)?)?;
    let kv = prefilled["kv"].as_str().context("the prefill result has no handle")?;
    let decode = site.decode.address();
    let body = json!({"request": request, "attempt": 1, "model": SINGLE, "kv": kv,
        "from": prefill.to_string(), "tokens": prefilled["tokens"], "max_tokens": max_tokens,
        "priority": 0});
    read_result(post(&format!("http://{decode}/import"), &body)?)?;
    let body = json!({"request": request, "attempt": 1, "from_index": 0});
    let response = post(&format!("http://{decode}/decode"), &body)?;
    let mut stream = Stream { status: response.status().as_u16(), ..Stream::default() };
    for line in BufReader::new(response).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data:") else { continue };
        let event: Value = serde_json::from_str(data.trim())?;
        if let Some(token) = event["token"].as_str() {
            stream.tokens.push(token.to_owned());
            stream.times.push(sent_at.elapsed());
        }
        stream.done |= !event["end"].is_null();
    }
    Ok(stream)
}

/// Returns the result event of an engine call, skipping the comment lines before it.
fn read_result(response: attohttpc::Response) -> anyhow::Result<Value> {
    for line in BufReader::new(response).lines() {
        if let Some(data) = line?.strip_prefix("data:") {
            let value: Value = serde_json::from_str(data.trim())?;
            ensure!(value["status"] == 200, "an engine refused a step: {value}");
            return Ok(value);
        }
    }
    bail!("an engine closed the connection without a result")
}

fn post(url: &str, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(url).header("accept", "text/event-stream").json(body)?.send()
}
