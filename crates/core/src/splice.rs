//! The joining of the streams of several attempts into one answer.

use siskinstile_macros::value;

/// Accepts each token of an answer once and in order, from the current attempt only.
#[value(default)]
pub struct Splice {
    attempt: u32,
    next: u64,
}

impl Splice {
    /// Makes `attempt` the current one, unless a later one is.
    pub fn begin(&mut self, attempt: u32) {
        self.attempt = self.attempt.max(attempt);
    }

    /// Returns whether the token is the next one of the current attempt, and counts it if so.
    pub fn accept(&mut self, attempt: u32, index: u64) -> bool {
        let fits = attempt == self.attempt && index == self.next;
        self.next += u64::from(fits);
        fits
    }

    /// Returns the index of the next token that the caller lacks.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns whether `attempt` is the current one.
    pub fn is_current(&self, attempt: u32) -> bool {
        attempt == self.attempt
    }
}
