//! Requests for plain services, which are selected by route.

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
    Exchange, HttpResponse, body, check_key, completion, idempotency_key, path, presented_key,
    response,
};
use crate::{
    control::Shared,
    relay::{Part, Payload},
};

/// Request headers that are not forwarded: hop-by-hop headers, headers that may contain a key, and
/// the request's identifier, which the instance sets itself.
const DROPPED_HEADERS: [&str; 14] = [
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
    body_timeout: Duration,
) -> Result<HttpResponse, Failure> {
    path::check(request.uri(), key_text(request.headers()))?;
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
    let (method, path_and_query) = (method.to_owned(), path_and_query(&request));
    let headers = forwarded_headers(request.headers());
    let body = body::read(request.into_body(), route.body_limit, body_timeout).await?;
    let mut digest_input = format!("{method} {path_and_query}\n").into_bytes();
    digest_input.extend_from_slice(&body);
    let arrival = Arrival {
        id,
        key,
        target,
        idempotency_key,
        digest: completion::digest(&digest_input),
        prompt_tokens: 0,
        max_tokens: 0,
        prefixes: Arc::new([]),
    };
    let idempotent = route.idempotent;
    let payload = Payload::Plain { method, path: path_and_query, headers, body, idempotent };
    relay(id, Exchange::submit(shared, arrival, payload)).await
}

fn path_and_query(request: &Request<Incoming>) -> String {
    request.uri().path_and_query().map_or("/", |it| it.as_str()).to_owned()
}

/// Returns the text of the API key from the authorization header, for any scheme.
fn key_text(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    text.split_once(' ').map(|it| it.1.trim()).filter(|key| !key.is_empty())
}

/// Returns the headers to forward: none of `DROPPED_HEADERS`, none that the `connection` header
/// lists, none whose value contains the key's secret, and none whose value is not ASCII text.
fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let secret = key_text(headers).map(path::secret);
    let carries_key = |value: &str| secret.is_some_and(|it| value.contains(it));
    let connection = headers.get_all(header::CONNECTION);
    let options: Vec<&str> =
        connection.iter().filter_map(|it| it.to_str().ok()).flat_map(|it| it.split(',')).collect();
    let is_option = |name: &str| options.iter().any(|it| it.trim().eq_ignore_ascii_case(name));
    headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()) && !is_option(name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .filter(|(_, value)| !carries_key(value))
        .collect()
}

/// Waits for the head of the answer, then returns a response that streams the body, or a replay.
async fn relay(id: request::Id, mut exchange: Exchange) -> Result<HttpResponse, Failure> {
    loop {
        match exchange.next().await {
            Part::Head { status, headers } => return Ok(respond(id, exchange, status, &headers)),
            Part::Replay(recorded) => return Ok(replay(id, &recorded)),
            Part::Failed(failure) => return Err(failure),
            Part::End => return Err(Failure::not_run(Kind::Internal).with_ran(Ran::Unknown)),
            Part::Token(_) | Part::Bytes(_) => {}
        }
    }
}

fn respond(
    id: request::Id,
    exchange: Exchange,
    status: u16,
    headers: &[(String, String)],
) -> HttpResponse {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(name, value);
    }
    let frames = stream::unfold(Some(exchange), |exchange| async move {
        let mut exchange = exchange?;
        match exchange.next().await {
            Part::Bytes(bytes) => Some((Ok(Frame::data(bytes)), Some(exchange))),
            Part::End => None,
            _ => {
                // Lets the connection send the bytes before the error, which aborts the response.
                task::yield_now().await;
                Some((Err(io::Error::other("the answer ended early")), None))
            }
        }
    });
    let body = StreamBody::new(frames).boxed();
    builder.header(response::REQUEST_ID, id.to_string()).body(body).unwrap_or_else(|_| {
        response::failure(id, &Failure::not_run(Kind::EndpointFailed).with_ran(Ran::Yes))
    })
}

fn replay(id: request::Id, recorded: &request::Response) -> HttpResponse {
    let content_type = Some(recorded.content_type.as_str()).filter(|it| !it.is_empty());
    Response::builder()
        .status(recorded.status)
        .header("content-type", content_type.unwrap_or("application/octet-stream"))
        .header("idempotent-replayed", "true")
        .header(response::REQUEST_ID, id.to_string())
        .body(response::full_body(recorded.body.clone()))
        .unwrap_or_else(|_| response::failure(id, &Failure::not_run(Kind::Internal)))
}
