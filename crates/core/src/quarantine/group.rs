//! Groups of requests, those of one team on one route, that are suspected of crashing endpoints.
//!
//! Each request of a group may have another content, and most may be sound. A group is therefore
//! cleared by success in proportion to its crashes only. It is quarantined after crashes that no
//! single request accounts for, unless another group shares nearly all of them.

use std::{cmp::Reverse, time::Duration};

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{Instant, name_hash::NameHash};

use super::{
    Crash, Report, WHOLE_REQUEST,
    suspect::{MIN_CRASHES, QUARANTINE_TIME, REPEAT_TIME, Suspect},
};

/// Number of endpoints that have to have crashed until a group is quarantined.
const MIN_ENDPOINTS: usize = 5;
/// Maximum number of these crashes that count of one request.
const MAX_REQUEST_CRASHES: usize = 3;
/// Minimum time between the first and the last of them.
const MIN_SPREAD: Duration = Duration::from_secs(1);
/// Number of requests that have to go well for each crash until the crashes are forgotten.
const SUCCESSES_PER_CRASH: usize = 16;
/// Minimum number of requests that have to go well until then.
const MIN_SUCCESSES: usize = 64;
/// Time after the last crash for which a group is quarantined first. A crash after its end quarantines it
/// for [`QUARANTINE_TIME`].
const FIRST_QUARANTINE_TIME: Duration = Duration::from_secs(60);
/// Maximum number of requests that are kept of a crash.
const MAX_CRASH_REQUESTS: usize = 4;
/// Maximum number of suspected groups.
const MAX_GROUPS: usize = 64;
/// Maximum number of groups in a heartbeat.
const MAX_REPORTS: usize = 8;
/// Number of crashes from which peers are told of each request that goes well.
const MIN_TOLD_CRASHES: usize = 2;

/// What an instance tells of a suspected group.
#[value(eq)]
pub struct GroupReport {
    /// The crashes, the last clearing and the end of the quarantine.
    pub suspicion: Report,
    /// Endpoints that have crashed, each with a request of the group that it was running.
    pub requests: Vec<(NameHash, NameHash)>,
    /// Requests that have gone well since.
    pub successes: Vec<NameHash>,
}

/// A group of requests, and what is known of it.
#[value(default)]
struct Group {
    suspect: Suspect,
    /// Requests that were in progress at each crash, by endpoint.
    requests: IndexMap<NameHash, Vec<NameHash>>,
    /// Requests that have gone well since the first crash.
    successes: IndexSet<NameHash>,
    /// Until when peers are told of these requests.
    told_until: Instant,
}

impl Group {
    fn record_crash(&mut self, now: Instant, request: NameHash, crash: Crash) {
        self.suspect.record_crash(now, crash);
        self.add_request(crash.engine, request);
        self.drop_forgotten();
    }

    fn add_request(&mut self, engine: NameHash, request: NameHash) {
        let requests = self.requests.entry(engine).or_default();
        if requests.len() < MAX_CRASH_REQUESTS && !requests.contains(&request) {
            requests.push(request);
        }
    }

    /// Records that a request has gone well; returns whether that ends the quarantine.
    fn record_success(&mut self, now: Instant, request: NameHash) -> bool {
        let was_quarantined = self.suspect.is_quarantined(now);
        self.add_successes(now, [request]);
        was_quarantined && !self.suspect.is_quarantined(now)
    }

    /// Adds requests that have gone well, and forgets the crashes if these are enough.
    fn add_successes(&mut self, now: Instant, requests: impl IntoIterator<Item = NameHash>) {
        let crash_count = self.suspect.engines().count();
        if crash_count == 0 {
            return;
        }
        let known = self.successes.len();
        self.successes.extend(requests.into_iter().take(self.clearing_successes()));
        if self.successes.len() > known && crash_count >= MIN_TOLD_CRASHES {
            self.told_until = now + REPEAT_TIME;
        }
        if self.successes.len() >= self.clearing_successes() {
            self.suspect.record_success(now, now);
            self.drop_forgotten();
        }
    }

    /// Returns the number of requests that have to go well until the crashes are forgotten.
    fn clearing_successes(&self) -> usize {
        MIN_SUCCESSES.max(self.suspect.engines().count() * SUCCESSES_PER_CRASH)
    }

    fn record_report(&mut self, now: Instant, report: GroupReport) {
        self.suspect.record_report(now, &report.suspicion);
        for (engine, request) in report.requests {
            if self.suspect.has_crashed(engine) {
                self.add_request(engine, request);
            }
        }
        self.add_successes(now, report.successes);
        self.drop_forgotten();
    }

    /// Forgets what belongs to crashes that no longer count.
    fn drop_forgotten(&mut self) {
        self.requests.retain(|engine, _| self.suspect.has_crashed(*engine));
        if self.requests.is_empty() {
            self.successes.clear();
        }
    }

    fn is_told(&self, now: Instant) -> bool {
        let has_news = self.suspect.has_news(now) || self.told_until > now;
        has_news || self.suspect.is_quarantined(now)
    }

    fn report(&self, hash: NameHash) -> GroupReport {
        let requests = self.requests.iter();
        GroupReport {
            suspicion: self.suspect.report(hash),
            requests: requests.flat_map(|(it, all)| all.iter().map(|one| (*it, *one))).collect(),
            successes: self.successes.iter().copied().collect(),
        }
    }

    /// Returns whether the crashes suffice to quarantine the group. News of the few requests that went well at
    /// other instances meanwhile would not change that.
    fn is_confirmed(&self, now: Instant) -> bool {
        let apart = self.suspect.crashes_apart(now);
        let spread = match (apart.first(), apart.last()) {
            (Some(first), Some(last)) => last.at.since(first.at),
            _ => return false,
        };
        apart.len() >= MIN_CRASHES
            && spread >= MIN_SPREAD
            && self.counting_crashes() >= MIN_ENDPOINTS
    }

    /// Returns the number of crashes, of those with one request a few only.
    fn counting_crashes(&self) -> usize {
        let engines: Vec<NameHash> = self.suspect.engines().collect();
        let mut counts: IndexMap<NameHash, usize> = IndexMap::new();
        for request in engines.iter().filter_map(|it| self.requests.get(it)).flatten() {
            *counts.entry(*request).or_default() += 1;
        }
        let of_one = counts.into_values().max().unwrap_or(0);
        engines.len() - of_one.saturating_sub(MAX_REQUEST_CRASHES)
    }

    /// Returns whether another group has three quarters or more of the same crashes.
    fn is_equalled_by(&self, other: &Group) -> bool {
        let common = self.suspect.engines().filter(|it| other.suspect.has_crashed(*it)).count();
        4 * common >= 3 * self.suspect.engines().count()
    }

    fn quarantine_time(&self) -> Duration {
        match self.suspect.quarantined_until {
            None => FIRST_QUARANTINE_TIME,
            Some(_) => QUARANTINE_TIME,
        }
    }
}

/// The suspected and the quarantined groups, by hash.
#[value(default)]
pub struct Groups {
    groups: IndexMap<NameHash, Group>,
}

impl Groups {
    /// Records that a request of a group has crashed an endpoint.
    pub fn record_crash(&mut self, now: Instant, group: NameHash, request: NameHash, crash: Crash) {
        if !self.is_explained(now, group, crash) {
            self.group(group).record_crash(now, request, crash);
            self.limit(now);
        }
    }

    /// Records that a request of a group, by the hash of its identifier, has gone well; returns whether
    /// that ends the quarantine of the group.
    pub fn record_success(&mut self, now: Instant, group: NameHash, request: NameHash) -> bool {
        self.groups.get_mut(&group).is_some_and(|it| it.record_success(now, request))
    }

    /// Records what a peer has told; returns the groups that are quarantined by it.
    pub fn record_reports(
        &mut self,
        now: Instant,
        reports: impl Iterator<Item = GroupReport>,
    ) -> Vec<NameHash> {
        let mut new = Vec::new();
        for report in reports {
            let hash = report.suspicion.subject.hash;
            let was_quarantined = self.is_quarantined(now, hash);
            self.group(hash).record_report(now, report);
            if !was_quarantined && self.is_quarantined(now, hash) {
                new.push(hash);
            }
        }
        self.drop_explained(now);
        self.limit(now);
        new
    }

    /// Quarantines the groups whose suspicion has been confirmed, and forgets what is over; returns the
    /// newly quarantined ones.
    pub fn update(&mut self, now: Instant) -> Vec<NameHash> {
        let mut new = Vec::new();
        while let Some(hash) = self.next_confirmed(now) {
            let group = &mut self.groups[&hash];
            group.suspect.quarantine(now, group.quarantine_time());
            new.push(hash);
            self.drop_explained(now);
        }
        self.groups.retain(|_, it| !it.suspect.is_over(now));
        new
    }

    /// Returns for how long a group is still quarantined; `None` if its requests may be run.
    pub fn remaining(&self, now: Instant, group: NameHash) -> Option<Duration> {
        let until = self.groups.get(&group)?.suspect.quarantined_until?;
        (until > now).then(|| until.since(now))
    }

    /// Returns whether a request of a group that has crashed an endpoint may be repeated at another one.
    pub fn may_repeat(&self, group: NameHash) -> bool {
        self.groups.get(&group).is_none_or(|it| it.suspect.crash_count() < MIN_CRASHES)
    }

    /// Returns what peers have to be told: all quarantined groups and news of others; if there are too
    /// many, those with the most crashes.
    pub fn reports(&self, now: Instant) -> Vec<GroupReport> {
        let told = self.groups.iter().filter(|(_, it)| it.is_told(now));
        let mut told: Vec<(&NameHash, &Group)> = told.collect();
        told.sort_by_cached_key(|(_, it)| Reverse(it.suspect.weight(now)));
        told.truncate(MAX_REPORTS);
        told.into_iter().map(|(hash, it)| it.report(*hash)).collect()
    }

    /// Returns the number of suspected or quarantined groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns whether no group is suspected.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    fn group(&mut self, hash: NameHash) -> &mut Group {
        let group = self.groups.entry(hash).or_default();
        group.suspect.depth = WHOLE_REQUEST;
        group
    }

    fn is_quarantined(&self, now: Instant, hash: NameHash) -> bool {
        self.remaining(now, hash).is_some()
    }

    /// Returns the group with the most crashes of those whose suspicion has been confirmed and that no
    /// other one equals.
    fn next_confirmed(&self, now: Instant) -> Option<NameHash> {
        let is_free = |it: &Group| !it.suspect.is_quarantined(now);
        let has_rival = |hash: NameHash, it: &Group| {
            let mut others = self.groups.iter().filter(|(other, _)| **other != hash);
            others.any(|(_, other)| is_free(other) && it.is_equalled_by(other))
        };
        let is_due = |hash: NameHash, it: &Group| {
            let last_crash = it.suspect.last_crash();
            let has_new_crash = it.suspect.quarantined_until.is_none_or(|end| end <= last_crash);
            let is_recent = now.since(last_crash) < it.quarantine_time();
            is_free(it)
                && has_new_crash
                && is_recent
                && it.is_confirmed(now)
                && !has_rival(hash, it)
        };
        let due = self.groups.iter().filter(|(hash, it)| is_due(**hash, it));
        due.max_by_key(|(_, it)| it.suspect.crash_count()).map(|(hash, _)| *hash)
    }

    /// Returns whether another group, which is quarantined, explains a crash.
    fn is_explained(&self, now: Instant, group: NameHash, crash: Crash) -> bool {
        let others = self.groups.iter().filter(|(hash, _)| **hash != group);
        let mut quarantined = others.filter(|(_, it)| it.suspect.is_quarantined(now));
        quarantined.any(|(_, it)| it.suspect.has_crashed(crash.engine))
    }

    /// Drops crashes that quarantined groups explain from the groups that are not quarantined.
    fn drop_explained(&mut self, now: Instant) {
        let quarantined = self.groups.values().filter(|it| it.suspect.is_quarantined(now));
        let explained: Vec<NameHash> = quarantined.flat_map(|it| it.suspect.engines()).collect();
        let others = self.groups.values_mut().filter(|it| !it.suspect.is_quarantined(now));
        others.for_each(|it| {
            it.suspect.drop_crashes(&explained);
            it.drop_forgotten();
        });
    }

    /// Removes the groups with the fewest and oldest crashes if there are too many.
    fn limit(&mut self, now: Instant) {
        if self.groups.len() > MAX_GROUPS {
            self.groups.sort_by_cached_key(|_, it| Reverse(it.suspect.weight(now)));
            self.groups.truncate(MAX_GROUPS);
        }
    }
}
