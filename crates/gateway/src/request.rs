//! Requests as they arrive from callers.

use std::{fmt, time::Duration};

use siskinstile_macros::value;

use crate::Name;

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
    /// API key sent with it.
    pub key: Option<Name>,
    /// Token counts, if stated.
    pub tokens: Option<Tokens>,
    /// Maximum time that the caller waits for the response, if stated.
    pub max_wait: Option<Duration>,
    /// Identifier of the last event that the caller received of an earlier, incomplete response.
    pub last_event: Option<Name>,
}
