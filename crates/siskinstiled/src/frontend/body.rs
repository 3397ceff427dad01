//! Request bodies, read with a limit on their size and on the time of their arrival.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use siskinstile_core::error::{Failure, Kind};
use tokio::time;

/// Reads a complete body of at most `limit` bytes, which must arrive within `timeout`.
///
/// # Errors
///
/// `BodyTooLarge`, `RequestTimeout`, or `BadRequest` for a body that ends early.
pub(super) async fn read(body: Incoming, limit: u64, timeout: Duration) -> Result<Bytes, Failure> {
    if body.size_hint().lower() > limit {
        return Err(too_large(limit));
    }
    match time::timeout(timeout, collect(body, limit)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::not_run(Kind::RequestTimeout)),
    }
}

async fn collect(mut body: Incoming, limit: u64) -> Result<Bytes, Failure> {
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::not_run(Kind::BadRequest))?;
        let Ok(data) = frame.into_data() else { continue };
        if (content.len() + data.len()) as u64 > limit {
            return Err(too_large(limit));
        }
        content.extend_from_slice(&data);
    }
    Ok(content.freeze())
}

/// Returns the failure for a body larger than `limit` bytes.
pub(super) fn too_large(limit: u64) -> Failure {
    Failure::not_run(Kind::BodyTooLarge).with_detail(format!("at most {limit} bytes"))
}
