//! Validation of the path and the query of requests for plain services.

use hyper::Uri;
use siskinstile_core::error::{Failure, Kind};

/// Checks that a path cannot be resolved to another one by the endpoint, and contains no API key.
///
/// # Errors
///
/// `BadRequest` for a path with dot segments or backslashes, which an endpoint may resolve to the
/// path of another route, and for a key in the path or the query.
pub(super) fn check(uri: &Uri, key: Option<&str>) -> Result<(), Failure> {
    let path = uri.path();
    let text = uri.path_and_query().map_or("", |it| it.as_str());
    let secret = key.map(secret);
    match () {
        () if !path.starts_with('/') => Err(error("the path must begin with a slash")),
        () if decode(path).contains('\\') => Err(error("the path must not contain a backslash")),
        () if decode(path).split('/').any(is_dot_segment) => {
            Err(error("the path must not contain dot segments"))
        }
        () if secret.is_some_and(|it| text.contains(it) || decode(text).contains(it)) => {
            Err(error("the key belongs in the authorization header only"))
        }
        () => Ok(()),
    }
}

/// Returns the secret part of an API key: what follows the first dot, or else the whole key.
pub(super) fn secret(key: &str) -> &str {
    match key.split_once('.') {
        Some((_, secret)) if !secret.is_empty() => secret,
        _ => key,
    }
}

fn error(detail: &str) -> Failure {
    Failure::not_run(Kind::BadRequest).with_detail(detail)
}

fn is_dot_segment(segment: &str) -> bool {
    matches!(segment, "." | "..")
}

/// Decodes percent-encoded bytes; malformed escapes are left unchanged.
fn decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, following @ ..] = rest {
        let digits = following.get(..2).filter(|_| *first == b'%');
        let byte = digits
            .and_then(|it| str::from_utf8(it).ok())
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &following[2..] } else { following };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
