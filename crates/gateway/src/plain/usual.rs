//! The usual duration of a plain call.

use std::time::Duration;

use siskinstile_macros::value;

/// Weight of a shorter duration in the mean.
const SHORTER_WEIGHT: f64 = 0.1;
/// Weight of a longer one, which may hold a wait behind other calls or be due to a slow machine.
const LONGER_WEIGHT: f64 = 0.02;
/// Minimum number of calls for the mean to be used.
const MIN_CALLS: u32 = 3;

/// Mean duration of a route's calls, biased towards the shorter ones.
#[value(default)]
pub struct Usual {
    calls: u32,
    ms: f64,
}

impl Usual {
    /// Records the duration of a successful call.
    pub fn record(&mut self, took: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        let weight = if ms < self.ms { SHORTER_WEIGHT } else { LONGER_WEIGHT };
        self.ms = match self.calls {
            0 => ms,
            calls if calls < MIN_CALLS => self.ms.min(ms),
            _ => self.ms + (ms - self.ms) * weight,
        };
        self.calls = self.calls.saturating_add(1);
    }

    /// Records the duration of a call that may have waited.
    pub fn record_bound(&mut self, took: Duration) {
        if self.get().is_some_and(|it| took < it) {
            self.record(took);
        }
    }

    /// Returns the usual duration; `None` before there are enough calls.
    pub fn get(&self) -> Option<Duration> {
        (self.calls >= MIN_CALLS).then(|| Duration::from_secs_f64(self.ms / 1_000.0))
    }
}
