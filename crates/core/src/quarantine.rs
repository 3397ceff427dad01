//! Quarantine of requests, and of prompt parts, that crash endpoints.
//!
//! A run whose answer breaks off soon after it has begun casts suspicion on the prompt's shared
//! parts: one of them may crash every engine that answers a prompt with it. A run that ends an
//! endpoint casts suspicion on the request as a whole: callers may bring the same one again. A run
//! that ends well, or answers for a while, clears both. A subject that is suspected of enough crashes
//! one after the other, while nothing clears it, is quarantined for a while: requests with it are
//! refused.
//!
//! A crash also breaks the other runs of its endpoint. If several parts of a prompt are suspected
//! equally, the one further behind, which fewer prompts share, is quarantined. Of several requests,
//! the one that has most of the crashes is. Crashes that a quarantined subject explains then no longer
//! count against others; a request explains none of a part, since others may have the part as well.
//!
//! Instances tell one another what they suspect, and pass on what they have heard, so that all of
//! them come to the same conclusion. Memory is bounded by the number of suspects.

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, name_hash::NameHash};

mod group;
mod message;
mod suspect;

pub use group::{GroupReport, Groups};
pub use suspect::{Crash, Report};

use suspect::Suspect;

/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of suspects in a heartbeat.
const MAX_REPORTS: usize = 32;
/// Depth of a request as a whole.
pub const WHOLE_REQUEST: u32 = 0;
/// Number of crashes after which a request is not repeated at another endpoint.
const MIN_REPEATED_CRASHES: usize = 2;

/// What may crash endpoints: a request as a whole, or a part that prompts share.
#[value(id)]
pub struct Subject {
    /// Hash of the request's content and its team, or of the part's identifier.
    pub hash: NameHash,
    /// [`WHOLE_REQUEST`], or the position of the part in the prompt, from 1.
    pub depth: u32,
}

impl Subject {
    /// Returns a request as a whole.
    pub fn request(hash: NameHash) -> Subject {
        Subject { hash, depth: WHOLE_REQUEST }
    }

    /// Returns whether a quarantined subject at a depth accounts for crashes with this one.
    fn is_explained_by(self, depth: u32) -> bool {
        self.depth == WHOLE_REQUEST || depth != WHOLE_REQUEST
    }

    /// Returns the parts of a prompt, in order.
    pub fn parts<'a, T: AsRef<str> + 'a>(
        parts: impl IntoIterator<Item = &'a T>,
    ) -> impl Iterator<Item = Subject> {
        let hashes = parts.into_iter().map(|it| NameHash::of(it.as_ref()));
        hashes.zip(1..).map(|(hash, depth)| Subject { hash, depth })
    }
}

/// A change that has to outlast this instance.
#[value(eq)]
pub enum Change {
    /// A subject has been quarantined.
    Begun(Report),
    /// A subject is no longer quarantined, before its time.
    Ended(NameHash),
}

/// The suspected and the quarantined subjects, by hash.
#[value(default)]
pub struct Quarantine {
    suspects: IndexMap<NameHash, Suspect>,
    /// When a run last went well.
    last_success: Instant,
}

impl Quarantine {
    /// Records that a run of a request with these subjects has crashed an endpoint.
    pub fn record_crash(&mut self, now: Instant, subjects: &[Subject], crash: Crash) {
        let quarantined: Vec<Subject> =
            subjects.iter().filter(|it| self.is_quarantined(now, it.hash)).copied().collect();
        for subject in subjects {
            let is_explained_within =
                quarantined.iter().any(|it| it != subject && subject.is_explained_by(it.depth));
            let is_explained_by_other =
                quarantined.is_empty() && self.is_explained(crash, *subject);
            if !is_explained_within && !is_explained_by_other {
                self.suspect(*subject).record_crash(now, crash);
            }
        }
        self.limit(now);
    }

    /// Records that a run of a request with these subjects went well; returns the subjects that were
    /// quarantined and are no longer.
    pub fn record_success(&mut self, now: Instant, subjects: &[Subject]) -> Vec<Subject> {
        self.last_success = now;
        let mut freed = Vec::new();
        for (hash, suspect) in &mut self.suspects {
            let was_quarantined = suspect.is_quarantined(now);
            match subjects.iter().any(|it| it.hash == *hash) {
                true => suspect.record_success(now, now),
                false => suspect.record_other_success(now),
            }
            if was_quarantined && !suspect.is_quarantined(now) {
                freed.push(Subject { hash: *hash, depth: suspect.depth });
            }
        }
        freed
    }

    /// Records what a peer has told; returns the subjects that are quarantined by it.
    pub fn record_reports(
        &mut self,
        now: Instant,
        reports: impl Iterator<Item = Report>,
    ) -> Vec<Subject> {
        let mut new = Vec::new();
        for report in reports {
            let subject = report.subject;
            let was_quarantined = self.is_quarantined(now, subject.hash);
            if let Some(cleared_at) = report.cleared_at {
                self.last_success = self.last_success.max(cleared_at);
                let others = self.suspects.iter_mut().filter(|(hash, _)| **hash != subject.hash);
                others.for_each(|(_, it)| it.record_other_success(cleared_at));
            }
            self.suspect(subject).record_report(now, &report);
            if !was_quarantined && self.is_quarantined(now, subject.hash) {
                new.push(subject);
            }
        }
        self.drop_explained(now);
        self.limit(now);
        new
    }

    /// Quarantines the subjects whose suspicion has been confirmed, and forgets what is over; returns
    /// the newly quarantined ones.
    pub fn update(&mut self, now: Instant) -> Vec<Report> {
        let mut new = Vec::new();
        while let Some(confirmed) = self.next_confirmed(now) {
            for (hash, time) in confirmed {
                self.suspects[&hash].quarantine(now, time);
                new.push(self.suspects[&hash].report(hash));
            }
            self.drop_explained(now);
        }
        self.suspects.retain(|_, it| !it.is_over(now));
        new
    }

    /// Returns which of these subjects is quarantined for longest, so that a request with it must not
    /// be run, and the remaining time; `None` if it may be run.
    pub fn find(&self, now: Instant, subjects: &[Subject]) -> Option<(Subject, Duration)> {
        let until = |it: &Subject| Some((*it, self.suspects.get(&it.hash)?.quarantined_until?));
        let (subject, until) = subjects.iter().filter_map(until).max_by_key(|(_, it)| *it)?;
        (until > now).then(|| (subject, until.since(now)))
    }

    /// Returns whether a request has crashed so many endpoints that it must not be repeated at
    /// another one, although that does not suffice to refuse it.
    pub fn may_repeat(&self, request: Subject) -> bool {
        self.suspects.get(&request.hash).is_none_or(|it| it.crash_count() < MIN_REPEATED_CRASHES)
    }

    /// Returns what peers have to be told: all quarantined subjects and news of others; if there are too
    /// many, those with the most crashes.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let is_told = |it: &Suspect| it.is_quarantined(now) || it.has_news(now);
        let told = self.suspects.iter().filter(|(_, it)| is_told(it));
        let mut told: Vec<(&NameHash, &Suspect)> = told.collect();
        if told.len() > MAX_REPORTS {
            told.sort_by_cached_key(|(_, it)| Reverse(it.weight(now)));
            told.truncate(MAX_REPORTS);
        }
        told.into_iter().map(|(hash, it)| it.report(*hash)).collect()
    }

    /// Returns the number of suspected or quarantined subjects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no subject is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn suspect(&mut self, subject: Subject) -> &mut Suspect {
        let suspect = self.suspects.entry(subject.hash).or_default();
        suspect.depth = suspect.depth.max(subject.depth);
        suspect
    }

    fn is_quarantined(&self, now: Instant, hash: NameHash) -> bool {
        self.suspects.get(&hash).is_some_and(|it| it.is_quarantined(now))
    }

    /// Returns the subject with the most crashes of those whose suspicion has been confirmed, with
    /// the time for which it has to be quarantined. Of several parts, this is the one furthest behind
    /// in prompts; requests that cannot be told apart are returned together.
    fn next_confirmed(&self, now: Instant) -> Option<Vec<(NameHash, Duration)>> {
        let confirmed_time = |(hash, it): (&NameHash, &Suspect)| {
            let time = it.quarantine_time(now, self.last_success)?;
            let is_decided = it.is_rival_time_over(now) || !self.has_rival(now, *hash, it);
            is_decided.then_some(((it.crash_count(), it.depth), (*hash, time)))
        };
        let confirmed: Vec<_> = self.suspects.iter().filter_map(confirmed_time).collect();
        let first = confirmed.iter().map(|(rank, _)| *rank).max()?;
        let tied = confirmed.into_iter().filter(|(rank, _)| *rank == first).map(|(_, it)| it);
        let count = if first.1 == WHOLE_REQUEST { usize::MAX } else { 1 };
        Some(tied.take(count).collect())
    }

    /// Returns whether another request has as many crashes, at the same endpoints.
    fn has_rival(&self, now: Instant, hash: NameHash, suspect: &Suspect) -> bool {
        let crash_count = suspect.crash_count();
        let is_rival = |it: &Suspect| {
            it.depth == suspect.depth
                && !it.is_quarantined(now)
                && it.crash_count() >= crash_count
                && it.engines().any(|engine| suspect.has_crashed(engine))
        };
        let is_request = suspect.depth == WHOLE_REQUEST;
        is_request && self.suspects.iter().any(|(other, it)| *other != hash && is_rival(it))
    }

    /// Returns whether a quarantined subject explains that a run with a subject has crashed an
    /// endpoint.
    fn is_explained(&self, crash: Crash, subject: Subject) -> bool {
        let mut quarantined = self.suspects.values().filter(|it| it.is_quarantined(crash.at));
        quarantined.any(|it| subject.is_explained_by(it.depth) && it.has_crashed(crash.engine))
    }

    /// Drops crashes that quarantined subjects explain from the suspects that are not quarantined.
    fn drop_explained(&mut self, now: Instant) {
        let quarantined = self.suspects.values().filter(|it| it.is_quarantined(now));
        let explained: Vec<(u32, NameHash)> =
            quarantined.flat_map(|it| it.engines().map(|engine| (it.depth, engine))).collect();
        for (hash, suspect) in self.suspects.iter_mut().filter(|(_, it)| !it.is_quarantined(now)) {
            let subject = Subject { hash: *hash, depth: suspect.depth };
            let explaining = explained.iter().filter(|(depth, _)| subject.is_explained_by(*depth));
            let engines: Vec<NameHash> = explaining.map(|(_, engine)| *engine).collect();
            suspect.drop_crashes(&engines);
        }
    }

    /// Removes the suspects with the fewest and oldest crashes if there are too many.
    fn limit(&mut self, now: Instant) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        self.suspects.sort_by_cached_key(|_, it| Reverse(it.weight(now)));
        self.suspects.truncate(MAX_SUSPECTS);
    }
}
