//! Outlier detection: a failing endpoint is ejected for a period that doubles with each failure.
//! After the ejection, its concurrency limit starts low and doubles with each success.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Ejection period after the first failure.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection period.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Concurrency limit of an endpoint after an ejection; it doubles with each success.
const INITIAL_LIMIT: u32 = 1;
/// Time between two probes of an endpoint that is too slow for the targets.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Divisor of the moving average of the decode step time: a new sample has the weight of one over
/// this.
const STEP_SMOOTHING: f64 = 4.0;

/// Failures and speed of an endpoint, from its answers.
#[value(default)]
pub(super) struct Health {
    failures: u32,
    ejected_until: Instant,
    limit: Option<u32>,
    /// Smoothed time of a decode step, in microseconds.
    step_us: Option<f64>,
    last_used: Instant,
}

impl Health {
    /// Records a failure. The endpoint is ejected only if `may_eject`, which is false when too many
    /// endpoints are ejected already.
    pub(super) fn record_failure(&mut self, now: Instant, may_eject: bool) {
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        self.limit = Some(INITIAL_LIMIT);
        let ejection = MIN_EJECTION * 2_u32.saturating_pow(self.failures.min(8) - 1);
        if may_eject {
            self.ejected_until = now + ejection.min(MAX_EJECTION);
        }
    }

    /// Records a success, which ends the series of failures and doubles a reduced concurrency
    /// limit.
    pub(super) fn record_success(&mut self, slots: u32) {
        self.failures = 0;
        self.limit = self.limit.map(|it| it * 2).filter(|it| *it < slots);
    }

    /// Returns whether it is ejected, so that it gets no requests.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until > now
    }

    /// Returns the largest number of concurrent requests, at most `slots`.
    pub(super) fn concurrency_limit(&self, slots: u32) -> u32 {
        self.limit.map_or(slots, |it| it.min(slots))
    }

    /// Records the time of a decode step, in microseconds.
    pub(super) fn record_step(&mut self, step_us: f64) {
        let old = self.step_us.unwrap_or(step_us);
        self.step_us = Some(old + (step_us - old) / STEP_SMOOTHING);
    }

    /// Returns whether its decode steps take longer than `target`; false when a probe is due.
    pub(super) fn is_too_slow(&self, now: Instant, target: Duration) -> bool {
        let slow = self.step_us.is_some_and(|it| it > target.as_micros() as f64);
        slow && now.since(self.last_used) < PROBE_INTERVAL
    }

    /// Records that a request was placed at it, which counts as a probe.
    pub(super) fn record_use(&mut self, now: Instant) {
        self.last_used = now;
    }
}
