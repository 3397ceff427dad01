//! The model API: `/v1/completions`, `/v1/chat/completions` and `/v1/models`.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
};
use serde::Deserialize;
use serde_json::{Value, json};
use siskinstile_core::{
    error::{Failure, Kind},
    request::{self, Arrival, Target},
};

use super::{
    Exchange, HttpResponse, body, check_key, estimate_tokens, idempotency_key, presented_key,
    response,
};
use crate::{
    control::Shared,
    relay::{Part, Payload},
};

/// Maximum number of generated tokens for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Bytes of prompt text in a block of KV-cache memory: 2,000 tokens of 4 bytes.
const BLOCK_BYTES: usize = 8_000;

/// The fields of a completion request that are read; others are ignored.
#[derive(Deserialize)]
#[serde(expecting = "struct Ask")]
struct CompletionRequest {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// What a response contains besides the generated tokens.
#[derive(Clone)]
struct Envelope {
    id: request::Id,
    chat: bool,
    model: String,
    prompt_tokens: u64,
    max_tokens: u64,
}

/// Serves `/v1/completions` and `/v1/chat/completions`, streamed or in one response.
pub(super) async fn serve(
    id: request::Id,
    request: Request<Incoming>,
    shared: &Arc<Shared>,
    body_timeout: Duration,
) -> Result<HttpResponse, Failure> {
    if request.method() != "POST" {
        return Err(Failure::not_run(Kind::MethodNotAllowed));
    }
    check_key(&request, shared)?;
    let chat = request.uri().path() == "/v1/chat/completions";
    let (key, idempotency_key) = (presented_key(&request), idempotency_key(&request));
    let limit = shared.config.load().model_body_limit();
    let bytes = body::read(request.into_body(), limit, body_timeout).await?;
    let fields: CompletionRequest = serde_json::from_slice(&bytes).map_err(bad_json)?;
    let target = Target::Model(fields.model.as_str().into());
    check_route(shared, &target, bytes.len())?;
    let prompt = prompt(&fields, chat)?;
    let prompt_tokens = estimate_tokens(&prompt);
    let max_tokens = fields.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 {
        return Err(bad_request("max_tokens must be at least 1"));
    }
    let arrival = Arrival {
        id,
        key,
        target,
        idempotency_key,
        digest: digest(&bytes),
        prompt_tokens,
        max_tokens,
        prefixes: prefixes(&prompt),
    };
    let envelope = Envelope { id, chat, model: fields.model.clone(), prompt_tokens, max_tokens };
    let payload = Payload::Completion { model: fields.model, prompt, max_tokens, priority: 0 };
    let exchange = Exchange::submit(shared, arrival, payload);
    match fields.stream {
        true => stream_response(exchange, envelope).await,
        false => full_response(exchange, &envelope).await,
    }
}

/// Checks that the model has a route and that the body is within the limit of that route.
///
/// The body has been read up to the largest limit of any model's route.
fn check_route(shared: &Shared, target: &Target, length: usize) -> Result<(), Failure> {
    let config = shared.config.load();
    let route = config.route(target).map_err(Failure::not_run)?;
    match length as u64 > route.body_limit {
        true => Err(body::too_large(route.body_limit)),
        false => Ok(()),
    }
}

fn bad_request(detail: impl Into<String>) -> Failure {
    Failure::not_run(Kind::BadRequest).with_detail(detail)
}

fn bad_json(error: serde_json::Error) -> Failure {
    bad_request(error.to_string())
}

/// Returns the prompt of a completion, or for a chat one line per message, `ROLE: CONTENT`.
fn prompt(fields: &CompletionRequest, chat: bool) -> Result<String, Failure> {
    match (&fields.prompt, &fields.messages) {
        (Some(prompt), _) if !chat => Ok(prompt.clone()),
        (_, Some(messages)) if chat => {
            let lines = messages.iter().map(|it| format!("{}: {}\n", it.role, it.content));
            Ok(lines.collect())
        }
        _ if chat => Err(bad_request("messages is missing")),
        _ => Err(bad_request("prompt is missing")),
    }
}

/// Returns the first 8 bytes of the SHA-256 hash as a big-endian number.
pub(super) fn digest(bytes: &[u8]) -> u64 {
    use sha2::{Digest as _, Sha256};
    let hash: [u8; 32] = Sha256::digest(bytes).into();
    u64::from_be_bytes(hash[..8].try_into().expect("8 of 32 bytes"))
}

/// Returns the hash of each prompt prefix that fills whole blocks of KV-cache memory.
///
/// The shortest prefix is the first.
fn prefixes(prompt: &str) -> Arc<[u64]> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES).map(|n| digest(&bytes[..n * BLOCK_BYTES])).collect()
}

async fn full_response(
    mut exchange: Exchange,
    envelope: &Envelope,
) -> Result<HttpResponse, Failure> {
    let mut text = String::new();
    let mut count = 0;
    loop {
        match exchange.next().await {
            Part::Token(token) => {
                text.push_str(&token);
                count += 1;
            }
            Part::Failed(failure) => return Err(failure),
            Part::End => return Ok(response::json(envelope.id, 200, &envelope.full(&text, count))),
            Part::Head { .. } | Part::Bytes(_) | Part::Replay(_) => {}
        }
    }
}

/// Streams an answer as server-sent events.
///
/// A failure before the first token becomes an error response with its own status, a later one the
/// last event of the stream.
async fn stream_response(
    mut exchange: Exchange,
    envelope: Envelope,
) -> Result<HttpResponse, Failure> {
    let first = match exchange.next().await {
        Part::Failed(failure) => return Err(failure),
        part => part,
    };
    let id = envelope.id;
    let state = (Some(first), Some(exchange), envelope);
    let frames = stream::unfold(state, |(first, exchange, envelope)| async move {
        let mut exchange = exchange?;
        let part = match first {
            Some(part) => part,
            None => exchange.next().await,
        };
        let (text, ended) = envelope.event(&part);
        let exchange = (!ended).then_some(exchange);
        Some((Ok::<_, io::Error>(Frame::data(Bytes::from(text))), (None, exchange, envelope)))
    });
    let builder = Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-cache")
        .header(response::REQUEST_ID, id.to_string());
    Ok(builder.body(StreamBody::new(frames).boxed()).expect("headers are valid"))
}

impl Envelope {
    /// Returns the server-sent event for a part, and whether it is the last one.
    fn event(&self, part: &Part) -> (String, bool) {
        match part {
            Part::Token(token) => (format!("data: {}\n\n", self.chunk(token)), false),
            Part::End => ("data: [DONE]\n\n".into(), true),
            Part::Failed(failure) => {
                let value = response::failure_value(self.id, failure);
                (format!("data: {value}\n\n"), true)
            }
            Part::Head { .. } | Part::Bytes(_) | Part::Replay(_) => (String::new(), false),
        }
    }

    /// Returns the JSON chunk for a streamed token.
    fn chunk(&self, token: &str) -> Value {
        let (object, choice) = match self.chat {
            true => ("chat.completion.chunk", json!({ "index": 0, "delta": { "content": token } })),
            false => ("text_completion", json!({ "index": 0, "text": token })),
        };
        let id = self.id.to_string();
        json!({ "id": id, "object": object, "model": self.model, "choices": [choice] })
    }

    /// Returns the JSON body of a response that is not streamed; `count` is its number of tokens.
    fn full(&self, text: &str, count: u64) -> Value {
        let (object, mut choice) = match self.chat {
            true => {
                let message = json!({ "role": "assistant", "content": text });
                ("chat.completion", json!({ "index": 0, "message": message }))
            }
            false => ("text_completion", json!({ "index": 0, "text": text })),
        };
        choice["finish_reason"] = if count < self.max_tokens { "stop" } else { "length" }.into();
        json!({
            "id": self.id.to_string(),
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": count,
                "total_tokens": self.prompt_tokens + count,
            },
        })
    }
}

/// Serves the list of models that have a route.
pub(super) fn models(
    id: request::Id,
    request: &Request<Incoming>,
    shared: &Shared,
) -> Result<HttpResponse, Failure> {
    if request.method() != "GET" {
        return Err(Failure::not_run(Kind::MethodNotAllowed));
    }
    check_key(request, shared)?;
    let config = shared.config.load();
    let models: Vec<Value> =
        config.models().map(|name| json!({ "id": name, "object": "model" })).collect();
    Ok(response::json(id, 200, &json!({ "object": "list", "data": models })))
}
