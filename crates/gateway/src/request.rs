//! A caller's request as it arrives.

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

/// Token counts that the caller gives.
#[value(id)]
pub struct Tokens {
    /// Length of the prompt.
    pub prompt: u64,
    /// Most tokens that are to be generated.
    pub output: u64,
    /// The caller's estimate of the tokens that will be generated.
    pub expected: Option<u64>,
}

impl Tokens {
    /// Returns all tokens that the request may need memory for.
    pub fn total(self) -> u64 {
        self.prompt + self.output
    }

    /// Returns the tokens that the request is expected to need memory for at its end.
    pub fn expected_total(self) -> u64 {
        self.prompt + self.expected.unwrap_or(self.output).min(self.output)
    }
}

/// A request that has arrived whole.
#[value]
pub struct Arrival {
    /// Its number in this process.
    pub id: Id,
    /// The caller's own identifier of it, for logs.
    pub trace: Name,
    /// Host that the caller named.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// The key that came with it.
    pub key: Option<Name>,
    /// Token counts.
    pub tokens: Option<Tokens>,
    /// Time for which the caller waits.
    pub max_wait: Option<Duration>,
    /// Identifier of the last event that the caller has of an earlier, broken answer.
    pub last_event: Option<Name>,
}
