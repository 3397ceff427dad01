//! A model engine over HTTP.

use std::{
    io::{BufRead as _, BufReader},
    time::Duration,
};

use serde_json::{Value, json};
use siskinstile_core::{
    object,
    request::{Id, Outcome, Step},
};

use super::{Endpoint, Job, may_have_left};
use crate::relay::Payload;

/// Limit on setting up a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Limit on a prefill or a transfer.
const COMPUTE: Duration = Duration::from_secs(30);
/// Limit on silence in a stream, in which an engine shows a sign of life each second.
const SILENCE: Duration = Duration::from_secs(2);

/// The adapter for model engines.
#[derive(Debug)]
pub struct Engine;

impl Endpoint for Engine {
    fn run(&self, job: Job<'_>, step: &Step, first: &dyn Fn()) -> Outcome {
        let result = match step {
            Step::Prefill => prefill(&job),
            Step::Import { kv, from } => import(&job, kv, from),
            Step::Decode { from_index } => decode(&job, *from_index, first),
            Step::Forward => Ok(Outcome::Refused { status: 400 }),
        };
        result.unwrap_or_else(|error| Outcome::Broken {
            sent: may_have_left(&error),
            next_index: job.relay.next_index(),
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
        attohttpc::post(url).connect_timeout(CONNECT).timeout(SILENCE).json(&body)?.send()?;
        Ok(())
    }
}

fn post(job: &Job<'_>, path: &str, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    let url = format!("http://{}/{path}", job.endpoint.address);
    let request = attohttpc::post(url).connect_timeout(CONNECT);
    match path {
        "decode" => request.read_timeout(SILENCE).json(body)?.send(),
        _ => request.read_timeout(COMPUTE).json(body)?.send(),
    }
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
    let response = post(job, "prefill", &body)?;
    let status = response.status().as_u16();
    let answer: Value = response.json()?;
    match answer["kv"].as_str() {
        Some(kv) if status == 200 => {
            let cached = answer["cached"].as_u64().unwrap_or(0);
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
        "tokens": crate::door::tokens(prompt),
        "max_tokens": max_tokens,
        "priority": priority,
    });
    match post(job, "import", &body)?.status().as_u16() {
        200 => Ok(Outcome::Imported),
        status => Ok(Outcome::Refused { status }),
    }
}

fn decode(job: &Job<'_>, from_index: u64, first: &dyn Fn()) -> attohttpc::Result<Outcome> {
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
    job.relay.begin(job.attempt);
    let mut begun = false;
    for line in BufReader::new(response).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data:") else { continue };
        let event: Value = serde_json::from_str(data.trim()).unwrap_or(Value::Null);
        if !event["end"].is_null() {
            let tokens = job.relay.next_index();
            return Ok(Outcome::Ended { tokens, answer: None });
        }
        let (Some(index), Some(token)) = (event["index"].as_u64(), event["token"].as_str()) else {
            continue;
        };
        if job.relay.token(job.attempt, index, token.to_owned()).is_err() {
            break;
        }
        if !begun {
            begun = true;
            first();
        }
    }
    Ok(Outcome::Broken { sent: true, next_index: job.relay.next_index() })
}
