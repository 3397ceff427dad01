//! The rate at which requests leave a queue.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Shortest and longest answer to a caller that has to come back.
const LEAST: Duration = Duration::from_millis(100);
const MOST: Duration = Duration::from_secs(60);
/// Weight of the newest interval in the mean is one part of this many.
const SMOOTHING: u32 = 8;

/// The mean interval between departures.
#[value(id, default)]
pub(super) struct Pace {
    last: Option<Instant>,
    interval: Duration,
}

impl Pace {
    /// Notes a departure.
    pub(super) fn note(&mut self, now: Instant) {
        let newest = self.last.map(|it| now.since(it));
        self.interval = match newest {
            Some(it) if self.interval.is_zero() => it,
            Some(it) => (self.interval * (SMOOTHING - 1) + it) / SMOOTHING,
            None => self.interval,
        };
        self.last = Some(now);
    }

    /// Returns the time in which `count` requests leave; a queue that stands still counts the time
    /// since its last departure.
    pub(super) fn time_for(&self, now: Instant, count: u32) -> Duration {
        let silence = self.last.map_or(Duration::ZERO, |it| now.since(it));
        let interval = self.interval.max(silence);
        interval.saturating_mul(count.max(1)).clamp(LEAST, MOST)
    }
}
