//! A caller.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Limit on silence of the door.
const SILENCE: Duration = Duration::from_secs(20);

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The request's identifier.
    pub request_id: String,
    /// Seconds after which to come back.
    pub retry_after: Option<String>,
    /// Whether it is the recorded answer of an earlier request.
    pub replayed: bool,
    /// The body.
    pub body: Value,
}

impl Answer {
    /// Returns the kind of an error answer.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    /// Returns whether the answer says that the request ran.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}

/// A streamed completion as its caller saw it.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    /// HTTP status.
    pub status: u16,
    /// The request's identifier.
    pub request_id: String,
    /// The tokens.
    pub tokens: Vec<String>,
    /// Time from sending to each token.
    pub times: Vec<Duration>,
    /// Whether `[DONE]` came.
    pub done: bool,
}

/// Sends a plain request.
///
/// # Errors
///
/// No whole answer came.
pub fn plain(
    door: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    idempotency: Option<&str>,
    body: &str,
) -> attohttpc::Result<Answer> {
    let method = method.parse().unwrap_or_default();
    let mut request = attohttpc::RequestBuilder::new(method, format!("http://{door}{path}"))
        .read_timeout(SILENCE)
        .header("authorization", format!("Bearer {key}"));
    if let Some(idempotency) = idempotency {
        request = request.header("idempotency-key", idempotency);
    }
    answer(request.text(body).send()?)
}

fn answer(response: attohttpc::Response) -> attohttpc::Result<Answer> {
    let header = |name: &str| {
        response.headers().get(name).and_then(|it| it.to_str().ok()).map(str::to_owned)
    };
    let request_id = header("x-request-id").unwrap_or_default();
    let (retry_after, replayed) = (header("retry-after"), header("idempotent-replayed").is_some());
    let status = response.status().as_u16();
    let text = response.text()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Ok(Answer { status, request_id, retry_after, replayed, body })
}

/// Sends a completion that is not streamed.
///
/// # Errors
///
/// No whole answer came.
pub fn complete(
    door: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    max_tokens: u64,
) -> attohttpc::Result<Answer> {
    answer(ask(door, key, model, prompt, max_tokens, false)?)
}

fn ask(
    door: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    max_tokens: u64,
    stream: bool,
) -> attohttpc::Result<attohttpc::Response> {
    let body =
        json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream });
    attohttpc::post(format!("http://{door}/v1/completions"))
        .read_timeout(SILENCE)
        .header("authorization", format!("Bearer {key}"))
        .json(&body)?
        .send()
}

/// Sends a streamed completion and reads it to its end.
///
/// # Errors
///
/// No answer came.
pub fn stream(
    door: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    max_tokens: u64,
) -> attohttpc::Result<Stream> {
    let sent = Instant::now();
    let response = ask(door, key, model, prompt, max_tokens, true)?;
    let id = response.headers().get("x-request-id").and_then(|it| it.to_str().ok());
    let mut stream = Stream {
        status: response.status().as_u16(),
        request_id: id.unwrap_or_default().to_owned(),
        ..Stream::default()
    };
    for line in BufReader::new(response).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            stream.done = true;
            break;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(token) = event["choices"][0]["text"].as_str() {
            stream.tokens.push(token.to_owned());
            stream.times.push(sent.elapsed());
        }
    }
    Ok(stream)
}
