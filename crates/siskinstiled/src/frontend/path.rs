//! The check of a plain request's path and query.

use hyper::Uri;
use siskinstile_core::error::{Failure, Kind};

/// Checks that a path means the same to the route and to the endpoint, and carries no key.
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
        () if !path.starts_with('/') => Err(bad("the path must begin with a slash")),
        () if unescape(path).contains('\\') => Err(bad("the path must not contain a backslash")),
        () if unescape(path).split('/').any(is_dots) => {
            Err(bad("the path must not contain dot segments"))
        }
        () if secret.is_some_and(|it| text.contains(it) || unescape(text).contains(it)) => {
            Err(bad("the key belongs in the authorization header only"))
        }
        () => Ok(()),
    }
}

/// Returns the secret part of a presented key.
pub(super) fn secret(key: &str) -> &str {
    match key.split_once('.') {
        Some((_, secret)) if !secret.is_empty() => secret,
        _ => key,
    }
}

fn bad(detail: &str) -> Failure {
    Failure::not_run(Kind::BadRequest).with_detail(detail)
}

fn is_dots(segment: &str) -> bool {
    matches!(segment, "." | "..")
}

/// Decodes percent escapes; malformed ones stay as they are.
fn unescape(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let digits = tail.get(..2).filter(|_| *first == b'%');
        let byte = digits
            .and_then(|it| str::from_utf8(it).ok())
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        out.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&out).into_owned()
}
