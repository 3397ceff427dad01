//! The adapter for model engines: prefill, import and decode over HTTP.

use std::{
    io,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use siskinstile_core::{
    object,
    request::{Id, Outcome, Step},
};

use super::{
    Endpoint, Job, READ_TIMEOUT, has_ended,
    lines::{self, Lines},
    may_have_been_sent, without_proxy,
};
use crate::relay::Payload;

/// Time limit on a prefill or on a transfer of KV-cache memory.
const COMPUTE_TIMEOUT: Duration = Duration::from_secs(30);
/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// The adapter for model engines.
#[derive(Debug)]
pub struct Engine;

impl Endpoint for Engine {
    fn run(&self, job: Job<'_>, step: &Step, on_first: &dyn Fn()) -> Outcome {
        if job.relay.is_closed() {
            return Outcome::Failed {
                sent: false,
                next_index: job.relay.next_index(),
                ended: false,
            };
        }
        let result = match step {
            Step::Prefill => prefill(&job),
            Step::Import { kv, from } => import(&job, kv, from),
            Step::Decode { from_index } => decode(&job, *from_index, on_first),
            Step::Forward => Ok(Outcome::Refused { status: 400 }),
        };
        if job.relay.is_closed() {
            // A cancel that the engine received before the call had no effect, so it is repeated.
            let _ = self.cancel(job.request, job.attempt, job.endpoint);
        }
        result.unwrap_or_else(|error| {
            log::debug!("request {} at {}: {error}", job.request, job.endpoint.name);
            {
                let sent = may_have_been_sent(&error);
                let ended = sent && has_ended(job.endpoint);
                Outcome::Failed { sent, next_index: job.relay.next_index(), ended }
            }
        })
    }

    fn cancel(
        &self,
        request: Id,
        attempt: u32,
        endpoint: &object::Endpoint,
    ) -> Result<(), attohttpc::Error> {
        let body = json!({ "request": request.to_string(), "attempt": attempt });
        let url = format!("http://{}/cancel", endpoint.address);
        without_proxy(attohttpc::post(url)).read_timeout(READ_TIMEOUT).json(&body)?.send()?;
        Ok(())
    }
}

fn post(job: &Job<'_>, path: &str, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    let url = format!("http://{}/{path}", job.endpoint.address);
    without_proxy(attohttpc::post(url))
        .read_timeout(READ_TIMEOUT)
        .header("accept", EVENT_STREAM)
        .json(body)?
        .send()
}

/// Returns the status and the JSON body of a response.
///
/// In an event stream, the first data event is the body and may contain the status. While it
/// computes, the engine sends comment lines as keep-alives.
fn read_result(response: attohttpc::Response) -> attohttpc::Result<(u16, Value)> {
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type").and_then(|it| it.to_str().ok());
    if !content_type.is_some_and(|it| it.starts_with(EVENT_STREAM)) {
        return Ok((status, lines::read_json(response)));
    }
    let start = Instant::now();
    for line in Lines::new(response) {
        if let Some(data) = line?.strip_prefix("data:") {
            let body: Value = serde_json::from_str(data.trim()).unwrap_or(Value::Null);
            let status = body["status"].as_u64().and_then(|it| u16::try_from(it).ok());
            return Ok((status.unwrap_or(200), body));
        }
        if start.elapsed() > COMPUTE_TIMEOUT {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    }
    Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
}

fn prefill(job: &Job<'_>) -> attohttpc::Result<Outcome> {
    let Payload::Completion { model, prompt, priority, .. } = &job.relay.payload else {
        return Ok(Outcome::Refused { status: 400 });
    };
    let body = json!({
        "request": job.request.to_string(),
        "attempt": job.attempt,
        "model": model,
        "prompt": prompt,
        "priority": priority,
    });
    let (status, result) = read_result(post(job, "prefill", &body)?)?;
    match result["kv"].as_str() {
        Some(kv) if status == 200 => {
            let cached = result["cached"].as_u64().unwrap_or(0);
            Ok(Outcome::Computed { kv: kv.into(), cached })
        }
        _ => Ok(Outcome::Refused { status }),
    }
}

fn import(job: &Job<'_>, kv: &str, from: &str) -> attohttpc::Result<Outcome> {
    let Payload::Completion { model, prompt, max_tokens, priority } = &job.relay.payload else {
        return Ok(Outcome::Refused { status: 400 });
    };
    let body = json!({
        "request": job.request.to_string(),
        "attempt": job.attempt,
        "model": model,
        "kv": kv,
        "from": from,
        "tokens": crate::frontend::estimate_tokens(prompt),
        "max_tokens": max_tokens,
        "priority": priority,
    });
    match read_result(post(job, "import", &body)?)?.0 {
        200 => Ok(Outcome::Imported),
        status => Ok(Outcome::Refused { status }),
    }
}

fn decode(job: &Job<'_>, from_index: u64, on_first: &dyn Fn()) -> attohttpc::Result<Outcome> {
    let body = json!({
        "request": job.request.to_string(),
        "attempt": job.attempt,
        "from_index": from_index,
    });
    let response = post(job, "decode", &body)?;
    let status = response.status().as_u16();
    if status != 200 {
        return Ok(Outcome::Refused { status });
    }
    job.relay.begin_attempt(job.attempt);
    let mut started = false;
    for line in Lines::new(response) {
        let line = line?;
        let Some(data) = line.strip_prefix("data:") else { continue };
        let event: Value = serde_json::from_str(data.trim()).unwrap_or(Value::Null);
        if !event["end"].is_null() {
            let tokens = job.relay.next_index();
            return Ok(Outcome::Completed { tokens, answer: None });
        }
        let (Some(index), Some(token)) = (event["index"].as_u64(), event["token"].as_str()) else {
            continue;
        };
        if job.relay.send_token(job.attempt, index, token.to_owned()).is_err() {
            break;
        }
        if !started {
            started = true;
            on_first();
        }
    }
    let ended = !job.relay.is_closed() && has_ended(job.endpoint);
    Ok(Outcome::Failed { sent: true, next_index: job.relay.next_index(), ended })
}
