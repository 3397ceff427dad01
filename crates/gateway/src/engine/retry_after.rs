//! When refused callers are to come back: spread over the time in which places become free.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Part of the places that become free which refused callers are told of; the rest is for new ones.
const RETURN_SHARE: f64 = 0.3;
/// Shortest time after which a refused caller is to come back.
const SHORTEST: Duration = Duration::from_millis(200);
/// Longest time after which a refused caller is to come back.
const LONGEST: Duration = Duration::from_secs(4);

/// The times that this instance has told refused callers of a service.
#[value(default)]
pub struct RetryAfter {
    next: Instant,
}

impl RetryAfter {
    /// Returns after what time the next refused caller is to come back: not before a place can be
    /// free, and behind those who were refused before it, while one place in `interval` becomes free
    /// for this instance.
    pub fn schedule(&mut self, now: Instant, wait: Duration, interval: Duration) -> Duration {
        let earliest = now + wait.clamp(SHORTEST, LONGEST);
        let next = self.next.max(earliest);
        // Once the times reach the longest, they are dealt out anew from the earliest.
        let at = if next.since(now) > LONGEST { earliest } else { next };
        self.next = at + interval.div_f64(RETURN_SHARE);
        at.since(now)
    }
}
