//! Plain services by route.

use std::{io, sync::Arc};

use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Frame, Incoming},
    header,
};
use siskinstile_core::{
    error::{Failure, Kind, Ran},
    request::{self, Arrival, Copy, Target},
};

use super::{Answer, Open, answer, body, check_key, completion, idempotency, presented_key};
use crate::{
    control::Shared,
    relay::{Part, Payload},
};

/// Request headers that do not pass on: those of one hop, and those that carry a key.
const DROPPED: [&str; 12] = [
    "authorization",
    "proxy-authorization",
    "cookie",
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "keep-alive",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// Serves a request for a plain service.
pub(super) async fn serve(
    id: request::Id,
    request: Request<Incoming>,
    shared: &Arc<Shared>,
) -> Result<Answer, Failure> {
    let method = request.method().as_str();
    let path = request.uri().path();
    let target = Target::Path { method: method.into(), path: path.into() };
    let config = shared.config.load_full();
    if config.generation == 0 {
        return Err(Failure::not_run(Kind::NotReady));
    }
    let route = config.route(&target).map_err(Failure::not_run)?;
    if !route.open {
        check_key(&request, shared)?;
    }
    let (key, idempotency) = (presented_key(&request), idempotency(&request));
    let (method, whole_path) = (method.to_owned(), full_path(&request));
    let headers = passing(request.headers());
    let body = body::read(request.into_body(), route.body_limit).await?;
    let mut digested = format!("{method} {whole_path}\n").into_bytes();
    digested.extend_from_slice(&body);
    let arrival = Arrival {
        id,
        key,
        target,
        idempotency,
        digest: completion::digest(&digested),
        prompt_tokens: 0,
        max_tokens: 0,
        prefixes: Arc::new([]),
    };
    let payload = Payload::Plain { method, path: whole_path, headers, body };
    relay(id, Open::submit(shared, arrival, payload)).await
}

fn full_path(request: &Request<Incoming>) -> String {
    request.uri().path_and_query().map_or("/", |it| it.as_str()).to_owned()
}

/// Returns the headers that pass on: none of one hop, and none that carries the key in any form.
fn passing(headers: &HeaderMap) -> Vec<(String, String)> {
    let authorization = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let key = authorization.and_then(|it| it.split_once(' ')).map(|it| it.1.trim());
    let carries_key = |value: &str| key.is_some_and(|key| !key.is_empty() && value.contains(key));
    headers
        .iter()
        .filter(|(name, _)| !DROPPED.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .filter(|(_, value)| !carries_key(value))
        .collect()
}

/// Relays the answer once its head is known.
async fn relay(id: request::Id, mut open: Open) -> Result<Answer, Failure> {
    loop {
        match open.next().await {
            Part::Head { status, headers } => return Ok(begin(id, open, status, &headers)),
            Part::Replay(copy) => return Ok(replay(id, &copy)),
            Part::Failed(failure) => return Err(failure),
            Part::End => return Err(Failure::not_run(Kind::Internal).with_ran(Ran::Unknown)),
            Part::Token(_) | Part::Bytes(_) => {}
        }
    }
}

fn begin(id: request::Id, open: Open, status: u16, headers: &[(String, String)]) -> Answer {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(name, value);
    }
    let frames = stream::unfold(Some(open), |open| async move {
        let mut open = open?;
        match open.next().await {
            Part::Bytes(bytes) => Some((Ok(Frame::data(bytes)), Some(open))),
            Part::End => None,
            _ => Some((Err(io::Error::other("the answer broke off")), None)),
        }
    });
    let body = StreamBody::new(frames).boxed();
    response.header(answer::REQUEST_ID, id.to_string()).body(body).unwrap_or_else(|_| {
        answer::failure(id, &Failure::not_run(Kind::EndpointFailed).with_ran(Ran::Yes))
    })
}

fn replay(id: request::Id, copy: &Copy) -> Answer {
    let content_type = Some(copy.content_type.as_str()).filter(|it| !it.is_empty());
    Response::builder()
        .status(copy.status)
        .header("content-type", content_type.unwrap_or("application/octet-stream"))
        .header("idempotent-replayed", "true")
        .header(answer::REQUEST_ID, id.to_string())
        .body(answer::whole(copy.body.clone()))
        .unwrap_or_else(|_| answer::failure(id, &Failure::not_run(Kind::Internal)))
}
