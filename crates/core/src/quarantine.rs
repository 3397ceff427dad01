//! Quarantine of prompt parts that crash engines.
//!
//! A run whose answer breaks off soon after it has begun casts suspicion on the prompt's shared
//! parts: one of them may crash every engine that answers a prompt with it. A run that ends well, or
//! answers for a while, clears its parts. A part that is suspected of enough crashes one after the
//! other, while nothing clears it and other runs succeed, is quarantined for a while: requests with
//! it are refused.
//!
//! A crash also breaks the other answers of its engine. If several parts of a prompt are suspected
//! equally, the one further behind, which fewer prompts share, is quarantined; crashes that a
//! quarantined part explains then no longer count against others.
//!
//! Instances tell one another what they suspect, and pass on what they have heard, so that all of
//! them come to the same conclusion. Memory is bounded by the number of suspects.

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, name_hash::NameHash};

mod suspect;

pub use suspect::{Crash, Report};

use suspect::Suspect;

/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of suspects in a heartbeat.
const MAX_REPORTS: usize = 32;

/// A change that has to outlast this instance.
#[value(eq)]
pub enum Change {
    /// A part has been quarantined.
    Begun(Report),
    /// A part is no longer quarantined, before its time.
    Ended(NameHash),
}

/// The suspected and the quarantined parts, by hash.
#[value(default)]
pub struct Quarantine {
    suspects: IndexMap<NameHash, Suspect>,
    /// When a run last went well.
    last_success: Instant,
}

impl Quarantine {
    /// Records that an engine's answer to a prompt with these shared parts broke off soon after it
    /// had begun.
    ///
    /// `engine` stands for one start of the engine, which can crash only once.
    pub fn record_crash(&mut self, now: Instant, parts: &[NameHash], engine: NameHash) {
        let crash = Crash { engine, at: now };
        if self.is_explained(crash) && !parts.iter().any(|it| self.is_quarantined(now, *it)) {
            return;
        }
        for (part, depth) in parts.iter().zip(1..) {
            let is_explained = parts.iter().any(|it| it != part && self.is_quarantined(now, *it));
            if !is_explained {
                self.suspect(*part, depth).record_crash(now, crash);
            }
        }
        self.limit(now);
    }

    /// Records that a run of a prompt with these shared parts went well; returns the parts that were
    /// quarantined and are no longer.
    pub fn record_success(&mut self, now: Instant, parts: &[NameHash]) -> Vec<NameHash> {
        self.last_success = now;
        let mut freed = Vec::new();
        for (part, suspect) in &mut self.suspects {
            let was_quarantined = suspect.is_quarantined(now);
            match parts.contains(part) {
                true => suspect.record_success(now, now),
                false => suspect.record_other_success(now),
            }
            if was_quarantined && !suspect.is_quarantined(now) {
                freed.push(*part);
            }
        }
        freed
    }

    /// Records what a peer has told; returns the parts that are quarantined by it.
    pub fn record_reports(
        &mut self,
        now: Instant,
        reports: impl Iterator<Item = Report>,
    ) -> Vec<NameHash> {
        let mut new = Vec::new();
        for report in reports {
            let was_quarantined = self.is_quarantined(now, report.part);
            if let Some(cleared_at) = report.cleared_at {
                self.last_success = self.last_success.max(cleared_at);
                let others = self.suspects.iter_mut().filter(|(part, _)| **part != report.part);
                others.for_each(|(_, it)| it.record_other_success(cleared_at));
            }
            self.suspect(report.part, report.depth).record_report(now, &report);
            if !was_quarantined && self.is_quarantined(now, report.part) {
                new.push(report.part);
            }
        }
        self.drop_explained(now);
        self.limit(now);
        new
    }

    /// Quarantines the parts whose suspicion has been confirmed, and forgets what is over; returns
    /// the newly quarantined parts.
    pub fn update(&mut self, now: Instant) -> Vec<Report> {
        let mut new = Vec::new();
        while let Some((part, time)) = self.next_confirmed(now) {
            self.suspects[&part].quarantine(now, time);
            self.drop_explained(now);
            new.push(self.suspects[&part].report(part));
        }
        self.suspects.retain(|_, it| !it.is_over(now));
        new
    }

    /// Returns the remaining time for which a prompt with these parts must not be run; `None` if it
    /// may be.
    pub fn remaining(&self, now: Instant, parts: &[NameHash]) -> Option<Duration> {
        let ends = parts.iter().filter_map(|it| self.suspects.get(it)?.quarantined_until);
        ends.max().filter(|it| *it > now).map(|it| it.since(now))
    }

    /// Returns what peers have to be told: all quarantined parts and news of others; if there are too
    /// many, those with the most crashes.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let is_told = |it: &Suspect| it.is_quarantined(now) || it.has_news(now);
        let told = self.suspects.iter().filter(|(_, it)| is_told(it));
        let mut told: Vec<(&NameHash, &Suspect)> = told.collect();
        if told.len() > MAX_REPORTS {
            told.sort_by_cached_key(|(_, it)| Reverse(it.weight(now)));
            told.truncate(MAX_REPORTS);
        }
        told.into_iter().map(|(part, it)| it.report(*part)).collect()
    }

    /// Returns the number of suspected or quarantined parts.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn suspect(&mut self, part: NameHash, depth: u32) -> &mut Suspect {
        let suspect = self.suspects.entry(part).or_default();
        suspect.depth = suspect.depth.max(depth);
        suspect
    }

    fn is_quarantined(&self, now: Instant, part: NameHash) -> bool {
        self.suspects.get(&part).is_some_and(|it| it.is_quarantined(now))
    }

    /// Returns the part with the most crashes of those whose suspicion has been confirmed, with the
    /// time for which it has to be quarantined; of several, the one furthest behind in prompts.
    fn next_confirmed(&self, now: Instant) -> Option<(NameHash, Duration)> {
        let confirmed_time = |(part, it): (&NameHash, &Suspect)| {
            let time = it.quarantine_time(now, self.last_success)?;
            Some(((it.crash_count(), it.depth), (*part, time)))
        };
        let confirmed = self.suspects.iter().filter_map(confirmed_time);
        confirmed.max_by_key(|(rank, _)| *rank).map(|(_, confirmed)| confirmed)
    }

    /// Returns whether a quarantined part has crashed the engine.
    fn is_explained(&self, crash: Crash) -> bool {
        let mut quarantined = self.suspects.values().filter(|it| it.is_quarantined(crash.at));
        quarantined.any(|it| it.has_crashed(crash.engine))
    }

    /// Drops crashes that quarantined parts explain from the suspects that are not quarantined.
    fn drop_explained(&mut self, now: Instant) {
        let quarantined = self.suspects.values().filter(|it| it.is_quarantined(now));
        let explained: Vec<NameHash> = quarantined.flat_map(Suspect::engines).collect();
        let others = self.suspects.values_mut().filter(|it| !it.is_quarantined(now));
        others.for_each(|it| it.drop_crashes(&explained));
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
