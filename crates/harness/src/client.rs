//! HTTP client with the calls that the demo, the benchmark and the tests make.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Maximum time without data from the frontend before a call fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A response, read completely.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `x-request-id` header; empty if it is missing.
    pub request_id: String,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after: Option<String>,
    /// Whether this is the recorded answer to an earlier request with the same idempotency key.
    pub replayed: bool,
    /// Body parsed as JSON, or as one string if it is not JSON.
    pub body: Value,
}

impl Response {
    /// Returns the `kind` of an error response; empty for other responses.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    /// Returns the `ran` field of an error response (whether the request was run); empty for other
    /// responses.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}

/// A streamed completion as received by its caller.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `x-request-id` header; empty if it is missing.
    pub request_id: String,
    /// Tokens in order of arrival.
    pub tokens: Vec<String>,
    /// Time from sending the request to the arrival of each token.
    pub times: Vec<Duration>,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
}

/// Sends a request to a plain service and reads the response.
///
/// # Errors
///
/// The call failed before the complete response arrived.
pub fn plain(
    frontend: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    idempotency_key: Option<&str>,
    body: &str,
) -> attohttpc::Result<Response> {
    let method = method.parse().unwrap_or_default();
    let mut request = attohttpc::RequestBuilder::new(method, format!("http://{frontend}{path}"))
        .read_timeout(READ_TIMEOUT)
        .header("authorization", format!("Bearer {key}"));
    if let Some(idempotency_key) = idempotency_key {
        request = request.header("idempotency-key", idempotency_key);
    }
    read_response(request.text(body).send()?)
}

fn read_response(response: attohttpc::Response) -> attohttpc::Result<Response> {
    let header = |name: &str| {
        response.headers().get(name).and_then(|it| it.to_str().ok()).map(str::to_owned)
    };
    let request_id = header("x-request-id").unwrap_or_default();
    let (retry_after, replayed) = (header("retry-after"), header("idempotent-replayed").is_some());
    let status = response.status().as_u16();
    let text = response.text()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Ok(Response { status, request_id, retry_after, replayed, body })
}

/// Sends a completion request without streaming and reads the response.
///
/// # Errors
///
/// The call failed before the complete response arrived.
pub fn complete(
    frontend: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    max_tokens: u64,
) -> attohttpc::Result<Response> {
    read_response(post_completion(frontend, key, model, prompt, max_tokens, false)?)
}

fn post_completion(
    frontend: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    max_tokens: u64,
    stream: bool,
) -> attohttpc::Result<attohttpc::Response> {
    let body =
        json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream });
    attohttpc::post(format!("http://{frontend}/v1/completions"))
        .read_timeout(READ_TIMEOUT)
        .header("authorization", format!("Bearer {key}"))
        .json(&body)?
        .send()
}

/// Sends a streamed completion request and reads the stream to its end. A stream that ends early is
/// returned with `done` unset.
///
/// # Errors
///
/// No response arrived, or reading the stream failed.
pub fn stream(
    frontend: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    max_tokens: u64,
) -> attohttpc::Result<Stream> {
    let sent_at = Instant::now();
    let response = post_completion(frontend, key, model, prompt, max_tokens, true)?;
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
            stream.times.push(sent_at.elapsed());
        }
    }
    Ok(stream)
}
