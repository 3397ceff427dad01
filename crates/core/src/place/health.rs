//! Outlier detection: a failing endpoint rests for a time that doubles, and comes back slowly.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Rest after the first failure.
const FIRST_REST: Duration = Duration::from_secs(1);
/// Longest rest.
const LONGEST_REST: Duration = Duration::from_secs(30);
/// Requests that an endpoint runs at once after a rest; it doubles with each success.
const FIRST_LIMIT: u32 = 1;
/// Time between two probes of an endpoint that is too slow for the targets.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Weight of a new sample, as one part in this number.
const SAMPLE_PARTS: f64 = 4.0;

/// What an endpoint's answers tell of it.
#[value(default)]
pub(super) struct Health {
    failures: u32,
    resting_until: Instant,
    limit: Option<u32>,
    /// Mean time of a decode step, in microseconds.
    step_us: Option<f64>,
    probed: Instant,
}

impl Health {
    /// Notes a failure; `may_rest` is false where too many endpoints rest already.
    pub(super) fn failed(&mut self, now: Instant, may_rest: bool) {
        if self.rests(now) {
            return;
        }
        self.failures += 1;
        self.limit = Some(FIRST_LIMIT);
        let rest = FIRST_REST * 2_u32.saturating_pow(self.failures.min(8) - 1);
        if may_rest {
            self.resting_until = now + rest.min(LONGEST_REST);
        }
    }

    /// Notes a success.
    pub(super) fn succeeded(&mut self, slots: u32) {
        self.failures = 0;
        self.limit = self.limit.map(|it| it * 2).filter(|it| *it < slots);
    }

    /// Returns whether it is to get nothing now.
    pub(super) fn rests(&self, now: Instant) -> bool {
        self.resting_until > now
    }

    /// Returns the most requests that it is to run.
    pub(super) fn limit(&self, slots: u32) -> u32 {
        self.limit.map_or(slots, |it| it.min(slots))
    }

    /// Notes the time of a decode step.
    pub(super) fn step(&mut self, step_us: f64) {
        let old = self.step_us.unwrap_or(step_us);
        self.step_us = Some(old + (step_us - old) / SAMPLE_PARTS);
    }

    /// Returns whether its steps take longer than `target`, unless a probe is due.
    pub(super) fn slow(&self, now: Instant, target: Duration) -> bool {
        let slow = self.step_us.is_some_and(|it| it > target.as_micros() as f64);
        slow && now.since(self.probed) < PROBE_INTERVAL
    }

    /// Notes that it was given a request.
    pub(super) fn used(&mut self, now: Instant) {
        self.probed = now;
    }
}
