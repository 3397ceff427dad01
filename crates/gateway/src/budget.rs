//! The retry budget of a service, divided evenly among the instances.
//!
//! Within each window of time a service may be sent a part of its requests again, and a fixed
//! number besides. An instance counts its own requests only, so that the parts add up whatever the
//! instances know of one another.

use std::{collections::VecDeque, time::Duration};

use siskinstile_macros::value;

use crate::Instant;

/// Part of the allowance that is used; the rest covers sends that nothing decided here.
const MARGIN: f64 = 0.8;

/// The fleet's bound on retries.
#[value]
pub struct Bound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in each window besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// One instance's part of a service's retry budget.
#[value(default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Counts a send beyond a request's first, which cannot be refused any more.
    pub fn record_retry(&mut self, now: Instant) {
        self.retries.push_back(now);
    }

    /// Counts a send beyond a request's first if the budget allows it; returns whether it does.
    pub fn take(&mut self, now: Instant, bound: &Bound, instances: usize) -> bool {
        drop_expired(&mut self.requests, now, bound.window);
        drop_expired(&mut self.retries, now, bound.window);
        let slack = bound.slack / instances.max(1) as f64;
        let allowed = MARGIN * (bound.ratio * self.requests.len() as f64 + slack);
        let allows = (self.retries.len() as f64) + 1.0 <= allowed;
        if allows {
            self.retries.push_back(now);
        }
        allows
    }
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|it| now.since(*it) > window) {
        times.pop_front();
    }
}
