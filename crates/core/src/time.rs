//! Points in time on the monotonic clock of an instance.
//!
//! The core does not read a clock: the current time is passed in with each event. The clocks of
//! instances are unrelated, so messages carry durations and never an [`Instant`].

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use siskinstile_macros::value;

/// A point in time on the local monotonic clock, in microseconds since the process started.
#[value(id, default)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the instant `ms` milliseconds after the start of the clock.
    pub const fn from_millis(ms: u64) -> Instant {
        Instant(ms * 1_000)
    }

    /// Returns the number of whole milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, rhs: Duration) -> Instant {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_sub(micros))
    }
}
