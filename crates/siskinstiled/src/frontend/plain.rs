//! Plain services by route.

use std::{io, sync::Arc, time::Duration};

use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Frame, Incoming},
    header,
};
use siskinstile_core::{
    error::{Failure, Kind, Ran},
    request::{self, Arrival, Target},
};
use tokio::task;

use super::{
    Answer, Open, answer, body, check_key, completion, idempotency_key, path, presented_key,
};
use crate::{
    control::Shared,
    relay::{Part, Payload},
};

/// Request headers that do not pass on: those of one hop, those that carry a key, and the
/// identifier, which the door sets.
const DROPPED: [&str; 14] = [
    "authorization",
    "proxy-authorization",
    "cookie",
    "host",
    "x-request-id",
    "connection",
    "proxy-connection",
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
    arrival: Duration,
) -> Result<Answer, Failure> {
    path::check(request.uri(), presented_text(request.headers()))?;
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
    let (key, idempotency_key) = (presented_key(&request), idempotency_key(&request));
    let (method, whole_path) = (method.to_owned(), full_path(&request));
    let headers = passing(request.headers());
    let body = body::read(request.into_body(), route.body_limit, arrival).await?;
    let mut digested = format!("{method} {whole_path}\n").into_bytes();
    digested.extend_from_slice(&body);
    let arrival = Arrival {
        id,
        key,
        target,
        idempotency_key,
        digest: completion::digest(&digested),
        prompt_tokens: 0,
        max_tokens: 0,
        prefixes: Arc::new([]),
    };
    let idempotent = route.idempotent;
    let payload = Payload::Plain { method, path: whole_path, headers, body, idempotent };
    relay(id, Open::submit(shared, arrival, payload)).await
}

fn full_path(request: &Request<Incoming>) -> String {
    request.uri().path_and_query().map_or("/", |it| it.as_str()).to_owned()
}

/// Returns the text of the key that came with a request.
fn presented_text(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    text.split_once(' ').map(|it| it.1.trim()).filter(|key| !key.is_empty())
}

/// Returns the headers that pass on: none of one hop, and none that carries the key in any form.
fn passing(headers: &HeaderMap) -> Vec<(String, String)> {
    let secret = presented_text(headers).map(path::secret);
    let carries_key = |value: &str| secret.is_some_and(|it| value.contains(it));
    let connection = headers.get_all(header::CONNECTION);
    let hops: Vec<&str> =
        connection.iter().filter_map(|it| it.to_str().ok()).flat_map(|it| it.split(',')).collect();
    let is_hop = |name: &str| hops.iter().any(|it| it.trim().eq_ignore_ascii_case(name));
    headers
        .iter()
        .filter(|(name, _)| !DROPPED.contains(&name.as_str()) && !is_hop(name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .filter(|(_, value)| !carries_key(value))
        .collect()
}

/// Relays the answer once its head is known.
async fn relay(id: request::Id, mut open: Open) -> Result<Answer, Failure> {
    loop {
        match open.next().await {
            Part::Head { status, headers } => return Ok(begin(id, open, status, &headers)),
            Part::Replay(recorded) => return Ok(replay(id, &recorded)),
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
            _ => {
                // Lets what came before the break leave first.
                task::yield_now().await;
                Some((Err(io::Error::other("the answer broke off")), None))
            }
        }
    });
    let body = StreamBody::new(frames).boxed();
    response.header(answer::REQUEST_ID, id.to_string()).body(body).unwrap_or_else(|_| {
        answer::failure(id, &Failure::not_run(Kind::EndpointFailed).with_ran(Ran::Yes))
    })
}

fn replay(id: request::Id, recorded: &request::Response) -> Answer {
    let content_type = Some(recorded.content_type.as_str()).filter(|it| !it.is_empty());
    Response::builder()
        .status(recorded.status)
        .header("content-type", content_type.unwrap_or("application/octet-stream"))
        .header("idempotent-replayed", "true")
        .header(answer::REQUEST_ID, id.to_string())
        .body(answer::whole(recorded.body.clone()))
        .unwrap_or_else(|_| answer::failure(id, &Failure::not_run(Kind::Internal)))
}
