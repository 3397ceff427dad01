//! What answers tell of an endpoint: a silent one rests, a failing one is chosen less often.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, Name};

/// Rest after the first silence; it doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_millis(400);
/// Longest rest.
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// Time in which the memory of failures halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of a new answer in the mean of failures.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Rest of an endpoint that does not do now what was asked for.
const DECLINED_EJECTION: Duration = Duration::from_millis(1_500);
/// Time for which an endpoint that said it is full gets nothing; it doubles with each further time.
const BASE_FULL_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for which an endpoint that said it is full gets nothing.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(500);

/// How a call ended, as far as the endpoint's health is concerned.
#[value(id)]
pub enum Signal {
    /// It was answered as it should be.
    Success,
    /// It was answered with an error, or the answer was damaged or cut.
    Error,
    /// The endpoint could not be reached or gave no sign of life.
    Unresponsive,
    /// The endpoint said that it has no room.
    Full,
    /// The endpoint said that it does not do what was asked for now.
    Declined,
}

/// The record of one endpoint.
#[value(default)]
struct Record {
    consecutive_timeouts: u32,
    ejected_until: Instant,
    consecutive_refusals: u32,
    full_until: Instant,
    failure_rate: f64,
    updated: Instant,
}

impl Record {
    fn failure_rate(&self, now: Instant) -> f64 {
        let halves = now.since(self.updated).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(halves)
    }

    fn sample(&mut self, now: Instant, value: f64) {
        let mean = self.failure_rate(now);
        self.failure_rate = mean + (value - mean) * SAMPLE_WEIGHT;
        self.updated = now;
    }
}

/// The records of all endpoints, by name.
#[value(default)]
pub struct Tracker {
    records: IndexMap<Name, Record>,
}

impl Tracker {
    /// Notes how a call to an endpoint ended.
    pub fn record(&mut self, now: Instant, endpoint: &Name, signal: Signal) {
        let record = self.records.entry(endpoint.clone()).or_default();
        match signal {
            Signal::Success => {
                record.consecutive_timeouts = 0;
                record.consecutive_refusals = 0;
                record.sample(now, 0.0);
            }
            Signal::Error => record.sample(now, 1.0),
            Signal::Declined => record.ejected_until = now + DECLINED_EJECTION,
            Signal::Full => {
                let pause =
                    BASE_FULL_PAUSE * 2_u32.saturating_pow(record.consecutive_refusals.min(8));
                record.consecutive_refusals += 1;
                record.full_until = now + pause.min(MAX_FULL_PAUSE);
            }
            Signal::Unresponsive => {
                record.sample(now, 1.0);
                let pause =
                    BASE_EJECTION * 2_u32.saturating_pow(record.consecutive_timeouts.min(8));
                record.consecutive_timeouts += 1;
                record.ejected_until = now + pause.min(MAX_EJECTION);
            }
        }
    }

    /// Returns whether an endpoint is to get nothing now.
    pub fn is_ejected(&self, now: Instant, endpoint: &str) -> bool {
        self.records.get(endpoint).is_some_and(|it| it.ejected_until > now)
    }

    /// Returns whether an endpoint has just said that it has no room.
    pub fn is_full(&self, now: Instant, endpoint: &str) -> bool {
        self.records.get(endpoint).is_some_and(|it| it.full_until > now)
    }

    /// Returns the recent share of an endpoint's calls that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Instant, endpoint: &str) -> f64 {
        self.records.get(endpoint).map_or(0.0, |it| it.failure_rate(now))
    }

    /// Drops the records of endpoints that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.records.retain(|name, _| is_listed(name));
    }
}
