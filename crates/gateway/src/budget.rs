//! The retry budget of a service, divided evenly among the instances.
//!
//! Within each time window, the retries of a service may amount to a fraction of its requests plus
//! a fixed number. Each instance counts only its own requests, so that the fractions add up without
//! any exchange between the instances; the fixed number is divided by the number of members.
//!
//! An instance that has started again does not know what it spent before, so it has no part of the fixed
//! number until one window has passed.

use std::{collections::VecDeque, time::Duration};

use siskinstile_macros::value;

use crate::Instant;

/// Fraction of the allowance that is used; the remainder covers repeated sends that bypass the
/// budget, such as those after a failed connection.
const MARGIN: f64 = 0.8;

/// Limit on retries over the whole fleet.
#[value]
pub struct Bound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// One instance's share of a service's retry budget.
#[value(default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Counts a retry that has already been sent.
    pub fn record_retry(&mut self, now: Instant) {
        self.retries.push_back(now);
    }

    /// Counts a retry if the budget allows one; returns whether it does.
    ///
    /// `slack` is this instance's part of the fixed number.
    pub fn take(&mut self, now: Instant, bound: &Bound, slack: f64) -> bool {
        drop_expired(&mut self.requests, now, bound.window);
        drop_expired(&mut self.retries, now, bound.window);
        let allowed = MARGIN * (bound.ratio * self.requests.len() as f64 + slack);
        let is_allowed = (self.retries.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|it| now.since(*it) > window) {
        times.pop_front();
    }
}
