//! A plain service over HTTP.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use siskinstile_core::{
    object,
    request::{Id, Outcome, Response, Step},
};

use super::{Endpoint, Job, SILENCE, direct, may_have_left};
use crate::relay::{Part, Payload};

/// Limit on silence where the request cannot be tried again, or has been.
///
/// A plain service shows no sign of life while it works, so that the first attempt of an idempotent
/// request gives up early and only a later one waits for a service that is slow.
const LONG_SILENCE: Duration = Duration::from_secs(10);
/// Bytes relayed at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// Largest answer that a claim keeps, in bytes.
const KEPT_BYTES: usize = 64 << 10;
/// Answer headers of one hop, which do not pass on.
const HOP_HEADERS: [&str; 5] =
    ["connection", "transfer-encoding", "keep-alive", "upgrade", "trailer"];

/// The adapter for plain services.
#[derive(Debug)]
pub struct Plain;

impl Endpoint for Plain {
    fn run(&self, job: Job<'_>, step: &Step, first: &dyn Fn()) -> Outcome {
        let broken = |sent| Outcome::Failed { sent, next_index: 0 };
        match step {
            Step::Forward => {}
            _ => return Outcome::Refused { status: 400 },
        }
        job.relay.begin(job.attempt);
        match send(&job) {
            Ok(response) => relay(&job, response, first).unwrap_or_else(|_| broken(true)),
            Err(error) => broken(may_have_left(&error)),
        }
    }

    /// Plain services take no cancel: the closed connection tells them.
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
    let silence = match job.attempt {
        1 if *idempotent => SILENCE,
        _ => LONG_SILENCE,
    };
    let url = format!("http://{}{path}", job.endpoint.address);
    let method = method.parse().unwrap_or_default();
    let mut request = direct(attohttpc::RequestBuilder::new(method, url))
        .follow_redirects(false)
        .read_timeout(silence)
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

/// Relays the answer; an error after its head is a break that the caller sees.
fn relay(job: &Job<'_>, response: attohttpc::Response, first: &dyn Fn()) -> io::Result<Outcome> {
    let gone = Ok(Outcome::Failed { sent: true, next_index: 0 });
    let (status, headers, mut reader) = response.split();
    let mut recorded = Response {
        status: status.as_u16(),
        content_type: header(&headers, "content-type"),
        body: String::new(),
    };
    let mut body = Body::new(job, status.as_u16(), &headers);
    let mut kept = Vec::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut n = body.read(&mut reader, &mut buffer)?;
    let head = Part::Head { status: recorded.status, headers: passing(&headers, body.is_empty) };
    if job.relay.part(job.attempt, head).is_err() {
        return gone;
    }
    first();
    while n > 0 {
        if job.keep_answer && kept.len() <= KEPT_BYTES {
            kept.extend_from_slice(&buffer[..n]);
        }
        let bytes = Bytes::copy_from_slice(&buffer[..n]);
        if job.relay.part(job.attempt, Part::Bytes(bytes)).is_err() {
            return gone;
        }
        n = body.read(&mut reader, &mut buffer)?;
    }
    let text = Some(kept).filter(|it| job.keep_answer && it.len() <= KEPT_BYTES);
    let text = text.and_then(|it| String::from_utf8(it).ok());
    let answer = text.map(|text| {
        recorded.body = text;
        Arc::new(recorded)
    });
    Ok(Outcome::Completed { tokens: 0, answer })
}

/// What is known of the length of an answer's body.
struct Body {
    /// Whether an answer to this method or with this status has no body at all.
    is_empty: bool,
    /// Bytes that are still due, where the head told the length.
    left: Option<u64>,
}

impl Body {
    fn new(job: &Job<'_>, status: u16, headers: &attohttpc::header::HeaderMap) -> Body {
        let is_head =
            matches!(&job.relay.payload, Payload::Plain { method, .. } if method == "HEAD");
        let is_empty = is_head || matches!(status, 100..200 | 204 | 304);
        Body { is_empty, left: header(headers, "content-length").parse().ok() }
    }

    /// Reads some bytes, none at the end; a body that ends before its length is an error.
    fn read(&mut self, reader: &mut impl io::Read, buffer: &mut [u8]) -> io::Result<usize> {
        if self.is_empty {
            return Ok(0);
        }
        let n = reader.read(buffer)?;
        match &mut self.left {
            Some(left) if n == 0 && *left > 0 => Err(io::ErrorKind::UnexpectedEof.into()),
            Some(left) => {
                *left = left.saturating_sub(n as u64);
                Ok(n)
            }
            None => Ok(n),
        }
    }
}

fn header(headers: &attohttpc::header::HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

/// Returns the headers that pass on; one that tells the length does so only without a body.
fn passing(headers: &attohttpc::header::HeaderMap, is_empty: bool) -> Vec<(String, String)> {
    let passes = |name: &str| match name {
        "content-length" => is_empty,
        _ => !HOP_HEADERS.contains(&name),
    };
    headers
        .iter()
        .filter(|(name, _)| passes(name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
