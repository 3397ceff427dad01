//! The adapter for plain services, to which requests are forwarded over HTTP.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use siskinstile_core::{
    object,
    request::{Id, Outcome, Response, Step},
};

use super::{Endpoint, Job, READ_TIMEOUT, has_ended, may_have_been_sent, without_proxy};
use crate::relay::{Part, Payload};

/// Time limit on a read for a request that cannot be retried or is a retry.
///
/// A plain service sends no keep-alives while it works. The first attempt of an idempotent request
/// therefore has a short time limit, and only a retry waits for a slow service.
const LONG_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of one part of a relayed body, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum size of a response body that is recorded for replay, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;
/// Hop-by-hop response headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 5] =
    ["connection", "transfer-encoding", "keep-alive", "upgrade", "trailer"];

/// The adapter for plain services.
#[derive(Debug)]
pub struct Plain;

impl Endpoint for Plain {
    fn run(&self, job: Job<'_>, step: &Step, on_first: &dyn Fn()) -> Outcome {
        let failed = |sent| {
            let ended = sent && has_ended(job.endpoint);
            Outcome::Failed { sent, next_index: 0, ended }
        };
        match step {
            Step::Forward => {}
            _ => return Outcome::Refused { status: 400 },
        }
        job.relay.begin_attempt(job.attempt);
        match send(&job) {
            // The client does not read on after an interim response.
            Ok(response) if response.status().is_informational() => failed(true),
            Ok(response) => relay(&job, response, on_first).unwrap_or_else(|_| failed(true)),
            Err(error) => failed(may_have_been_sent(&error)),
        }
    }

    /// Does nothing, since plain services have no cancel call; closing the connection cancels.
    fn cancel(
        &self,
        _request: Id,
        _attempt: u32,
        _endpoint: &object::Endpoint,
    ) -> Result<(), attohttpc::Error> {
        Ok(())
    }
}

fn send(job: &Job<'_>) -> attohttpc::Result<attohttpc::Response> {
    let Payload::Plain { method, path, headers, body, idempotent } = &job.relay.payload else {
        return Err(io::Error::from(io::ErrorKind::ConnectionRefused).into());
    };
    let read_timeout = match job.attempt {
        1 if *idempotent => READ_TIMEOUT,
        _ => LONG_READ_TIMEOUT,
    };
    let url = format!("http://{}{path}", job.endpoint.address);
    let method = method.parse().unwrap_or_default();
    let mut request = without_proxy(attohttpc::RequestBuilder::new(method, url))
        .follow_redirects(false)
        .read_timeout(read_timeout)
        .header("x-request-id", job.request.to_string());
    for (name, value) in headers {
        let name: attohttpc::header::HeaderName = match name.parse() {
            Ok(name) => name,
            Err(_) => continue,
        };
        request = request.header(name, value);
    }
    request.bytes(body.clone()).send()
}

/// Relays the response; after its head, an error aborts the response to the caller.
fn relay(job: &Job<'_>, response: attohttpc::Response, on_first: &dyn Fn()) -> io::Result<Outcome> {
    let disconnected = Ok(Outcome::Failed { sent: true, next_index: 0, ended: false });
    let (status, headers, mut reader) = response.split();
    let mut recorded = Response {
        status: status.as_u16(),
        content_type: header_text(&headers, "content-type"),
        body: String::new(),
    };
    let mut body = Body::new(job, status.as_u16(), &headers);
    let mut recorded_bytes = Vec::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut n = body.read(&mut reader, &mut buffer)?;
    let head =
        Part::Head { status: recorded.status, headers: forwarded_headers(&headers, body.is_empty) };
    if job.relay.send_part(job.attempt, head).is_err() {
        return disconnected;
    }
    on_first();
    while n > 0 {
        if job.keep_answer && recorded_bytes.len() <= MAX_RECORDED_BYTES {
            recorded_bytes.extend_from_slice(&buffer[..n]);
        }
        let bytes = Bytes::copy_from_slice(&buffer[..n]);
        if job.relay.send_part(job.attempt, Part::Bytes(bytes)).is_err() {
            return disconnected;
        }
        n = body.read(&mut reader, &mut buffer)?;
    }
    let text = Some(recorded_bytes).filter(|it| job.keep_answer && it.len() <= MAX_RECORDED_BYTES);
    let text = text.and_then(|it| String::from_utf8(it).ok());
    let answer = text.map(|text| {
        recorded.body = text;
        Arc::new(recorded)
    });
    Ok(Outcome::Completed { tokens: 0, answer })
}

/// Expected length of a response body.
struct Body {
    /// Whether a response to this method or with this status has no body.
    is_empty: bool,
    /// Bytes still to be read, if the head has a `content-length`.
    remaining: Option<u64>,
}

impl Body {
    fn new(job: &Job<'_>, status: u16, headers: &attohttpc::header::HeaderMap) -> Body {
        let is_head =
            matches!(&job.relay.payload, Payload::Plain { method, .. } if method == "HEAD");
        let is_empty = is_head || matches!(status, 204 | 304);
        Body { is_empty, remaining: header_text(headers, "content-length").parse().ok() }
    }

    /// Reads the next bytes into `buffer` and returns their number, which is 0 at the end.
    ///
    /// A body that ends before its declared length is an error.
    fn read(&mut self, reader: &mut impl io::Read, buffer: &mut [u8]) -> io::Result<usize> {
        if self.is_empty {
            return Ok(0);
        }
        let n = reader.read(buffer)?;
        match &mut self.remaining {
            Some(remaining) if n == 0 && *remaining > 0 => Err(io::ErrorKind::UnexpectedEof.into()),
            Some(remaining) => {
                *remaining = remaining.saturating_sub(n as u64);
                Ok(n)
            }
            None => Ok(n),
        }
    }
}

fn header_text(headers: &attohttpc::header::HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

/// Returns the headers to forward; `content-length` is among them only if there is no body.
fn forwarded_headers(
    headers: &attohttpc::header::HeaderMap,
    is_empty: bool,
) -> Vec<(String, String)> {
    let is_forwarded = |name: &str| match name {
        "content-length" => is_empty,
        _ => !HOP_BY_HOP_HEADERS.contains(&name),
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
