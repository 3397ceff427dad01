//! Endpoints that are cold: until when they are, and whether this instance may call them now.
//!
//! In any one second a cold endpoint may get a bounded number of requests from all instances
//! together, whether or not they are in contact. The members that rank highest for an endpoint divide
//! these among themselves; the others do not call it while it is cold.
//!
//! That an endpoint is cold is learnt from its entry, from its start, from its responses and from
//! peers. Statements in responses are numbered, each one higher than the last that is known where it
//! was made, and the one with the highest number holds.

mod callers;
mod share;

use std::{cmp::Reverse, time::Duration};

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{
    Catalog, Directory, Instant, Name, directory::Endpoint, name_hash::NameHash, request,
    state::ColdTolerance,
};

use callers::Callers;
use share::{Rate, Share};

/// Difference that the clocks of an endpoint and of this instance may have.
const CLOCK_ERROR: Duration = Duration::from_secs(5);
/// Longest time for which an endpoint counts as cold; bounds the effect of absurd values.
const MAX_REMAINING: Duration = Duration::from_secs(300);
/// Difference to what is known by which a shorter time is told to peers.
const MIN_CHANGE: Duration = Duration::from_secs(1);
/// Difference to what is known by which a longer time is told to peers. Responses arrive with different delays;
/// but until peers know of the rest, they call the endpoint as a warm one.
const MIN_EXTENSION: Duration = Duration::from_millis(100);
/// Time for which a statement is told to peers; longer than two intervals between their messages.
const REPEAT_TIME: Duration = Duration::from_secs(3);
/// Maximum number of statements in one message; the latest ones.
const MAX_REPORTS: usize = 64;

/// What an endpoint has stated in a response, as it is told to other instances.
#[value(eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: NameHash,
    /// Start of its incarnation.
    pub started_at_ms: Option<u64>,
    /// Time for which it is still cold.
    pub remaining: Duration,
    /// Number of the statement.
    pub number: u64,
}

/// Limit and duration of the cold state of a service's endpoints.
#[value]
struct Rule {
    rate: Rate,
    duration: Duration,
}

/// What is known of one start of an endpoint.
#[value]
struct Record {
    id: Name,
    service: Name,
    started_at_ms: Option<u64>,
    /// Number and remaining time of the last entry.
    entry: (Option<u64>, Duration),
    /// Until when it is cold by what it has stated.
    until: Instant,
    /// When its entry was first read, and its smallest possible age then; `None` if that shows nothing
    /// or it has made a statement.
    first_read: Option<(Instant, Duration)>,
    /// Number of the last statement; 0 if there is none.
    number: u64,
    /// When that was learnt here.
    noted_at: Instant,
    /// Whether the share is as the current members divide it.
    is_assigned: bool,
    share: Share,
}

impl Record {
    fn cold_until(&self, rule: &Rule) -> Instant {
        match self.first_read {
            Some((at, age)) => self.until.max(at + rule.duration.saturating_sub(age)),
            None => self.until,
        }
    }

    /// Takes a statement of the endpoint in place of what is known.
    fn replace(&mut self, now: Instant, until: Instant, number: u64) {
        self.until = until;
        self.first_read = None;
        self.number = number;
        self.noted_at = now;
    }
}

/// The cold endpoints, and this instance's shares of the calls to them.
#[value]
pub struct Tracker {
    tolerance: Option<ColdTolerance>,
    rules: IndexMap<Name, Rule>,
    callers: Callers,
    records: IndexMap<NameHash, Record>,
    /// Until when an endpoint is cold, so that choices need not look up each one while none is.
    last_until: Instant,
    /// Whether the next list is the first one of the whole fleet, whose endpoints have not started
    /// during traffic.
    is_first_list: bool,
}

impl Tracker {
    /// Creates an empty set for the instance `own`; `tolerance` is `None` where endpoints are never
    /// cold, and `first_start` is whether the whole fleet starts for the first time.
    pub fn new(own: &str, tolerance: Option<ColdTolerance>, first_start: bool) -> Tracker {
        Tracker {
            tolerance,
            rules: IndexMap::new(),
            callers: Callers::new(NameHash::of(own)),
            records: IndexMap::new(),
            last_until: Instant::default(),
            is_first_list: first_start,
        }
    }

    /// Takes the rates of the services from a configuration.
    pub fn configure(&mut self, now: Instant, catalog: &Catalog) {
        let Some(tolerance) = &self.tolerance else { return };
        let rules = catalog.services().filter_map(|it| {
            let warm_up = it.warm_up.as_ref()?;
            let duration = warm_up.duration.min(MAX_REMAINING);
            Some((it.name.clone(), Rule { rate: Rate::new(warm_up, tolerance), duration }))
        });
        self.rules = rules.collect();
        self.records.values_mut().for_each(|it| it.is_assigned = false);
        self.assign(now);
    }

    /// Sets the known members, reachable or not; `is_listed` is whether the platform's list of them
    /// has been read.
    pub fn set_members<'a>(
        &mut self,
        now: Instant,
        names: impl Iterator<Item = &'a Name>,
        is_listed: bool,
    ) {
        if self.tolerance.is_none() {
            return;
        }
        if self.callers.set(now, names.map(|it| NameHash::of(it)), is_listed) {
            self.records.values_mut().for_each(|it| it.is_assigned = false);
        }
        self.assign(now);
    }

    /// Records a list of endpoints; returns those that are cold and have not been before.
    pub fn record_list(&mut self, now: Instant, directory: &Directory) -> Vec<Name> {
        if self.tolerance.is_none() {
            return Vec::new();
        }
        let was_cold: IndexSet<NameHash> = self.cold_records(now).map(|(key, _)| key).collect();
        for endpoint in directory.iter() {
            self.record_entry(now, endpoint, directory.age(endpoint));
        }
        self.is_first_list = false;
        let rules = &self.rules;
        let is_cold = |it: &Record| rules.get(&it.service).is_some_and(|r| it.cold_until(r) > now);
        self.records.retain(|_, it| directory.get(&it.id).is_some() || is_cold(it));
        self.assign(now);
        let new = self.cold_records(now).filter(|(key, _)| !was_cold.contains(key));
        new.map(|(_, it)| it.id.clone()).collect()
    }

    /// Records an entry. It only prolongs the cold state, since it may be older than a statement.
    fn record_entry(&mut self, now: Instant, endpoint: &Endpoint, age: Option<Duration>) {
        let key = NameHash::of(&endpoint.id);
        let entry = (endpoint.sequence, endpoint.cold_remaining);
        let until = match endpoint.cold_remaining {
            Duration::ZERO => Instant::default(),
            remaining => now + remaining.min(MAX_REMAINING),
        };
        match self.records.get_mut(&key) {
            Some(known) if known.started_at_ms == endpoint.started_at_ms => {
                if known.entry != entry {
                    known.entry = entry;
                    known.until = known.until.max(until);
                }
            }
            known => {
                let age = age.filter(|_| !self.is_first_list);
                let record = Record {
                    id: endpoint.id.clone(),
                    service: endpoint.service.clone(),
                    started_at_ms: endpoint.started_at_ms,
                    entry,
                    until,
                    first_read: age.map(|it| (now, it.saturating_sub(CLOCK_ERROR))),
                    number: 0,
                    noted_at: Instant::default(),
                    is_assigned: false,
                    // Calls to the earlier start may still arrive.
                    share: known.map(|it| it.share.clone()).unwrap_or_default(),
                };
                self.records.insert(key, record);
            }
        }
    }

    /// Records for how long an endpoint has said in a response that it is cold; returns whether it is
    /// cold now and was not before, or the reverse.
    pub fn record_statement(
        &mut self,
        now: Instant,
        endpoint: &Endpoint,
        remaining: Duration,
    ) -> bool {
        let was_cold = self.remaining(now, endpoint);
        let Some(record) = self.record_mut(endpoint) else { return false };
        let remaining = remaining.min(MAX_REMAINING);
        let (until, known) = (now + remaining, was_cold.unwrap_or_default());
        let is_news = was_cold.is_some() == remaining.is_zero()
            || remaining >= known + MIN_EXTENSION
            || known >= remaining + MIN_CHANGE;
        if is_news {
            let number = record.number.saturating_add(1);
            record.replace(now, until, number);
            self.assign(now);
        } else if remaining > known {
            record.until = until;
            self.last_until = self.last_until.max(until);
        }
        was_cold.is_some() != self.remaining(now, endpoint).is_some()
    }

    /// Records what a peer tells; returns the endpoint if that has changed what is known.
    pub fn record_report(&mut self, now: Instant, report: Report) -> Option<Name> {
        let record = self.records.get_mut(&report.endpoint)?;
        let is_new = record.number < report.number && record.started_at_ms == report.started_at_ms;
        if !is_new {
            return None;
        }
        record.replace(now, now + report.remaining.min(MAX_REMAINING), report.number);
        let id = record.id.clone();
        self.assign(now);
        Some(id)
    }

    /// Records that an endpoint has ended; returns whether peers are to be told. It may start again before its
    /// entry shows it.
    pub fn record_end(&mut self, now: Instant, endpoint: &Endpoint) -> bool {
        let Some(duration) = self.rules.get(&endpoint.service).map(|it| it.duration) else {
            return false;
        };
        let Some(record) = self.record_mut(endpoint) else { return false };
        let (known, until) = (record.until, now + duration);
        // Other calls that broke off at the same time tell nothing new.
        let is_news = known + MIN_EXTENSION <= until;
        match is_news {
            true => record.replace(now, until, record.number.saturating_add(1)),
            false => record.until = known.max(until),
        }
        self.assign(now);
        is_news
    }

    /// Returns what other instances are to be told.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let is_news = |it: &Record| it.number > 0 && now.since(it.noted_at) < REPEAT_TIME;
        let mut news: Vec<_> = self.records.iter().filter(|(_, it)| is_news(it)).collect();
        news.sort_by_key(|(_, it)| Reverse(it.noted_at));
        news.truncate(MAX_REPORTS);
        let report = |(endpoint, it): (&NameHash, &Record)| Report {
            endpoint: *endpoint,
            started_at_ms: it.started_at_ms,
            remaining: it.until.since(now),
            number: it.number,
        };
        news.into_iter().map(report).collect()
    }

    /// Returns the time for which an endpoint is still cold; `None` if it is not.
    pub fn remaining(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        self.cold(now, endpoint).map(|(.., remaining)| remaining)
    }

    /// Returns the time until this instance may call an endpoint; `None` if it may now.
    pub fn wait(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let (record, _, remaining) = self.cold(now, endpoint)?;
        let wait = match record.is_assigned {
            true => self.callers.wait(now).max(record.share.wait(now)),
            false => Some(Duration::MAX),
        };
        wait.map(|it| it.min(remaining))
    }

    /// Returns the time in which an instance of the fleet may call an endpoint; `None` if this one may
    /// now.
    pub fn fleet_wait(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let (_, rule, _) = self.cold(now, endpoint)?;
        self.wait(now, endpoint).map(|it| it.min(rule.rate.spacing()))
    }

    /// Returns whether a run of a request that has a reservation may be sent now.
    pub fn may_run(&self, now: Instant, endpoint: &Endpoint, id: request::Id) -> bool {
        let is_reserved = |record: &Record| record.share.is_reserved_for(id);
        self.cold(now, endpoint).is_none_or(|(record, ..)| is_reserved(record))
            || self.wait(now, endpoint).is_none()
    }

    /// Counts a reservation for a request.
    pub fn record_reservation(&mut self, now: Instant, endpoint: &Endpoint, id: request::Id) {
        self.count(now, endpoint, |share| share.record_reservation(now, id));
    }

    /// Counts another call, which may be the run after a reservation for a request.
    pub fn record_call(&mut self, now: Instant, endpoint: &Endpoint, id: Option<request::Id>) {
        match (self.remaining(now, endpoint), id) {
            (Some(_), _) => self.count(now, endpoint, |share| share.record_call(now, id)),
            // A reservation from the time when it was cold keeps its unit no longer than until the run.
            (None, Some(id)) => self.release(endpoint, id),
            (None, None) => {}
        }
    }

    fn count(&mut self, now: Instant, endpoint: &Endpoint, count: impl FnOnce(&mut Share)) {
        if self.remaining(now, endpoint).is_some()
            && let Some(record) = self.record_mut(endpoint)
        {
            count(&mut record.share);
        }
    }

    /// Gives up the run of a request that may have a reservation.
    pub fn release(&mut self, endpoint: &Endpoint, id: request::Id) {
        if let Some(record) = self.records.get_mut(&NameHash::of(&endpoint.id)) {
            record.share.release(id);
        }
    }

    /// Divides the units of cold endpoints by the current members.
    fn assign(&mut self, now: Instant) {
        self.last_until = Instant::default();
        for (key, record) in &mut self.records {
            let Some(rule) = self.rules.get(&record.service) else { continue };
            let until = record.cold_until(rule);
            self.last_until = self.last_until.max(until);
            if until > now && !record.is_assigned {
                record.share.assign(&rule.rate, self.callers.rank(*key), self.callers.len());
                record.is_assigned = true;
            }
        }
    }

    fn cold_records(&self, now: Instant) -> impl Iterator<Item = (NameHash, &Record)> {
        let is_cold = move |it: &Record| {
            self.rules.get(&it.service).is_some_and(|rule| it.cold_until(rule) > now)
        };
        self.records.iter().filter(move |(_, it)| is_cold(it)).map(|(key, it)| (*key, it))
    }

    fn cold(&self, now: Instant, endpoint: &Endpoint) -> Option<(&Record, &Rule, Duration)> {
        if self.last_until <= now {
            return None;
        }
        let rule = self.rules.get(&endpoint.service)?;
        let record = self.records.get(&NameHash::of(&endpoint.id))?;
        let until = record.cold_until(rule);
        (until > now).then(|| (record, rule, until.since(now)))
    }

    fn record_mut(&mut self, endpoint: &Endpoint) -> Option<&mut Record> {
        let record = self.records.get_mut(&NameHash::of(&endpoint.id))?;
        (record.started_at_ms == endpoint.started_at_ms).then_some(record)
    }
}
