//! A request, or a part of prompts, that is suspected of crashing endpoints.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, name_hash::NameHash};

use super::{Subject, WHOLE_REQUEST};

/// Number of crashes, one after the other, for which a subject is quarantined.
pub(super) const MIN_CRASHES: usize = 3;
/// Number of crashes for which a part is quarantined although they were at the same time, or nothing
/// else has run.
const MIN_ENGINES: usize = 5;
/// Time after each of these crashes in which other instances may still report that a run with
/// the part went well.
const CONFIRMATION_TIME: Duration = Duration::from_millis(300);
/// Time after its last crash in which a request may still turn out to have been run beside the one that
/// crashed the endpoints.
const RIVAL_TIME: Duration = Duration::from_secs(1);
/// Time for which runs with other parts, and none with this one, have to go well after
/// [`MIN_ENGINES`] crashes, so that the loss of many engines at once is not taken for the part's.
const OTHER_SUCCESS_TIME: Duration = Duration::from_millis(700);
/// Time after the last crash for which a subject is quarantined. A single crash within
/// [`CRASH_EXPIRY`] then renews it.
pub(super) const QUARANTINE_TIME: Duration = Duration::from_secs(300);
/// The same if no run at all has gone well meanwhile, so that the subject is not known to be the cause.
const SHORT_QUARANTINE_TIME: Duration = Duration::from_secs(30);
/// Time for which a crash counts.
const CRASH_EXPIRY: Duration = Duration::from_secs(600);
/// Time without a crash after which a subject that has been cleared is forgotten.
const CLEARED_EXPIRY: Duration = Duration::from_secs(10);
/// Time for which news of a suspect are told to peers.
pub(super) const REPEAT_TIME: Duration = Duration::from_secs(3);
/// Time between two crashes that may not have a cause in common, such as the loss of a rack.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of crashes that are kept of a subject.
const MAX_CRASHES: usize = 16;
/// Time that a message may take. A reported success counts as earlier by it, so that it does not seem
/// later, and later than a crash, each time that it is passed on.
const MAX_TRANSIT: Duration = Duration::from_millis(100);
/// Time by which a report has to be newer than what is known to be news; longer than messages take,
/// by which the times that instances compute from ages differ.
const MIN_NEWS: Duration = Duration::from_secs(1);

/// The crash of an endpoint.
#[value(id)]
pub struct Crash {
    /// Stands for one start of the endpoint, which can crash only once.
    pub engine: NameHash,
    /// When the run began that it broke off.
    pub began_at: Instant,
    /// When it was noticed.
    pub at: Instant,
}

/// What an instance tells of a suspect.
#[value(eq)]
pub struct Report {
    /// The request, or the part, at the largest depth that was seen.
    pub subject: Subject,
    /// Crashes since a run with the subject last went well.
    pub crashes: Vec<Crash>,
    /// When a run with the subject last went well.
    pub cleared_at: Option<Instant>,
    /// End of the quarantine.
    pub quarantined_until: Option<Instant>,
}

impl Report {
    /// Returns whether it tells as much of the same subject as another one.
    pub fn tells_as_much(&self, other: &Report) -> bool {
        self.subject.hash == other.subject.hash
            && self.crashes.len() >= other.crashes.len()
            && self.quarantined_until.is_some() >= other.quarantined_until.is_some()
    }
}

/// What is known of a suspect.
#[value(default)]
pub(super) struct Suspect {
    pub(super) depth: u32,
    /// The crashes since a run with the subject last went well, by endpoint.
    crashes: IndexMap<NameHash, Crash>,
    last_crash: Instant,
    /// When a run with other parts first went well after the last crash.
    other_success_since: Option<Instant>,
    cleared_at: Option<Instant>,
    pub(super) quarantined_until: Option<Instant>,
    /// Until when peers are told.
    told_until: Instant,
}

impl Suspect {
    pub(super) fn record_crash(&mut self, now: Instant, crash: Crash) {
        if self.cleared_at.is_none_or(|it| it < crash.at) {
            self.insert_crash(now, crash);
        }
    }

    fn insert_crash(&mut self, now: Instant, crash: Crash) {
        if self.crashes.contains_key(&crash.engine) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.shift_remove_index(0);
        }
        self.crashes.insert(crash.engine, crash);
        self.last_crash = self.last_crash.max(crash.at);
        self.other_success_since = None;
        self.told_until = now + REPEAT_TIME;
    }

    pub(super) fn record_success(&mut self, now: Instant, at: Instant) {
        let is_news = self.cleared_at.is_none_or(|it| it + MIN_NEWS <= at);
        if is_news || !self.crashes.is_empty() {
            self.told_until = now + REPEAT_TIME;
        }
        self.cleared_at = self.cleared_at.max(Some(at));
        self.crashes.retain(|_, it| it.at > at);
        if self.crashes.is_empty() {
            self.quarantined_until = None;
        }
    }

    /// Records that a run with other parts went well.
    pub(super) fn record_other_success(&mut self, at: Instant) {
        if at > self.last_crash {
            self.other_success_since.get_or_insert(at);
        }
    }

    pub(super) fn record_report(&mut self, now: Instant, report: &Report) {
        let cleared_at = report.cleared_at.map(|it| it - MAX_TRANSIT);
        if let Some(at) = cleared_at.filter(|it| self.cleared_at < Some(*it)) {
            self.record_success(now, at);
        }
        for crash in &report.crashes {
            // The crashes are later than the success of the same report, also where both are from
            // before the start of this instance's clock.
            match self.cleared_at > report.cleared_at {
                true => self.record_crash(now, *crash),
                false => self.insert_crash(now, *crash),
            }
        }
        // One that was cleared here meanwhile is not quarantined again.
        let until = report.quarantined_until.filter(|_| !self.crashes.is_empty());
        if let Some(until) = until
            && self.quarantined_until.is_none_or(|it| it + MIN_NEWS < until)
        {
            self.quarantined_until = Some(until);
        }
    }

    pub(super) fn report(&self, hash: NameHash) -> Report {
        Report {
            subject: Subject { hash, depth: self.depth },
            crashes: self.crashes.values().copied().collect(),
            cleared_at: self.cleared_at,
            quarantined_until: self.quarantined_until,
        }
    }

    /// Quarantines the subject for a time after its last crash.
    pub(super) fn quarantine(&mut self, now: Instant, time: Duration) {
        self.quarantined_until = Some(self.last_crash + time);
        self.told_until = now + REPEAT_TIME;
    }

    pub(super) fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|it| it > now)
    }

    /// Returns for how long after the last crash the subject has to be quarantined, once enough
    /// endpoints have crashed and other instances had time to clear it; `last_success` is the time of
    /// the last run that went well, whatever its subjects.
    pub(super) fn quarantine_time(&self, now: Instant, last_success: Instant) -> Option<Duration> {
        if self.is_quarantined(now) {
            return None;
        }
        let age = now.since(self.last_crash);
        let first_crash = self.crashes.values().map(|it| it.at).min().unwrap_or(now);
        let in_turn = self.crash_count_at(now - CONFIRMATION_TIME);
        let has_other_success =
            self.other_success_since.is_some_and(|it| now.since(it) >= OTHER_SUCCESS_TIME);
        let time = match in_turn {
            MIN_CRASHES.. if last_success > first_crash => QUARANTINE_TIME,
            MIN_CRASHES.. if self.is_request() => SHORT_QUARANTINE_TIME,
            _ if self.is_request() => return None,
            _ if self.crashes.len() >= MIN_ENGINES && has_other_success => QUARANTINE_TIME,
            MIN_ENGINES.. => SHORT_QUARANTINE_TIME,
            _ => return None,
        };
        (age < time).then_some(time)
    }

    /// Returns the number of crashes; those at the same time count once, unless the run of the later
    /// one began after the earlier one.
    pub(super) fn crash_count(&self) -> usize {
        self.crash_count_at(self.last_crash)
    }

    /// Returns what the number of crashes was at a time.
    ///
    /// A request has to have crashed endpoints over some time as a whole: what a lost rack breaks at
    /// once may seem to be apart by the delays of messages.
    fn crash_count_at(&self, time: Instant) -> usize {
        let crashes = self.crashes.values().filter(|it| it.at <= time);
        let (first, last) = (crashes.clone().map(|it| it.at).min(), crashes.map(|it| it.at).max());
        let spread = match (first, last) {
            (Some(first), Some(last)) => last.since(first),
            _ => return 0,
        };
        let count = self.crashes_apart(time).len();
        match spread < MIN_CRASH_INTERVAL {
            true => count.min(MIN_CRASHES - 1),
            false => count,
        }
    }

    /// Returns the crashes up to a time, in order; of those at the same time only one, unless the run of
    /// the later one began after the earlier one.
    pub(super) fn crashes_apart(&self, time: Instant) -> Vec<Crash> {
        let mut crashes: Vec<Crash> =
            self.crashes.values().filter(|it| it.at <= time).copied().collect();
        crashes.sort_unstable_by_key(|it| it.at);
        let is_request = self.is_request();
        let mut last: Option<Instant> = None;
        crashes.retain(|it| {
            let counts = last.is_none_or(|last| {
                it.at.since(last) >= MIN_CRASH_INTERVAL || is_request && it.began_at >= last
            });
            if counts {
                last = Some(it.at);
            }
            counts
        });
        crashes
    }

    pub(super) fn last_crash(&self) -> Instant {
        self.last_crash
    }

    fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST
    }

    /// Returns whether requests that cannot be told apart from this one by now are not going to be.
    pub(super) fn is_rival_time_over(&self, now: Instant) -> bool {
        now.since(self.last_crash) >= RIVAL_TIME
    }

    pub(super) fn has_crashed(&self, engine: NameHash) -> bool {
        self.crashes.contains_key(&engine)
    }

    pub(super) fn engines(&self) -> impl Iterator<Item = NameHash> {
        self.crashes.keys().copied()
    }

    pub(super) fn drop_crashes(&mut self, engines: &[NameHash]) {
        self.crashes.retain(|engine, _| !engines.contains(engine));
    }

    pub(super) fn has_news(&self, now: Instant) -> bool {
        self.told_until > now
    }

    /// Returns whether nothing of it counts any more.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        let age = now.since(self.last_crash);
        let is_cleared = self.crashes.is_empty() && age >= CLEARED_EXPIRY;
        !self.is_quarantined(now) && (is_cleared || age >= CRASH_EXPIRY)
    }

    /// Returns what decides whether it is kept, or told, if there are too many.
    pub(super) fn weight(&self, now: Instant) -> (bool, usize, Instant) {
        (self.is_quarantined(now), self.crash_count(), self.last_crash)
    }
}
