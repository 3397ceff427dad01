//! JSON responses and error responses to callers.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators::BoxBody};
use hyper::Response;
use serde_json::{Value, json};
use siskinstile_core::{error::Failure, request};

use super::HttpResponse;

/// Response header with the request's identifier.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Returns a body whose content is complete, as opposed to a streamed one.
pub(super) fn full_body(body: impl Into<Bytes>) -> BoxBody<Bytes, io::Error> {
    Full::new(body.into()).map_err(|never| match never {}).boxed()
}

/// Returns a JSON response.
pub(super) fn json(id: request::Id, status: u16, body: &Value) -> HttpResponse {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .header(REQUEST_ID, id.to_string())
        .body(full_body(body.to_string()))
        .expect("status and headers are valid")
}

/// Returns the JSON object that describes a failure.
pub(super) fn failure_value(id: request::Id, failure: &Failure) -> Value {
    let row = failure.kind.row();
    let message = match &failure.detail {
        Some(detail) => format!("{}: {detail}", row.message),
        None => row.message.to_owned(),
    };
    json!({
        "error": {
            "kind": failure.kind,
            "message": message,
            "request_id": id.to_string(),
            "ran": failure.ran,
        }
    })
}

/// Returns the response for a failure, with the status that the table of error kinds gives.
///
/// A `retry-after` in whole seconds, at least 1, is set for retryable kinds and known waits.
pub(super) fn failure(id: request::Id, failure: &Failure) -> HttpResponse {
    let row = failure.kind.row();
    let mut response = json(id, row.status, &failure_value(id, failure));
    let wait = failure.retry_after.map(|it| it.as_millis().div_ceil(1_000).max(1));
    if let Some(seconds) = wait.or(row.retryable.then_some(1)) {
        let value = seconds.to_string().parse().expect("digits are a valid header");
        response.headers_mut().insert("retry-after", value);
    }
    response
}
