//! Requests as they arrive from callers.

use std::{fmt, time::Duration};

use siskinstile_macros::value;

use crate::{
    Name,
    name_hash::NameHash,
    range::{MAX_SPAN, MAX_TOKENS, Ranged, clamp, clamp_some},
};

/// Limit on the shared parts of a prompt that are looked at.
const MAX_SHARED_PARTS: usize = 64;

/// Identifies a request within the process.
#[value(id)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Token counts stated by the caller.
#[value(id)]
pub struct Tokens {
    /// Length of the prompt.
    pub prompt: u64,
    /// Maximum number of tokens to generate.
    pub output: u64,
    /// The caller's estimate of the number of tokens that will be generated.
    pub expected: Option<u64>,
}

impl Tokens {
    /// Returns the maximum number of tokens that the request may need memory for.
    pub fn total(self) -> u64 {
        self.prompt + self.output
    }

    /// Returns the number of tokens that the request is expected to need memory for at its end.
    pub fn expected_total(self) -> u64 {
        self.prompt + self.expected.unwrap_or(self.output).min(self.output)
    }
}

/// A completely received request.
#[value]
pub struct Arrival {
    /// Identifier within this process.
    pub id: Id,
    /// The caller's identifier, for logs.
    pub request_id: Name,
    /// Value of the `Host` header.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// Hash of the host, method, path, query and body.
    pub content: NameHash,
    /// API key sent with it.
    pub key: Option<Name>,
    /// Token counts, if stated.
    pub tokens: Option<Tokens>,
    /// Identifiers of the prompt's parts, in order; the last part belongs to this request or its
    /// session, the others may be those of any requests. Empty if not stated.
    pub prompt_parts: Vec<Name>,
    /// Maximum time that the caller waits for the response, if stated.
    pub max_wait: Option<Duration>,
    /// Identifier of the last event that the caller received of an earlier, incomplete response.
    pub last_event: Option<Name>,
    /// The caller's identifier of the attempt that brought the first event of that response.
    pub resumes: Option<Name>,
    /// Version of the configuration in force at the peer that has handed it over; `None` if it comes from
    /// a caller.
    pub handed_over: Option<u64>,
}

impl Arrival {
    /// Returns the parts of the prompt that other requests may share, up to a limit: all but the last.
    pub fn shared_parts(&self) -> &[Name] {
        let shared = self.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
        &shared[..shared.len().min(MAX_SHARED_PARTS)]
    }
}

impl Ranged for Arrival {
    fn confine(&mut self) -> bool {
        let tokens = self.tokens.as_mut().is_some_and(|it| {
            let expected = clamp_some(&mut it.expected, MAX_TOKENS);
            clamp(&mut it.prompt, MAX_TOKENS) | clamp(&mut it.output, MAX_TOKENS) | expected
        });
        tokens | clamp_some(&mut self.max_wait, MAX_SPAN)
    }
}
