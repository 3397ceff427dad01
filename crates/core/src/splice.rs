//! Joins the token streams of successive attempts into one answer without gaps or duplicates.

use siskinstile_macros::value;

/// Filter that accepts each token of an answer exactly once, in order, from the current attempt.
#[value(default)]
pub struct Splice {
    attempt: u32,
    next_index: u64,
}

impl Splice {
    /// Makes `attempt` the current one; ignored if a later attempt has begun.
    pub fn begin(&mut self, attempt: u32) {
        self.attempt = self.attempt.max(attempt);
    }

    /// Returns whether a token is the next one of the current attempt, and advances if it is.
    pub fn accept(&mut self, attempt: u32, index: u64) -> bool {
        let accepted = attempt == self.attempt && index == self.next_index;
        self.next_index += u64::from(accepted);
        accepted
    }

    /// Returns the index of the next token to be sent to the caller.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns whether `attempt` is the current one.
    pub fn is_current(&self, attempt: u32) -> bool {
        attempt == self.attempt
    }
}
