//! Passive health checks: an endpoint that is unresponsive, or that breaks each answer, is ejected; a failing one is
//! chosen less often.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, Name};

/// Ejection time after the first call without a response; it doubles with each further one that ends after it.
const BASE_EJECTION: Duration = Duration::from_millis(400);
/// Maximum ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// Broken answers, one after the other, from which on an endpoint is ejected for all but single trials.
const MIN_BROKEN_ANSWERS: u32 = 5;
/// Ejection time of an entry at whose address another endpoint has answered, unless the entry changes.
const MISDIRECTED_EJECTION: Duration = Duration::from_secs(30);
/// Half-life of the failure rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of a new call in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Ejection time of an endpoint that currently declines the kind of call it was sent.
const DECLINED_EJECTION: Duration = Duration::from_millis(1_500);
/// Time for which an endpoint counts as full after a refusal; it doubles with each further one.
const BASE_FULL_PAUSE: Duration = Duration::from_millis(60);
/// Maximum time for which an endpoint counts as full after a refusal.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(500);

/// What the end of a call shows about the health of the endpoint.
#[value(id)]
pub enum Signal {
    /// The call succeeded.
    Success,
    /// The response was an error, or the call failed for a reason that need not lie with the endpoint.
    Error,
    /// The response was corrupt, truncated or none, although the endpoint had got the request.
    Broken,
    /// The endpoint could not be reached or did not respond in time.
    Unresponsive,
    /// The endpoint refused the call because it is full.
    Full,
    /// The endpoint refused this kind of call for now.
    Declined,
    /// Another endpoint has answered at the address.
    Misdirected,
}

/// The health record of one endpoint.
#[value(default)]
struct Record {
    consecutive_timeouts: u32,
    consecutive_broken: u32,
    ejected_until: Instant,
    /// Whether another endpoint has answered at the address last.
    is_misdirected: bool,
    consecutive_refusals: u32,
    full_until: Instant,
    /// Until when the endpoint has asked for no calls.
    backoff_until: Instant,
    failure_rate: f64,
    updated_at: Instant,
}

impl Record {
    fn failure_rate(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    fn sample(&mut self, now: Instant, value: f64) {
        let mean = self.failure_rate(now);
        self.failure_rate = mean + (value - mean) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }
}

/// Returns the time of an ejection after a number of others with the same cause.
fn ejection(earlier: u32) -> Duration {
    MAX_EJECTION.min(BASE_EJECTION * 2_u32.saturating_pow(earlier.min(8)))
}

/// The health records of all endpoints, by name.
#[value(default)]
pub struct Tracker {
    records: IndexMap<Name, Record>,
}

impl Tracker {
    /// Records how a call to an endpoint ended.
    pub fn record(&mut self, now: Instant, endpoint: &Name, signal: Signal) {
        let record = self.records.entry(endpoint.clone()).or_default();
        match signal {
            Signal::Success => {
                record.consecutive_timeouts = 0;
                record.consecutive_refusals = 0;
                record.consecutive_broken = 0;
                record.is_misdirected = false;
                record.sample(now, 0.0);
            }
            Signal::Error => record.sample(now, 1.0),
            Signal::Broken => {
                record.sample(now, 1.0);
                record.consecutive_broken += 1;
                if let Some(more) = record.consecutive_broken.checked_sub(MIN_BROKEN_ANSWERS) {
                    let until = now + ejection(more);
                    record.ejected_until = record.ejected_until.max(until);
                }
            }
            Signal::Declined => {
                record.ejected_until = record.ejected_until.max(now + DECLINED_EJECTION);
            }
            Signal::Misdirected => {
                record.is_misdirected = true;
                record.ejected_until = record.ejected_until.max(now + MISDIRECTED_EJECTION);
            }
            Signal::Full => {
                let pause =
                    BASE_FULL_PAUSE * 2_u32.saturating_pow(record.consecutive_refusals.min(8));
                record.consecutive_refusals += 1;
                record.full_until = now + pause.min(MAX_FULL_PAUSE);
            }
            Signal::Unresponsive => {
                record.sample(now, 1.0);
                // Calls that were open together show the same silence.
                let is_further = record.ejected_until <= now;
                record.consecutive_timeouts += u32::from(is_further);
                let earlier = record.consecutive_timeouts.saturating_sub(1);
                record.ejected_until = record.ejected_until.max(now + ejection(earlier));
            }
        }
    }

    /// Returns whether another endpoint has answered at the address of an endpoint last.
    pub fn is_misdirected(&self, endpoint: &str) -> bool {
        self.records.get(endpoint).is_some_and(|it| it.is_misdirected)
    }

    /// Ends the ejection of an endpoint at whose listed address another one has answered, as its entry has changed.
    pub fn readmit(&mut self, endpoint: &str) {
        if let Some(record) = self.records.get_mut(endpoint).filter(|it| it.is_misdirected) {
            record.is_misdirected = false;
            record.ejected_until = Instant::default();
        }
    }

    /// Returns whether an endpoint is ejected and must not get requests.
    pub fn is_ejected(&self, now: Instant, endpoint: &str) -> bool {
        self.records.get(endpoint).is_some_and(|it| it.ejected_until > now)
    }

    /// Returns whether an endpoint has broken so many answers that it may have one request at a time, which shows
    /// whether it serves again.
    pub fn is_on_trial(&self, endpoint: &str) -> bool {
        self.records.get(endpoint).is_some_and(|it| it.consecutive_broken >= MIN_BROKEN_ANSWERS)
    }

    /// Returns whether an endpoint counts as full after a recent refusal.
    pub fn is_full(&self, now: Instant, endpoint: &str) -> bool {
        self.records.get(endpoint).is_some_and(|it| it.full_until > now)
    }

    /// Records that an endpoint must not be called for some time; a shorter time than one recorded
    /// before has no effect.
    pub fn back_off(&mut self, now: Instant, endpoint: &Name, time: Duration) {
        let record = self.records.entry(endpoint.clone()).or_default();
        record.backoff_until = record.backoff_until.max(now + time);
    }

    /// Returns the remaining time for which an endpoint must not be called; `None` if it may be.
    pub fn backoff(&self, now: Instant, endpoint: &str) -> Option<Duration> {
        let until = self.records.get(endpoint)?.backoff_until;
        (until > now).then(|| until.since(now))
    }

    /// Returns the recent fraction of an endpoint's calls that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Instant, endpoint: &str) -> f64 {
        self.records.get(endpoint).map_or(0.0, |it| it.failure_rate(now))
    }

    /// Ends the ejections of all endpoints, which had another cause than the endpoints.
    pub fn clear_ejections(&mut self) {
        for record in self.records.values_mut() {
            record.consecutive_timeouts = 0;
            record.consecutive_broken = 0;
            record.ejected_until = Instant::default();
        }
    }

    /// Removes the records of endpoints that are no longer listed and may be called.
    pub fn retain(&mut self, now: Instant, is_listed: impl Fn(&str) -> bool) {
        self.records.retain(|name, it| is_listed(name) || it.backoff_until > now);
    }
}
