//! Limits that endpoints state on the requests from all instances together.
//!
//! Each instance has an even share of a limit. Where that is less than a call a second, it may make
//! one call at times that are a period apart, each for a second only: calls that are not made are not
//! saved up, so that many instances do not make theirs at once. The times of an instance begin at
//! random within the first period.
//!
//! Instances tell one another what endpoints have stated, and pass on what they have heard. Statements
//! on an endpoint are numbered, each one higher than the last that is known where it was made, and the
//! one with the highest number holds. So none is taken for a new one however long it was on its way.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Instant, call::StatedLimit, directory::Endpoint, name_hash::NameHash};

/// Part of a limit that is used; the rest is for calls that were on their way when it was stated.
const USED_SHARE: f64 = 0.8;
/// Time for which a call may be made late.
const VALIDITY: Duration = Duration::from_secs(1);
/// Longest period between two calls of an instance.
const MAX_PERIOD: Duration = Duration::from_secs(3_600);
/// Time after its last statement for which a limit holds.
const EXPIRY: Duration = Duration::from_secs(60);
/// Time for which it is told that a limit has ended.
const END_REPEAT_TIME: Duration = Duration::from_secs(10);
/// Time after which the same statement gets a new number, so that it does not expire elsewhere.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of limits in one message; the latest ones.
const MAX_REPORTS: usize = 64;

/// What an endpoint has stated, as it is told to other instances.
#[value(eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: NameHash,
    /// Start of its incarnation.
    pub started_at_ms: Option<u64>,
    /// Requests per 1,000 seconds; `None` if it states a limit no longer.
    pub rate: Option<u64>,
    /// Number of the statement.
    pub number: u64,
    /// When it was stated.
    pub stated_at: Instant,
}

/// A limit and this instance's share of it.
#[value]
struct Limit {
    report: Report,
    /// When the next call may be made.
    next_call: Instant,
}

/// The limits of all endpoints.
#[value]
pub struct Limits {
    seed: u64,
    members: usize,
    limits: IndexMap<NameHash, Limit>,
}

impl Limits {
    /// Creates an empty set; `seed` differs between instances.
    pub fn new(seed: u64) -> Limits {
        Limits { seed, members: 1, limits: IndexMap::new() }
    }

    /// Sets the number of instances that share the limits.
    pub fn set_members(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// Records what an endpoint has stated in a response to this instance; returns whether that has
    /// changed.
    pub fn record(&mut self, now: Instant, endpoint: &Endpoint, stated: StatedLimit) -> bool {
        let rate = match stated {
            StatedLimit::Unknown => return false,
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
        };
        let (key, started_at_ms) = (NameHash::of(&endpoint.id), endpoint.started_at_ms);
        let known = self.limits.get(&key).map(|it| &it.report);
        let number = known.map_or(1, |it| it.number + 1);
        let is_known = known.is_some_and(|it| {
            (it.started_at_ms, it.rate) == (started_at_ms, rate)
                && now.since(it.stated_at) < RENEWAL_INTERVAL
        });
        let report = Report { endpoint: key, started_at_ms, rate, number, stated_at: now };
        !is_known && self.insert(now, report)
    }

    /// Records what a peer tells; returns whether that has changed what is known.
    pub fn record_report(&mut self, now: Instant, report: Report) -> bool {
        let known = self.limits.get(&report.endpoint);
        known.is_none_or(|it| it.report.number < report.number) && self.insert(now, report)
    }

    fn insert(&mut self, now: Instant, report: Report) -> bool {
        let key = report.endpoint;
        let known = self.limits.get(&key).map(|it| (it.report.rate, it.next_call));
        let (known_rate, next_call) = known.unwrap_or((None, now));
        let next_call = match report.rate {
            Some(rate) if known_rate.is_none() => now + self.first_delay(now, key, rate),
            _ => next_call,
        };
        let has_changed = known_rate != report.rate;
        if known.is_some() || report.rate.is_some() {
            self.limits.insert(key, Limit { report, next_call });
        }
        has_changed
    }

    /// Returns a random part of a period.
    fn first_delay(&self, now: Instant, endpoint: NameHash, rate: u64) -> Duration {
        let input = [endpoint.0.to_le_bytes(), now.0.to_le_bytes()].concat();
        let draw = xxh3_64_with_seed(&input, self.seed) as f64 / u64::MAX as f64;
        self.period(rate).mul_f64(draw)
    }

    /// Returns the time between two calls of one instance.
    fn period(&self, rate: u64) -> Duration {
        spacing(rate).saturating_mul(self.members as u32).min(MAX_PERIOD)
    }

    /// Returns the limit of an endpoint that holds now.
    fn limit(&self, now: Instant, endpoint: &Endpoint) -> Option<(&Limit, u64)> {
        let limit = self.limits.get(&NameHash::of(&endpoint.id))?;
        let Report { started_at_ms, rate, stated_at, .. } = limit.report;
        let holds = started_at_ms == endpoint.started_at_ms && now.since(stated_at) < EXPIRY;
        Some((limit, rate?)).filter(|_| holds)
    }

    /// Returns whether an endpoint limits the requests that it takes.
    pub fn is_limited(&self, now: Instant, endpoint: &Endpoint) -> bool {
        self.limit(now, endpoint).is_some()
    }

    /// Returns the time until this instance may call an endpoint; `None` if it may now.
    pub fn wait(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let (limit, rate) = self.limit(now, endpoint)?;
        let next_call = next_call(now, limit.next_call, self.period(rate));
        (next_call > now).then(|| next_call.since(now))
    }

    /// Returns the time in which an instance of the fleet may call an endpoint; `None` if this one may
    /// now.
    pub fn fleet_wait(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let (_, rate) = self.limit(now, endpoint)?;
        self.wait(now, endpoint).map(|it| it.min(spacing(rate)))
    }

    /// Counts a call to an endpoint.
    pub fn record_call(&mut self, now: Instant, endpoint: &Endpoint) {
        let Some((limit, rate)) = self.limit(now, endpoint) else { return };
        let period = self.period(rate);
        let next_call = next_call(now, limit.next_call, period) + period;
        if let Some(limit) = self.limits.get_mut(&NameHash::of(&endpoint.id)) {
            limit.next_call = next_call;
        }
    }

    /// Returns what other instances are to be told.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let is_recent = |it: &Report| {
            now.since(it.stated_at) < if it.rate.is_some() { EXPIRY } else { END_REPEAT_TIME }
        };
        let recent = self.limits.values().map(|it| &it.report).filter(|it| is_recent(it));
        let mut recent: Vec<Report> = recent.cloned().collect();
        recent.sort_unstable_by_key(|it| std::cmp::Reverse(it.stated_at));
        recent.truncate(MAX_REPORTS);
        recent
    }

    /// Forgets the limits that do not hold any more.
    pub fn expire(&mut self, now: Instant) {
        self.limits.retain(|_, it| now.since(it.report.stated_at) < EXPIRY);
    }
}

/// Returns the time between two calls of all instances together.
fn spacing(rate: u64) -> Duration {
    let per_second = rate as f64 / 1_000.0 * USED_SHARE;
    Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(MAX_PERIOD).min(MAX_PERIOD)
}

/// Returns when the next call may be made, without the times that have lapsed.
fn next_call(now: Instant, next_call: Instant, period: Duration) -> Instant {
    let lapsed = now.since(next_call + VALIDITY);
    match lapsed.is_zero() {
        true => next_call,
        false => next_call + period.mul_f64((lapsed.as_secs_f64() / period.as_secs_f64()).ceil()),
    }
}
