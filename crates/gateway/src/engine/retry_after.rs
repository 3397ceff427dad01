//! Retry-after times for refused callers, spread over the time in which slots become free.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Share of the slots becoming free that is offered to refused callers; the rest is left to new
/// ones.
const RETRY_SHARE: f64 = 0.3;
/// Minimum retry-after time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum retry-after time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Schedule of the retry-after times that this instance gives to refused callers of a service.
#[value(default)]
pub struct RetryAfter {
    /// Earliest retry of the next refused caller.
    next_retry: Instant,
}

impl RetryAfter {
    /// Returns the retry-after time for the next refused caller.
    ///
    /// It is at least `wait`, the time until a slot is expected, within the minimum and maximum,
    /// and later than for the callers refused before, given that one slot becomes free for this
    /// instance every `interval`.
    pub fn schedule(&mut self, now: Instant, wait: Duration, interval: Duration) -> Duration {
        let earliest = now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let next_retry = self.next_retry.max(earliest);
        // Beyond the maximum, assignment starts over at the earliest time.
        let retry_at = if next_retry.since(now) > MAX_RETRY_AFTER { earliest } else { next_retry };
        self.next_retry = retry_at + interval.div_f64(RETRY_SHARE);
        retry_at.since(now)
    }
}
