//! Points on an instance's own monotonic clock.
//!
//! The core reads no clock: each event carries the moment at which it is taken. A moment of one
//! instance means nothing at another, so none of them travels in a message; durations do.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use siskinstile_macros::value;

/// A point on the local monotonic clock, in microseconds since the process started.
#[value(id, default)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the point `ms` milliseconds after the clock's zero.
    pub const fn from_millis(ms: u64) -> Instant {
        Instant(ms * 1_000)
    }

    /// Returns the whole milliseconds since the clock's zero.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time that has passed since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        Instant(self.0 + rhs.as_micros() as u64)
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, rhs: Duration) -> Instant {
        Instant(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}
