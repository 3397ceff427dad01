//! Rate at which requests leave a queue.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Shortest and longest retry delay given to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Divisor of the moving average of the interval: a new sample has the weight of one over this.
const SMOOTHING: u32 = 8;

/// Smoothed interval between departures.
#[value(id, default)]
pub(super) struct Rate {
    last_departure: Option<Instant>,
    interval: Duration,
}

impl Rate {
    /// Records that a request has left the queue.
    pub(super) fn record(&mut self, now: Instant) {
        let newest = self.last_departure.map(|it| now.since(it));
        self.interval = match newest {
            Some(it) if self.interval.is_zero() => it,
            Some(it) => (self.interval * (SMOOTHING - 1) + it) / SMOOTHING,
            None => self.interval,
        };
        self.last_departure = Some(now);
    }

    /// Returns the expected time until `count` requests have left. A stalled queue counts the time
    /// since its last departure as the interval.
    pub(super) fn time_for(&self, now: Instant, count: u32) -> Duration {
        let idle = self.last_departure.map_or(Duration::ZERO, |it| now.since(it));
        let interval = self.interval.max(idle);
        interval.saturating_mul(count.max(1)).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
