//! A plain service over HTTP.

use std::{io::Read as _, sync::Arc, time::Duration};

use bytes::Bytes;
use siskinstile_core::{
    object,
    request::{Copy, Id, Outcome, Step},
};

use super::{Endpoint, Job, may_have_left};
use crate::relay::{Part, Payload};

/// Limit on setting up a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Limit on silence of a plain service.
const SILENCE: Duration = Duration::from_secs(10);
/// Bytes relayed at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// Largest answer that a claim keeps, in bytes.
const KEPT_BYTES: usize = 64 << 10;
/// Answer headers of one hop, which do not pass on.
const HOP_HEADERS: [&str; 6] =
    ["connection", "transfer-encoding", "content-length", "keep-alive", "upgrade", "trailer"];

/// The adapter for plain services.
#[derive(Debug)]
pub struct Plain;

impl Endpoint for Plain {
    fn run(&self, job: Job<'_>, step: &Step, first: &dyn Fn()) -> Outcome {
        let broken = |sent| Outcome::Broken { sent, next_index: 0 };
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
    let Payload::Plain { method, path, headers, body } = &job.relay.payload else {
        return Err(std::io::Error::from(std::io::ErrorKind::ConnectionRefused).into());
    };
    let url = format!("http://{}{path}", job.endpoint.address);
    let method = method.parse().unwrap_or_default();
    let mut request = attohttpc::RequestBuilder::new(method, url)
        .follow_redirects(false)
        .connect_timeout(CONNECT)
        .read_timeout(SILENCE)
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
fn relay(
    job: &Job<'_>,
    response: attohttpc::Response,
    first: &dyn Fn(),
) -> std::io::Result<Outcome> {
    let (status, headers, mut reader) = response.split();
    let content_type = header(&headers, "content-type");
    let mut kept = Vec::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut started = false;
    loop {
        let n = reader.read(&mut buffer)?;
        if !started {
            started = true;
            let head = Part::Head { status: status.as_u16(), headers: passing(&headers) };
            if job.relay.part(job.attempt, head).is_err() {
                return Ok(Outcome::Broken { sent: true, next_index: 0 });
            }
            first();
        }
        if n == 0 {
            break;
        }
        if job.keep && kept.len() <= KEPT_BYTES {
            kept.extend_from_slice(&buffer[..n]);
        }
        let bytes = Bytes::copy_from_slice(&buffer[..n]);
        if job.relay.part(job.attempt, Part::Bytes(bytes)).is_err() {
            return Ok(Outcome::Broken { sent: true, next_index: 0 });
        }
    }
    let answer = match job.keep && kept.len() <= KEPT_BYTES {
        true => String::from_utf8(kept)
            .ok()
            .map(|body| Arc::new(Copy { status: status.as_u16(), content_type, body })),
        false => None,
    };
    Ok(Outcome::Ended { tokens: 0, answer })
}

fn header(headers: &attohttpc::header::HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

fn passing(headers: &attohttpc::header::HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
