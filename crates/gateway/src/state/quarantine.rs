//! Quarantine of prompt parts: what runs show of them, and what requests with them get.

use std::time::Duration;

use siskinstile_core::error::{Failure, Kind};
use siskinstile_wire::message::heartbeat::{Crash as SentCrash, Heartbeat, Suspect as SentSuspect};

use crate::{
    Effect, Instant, Name,
    directory::Endpoint,
    name_hash::NameHash,
    quarantine::{Change, Crash, Report},
    record::{self, Record},
    request,
};

use super::{
    State,
    job::{Job, Phase},
};

/// Time after the beginning of an answer from which its end does not count as a crash caused by the
/// prompt.
const MIN_ANSWER_TIME: Duration = Duration::from_secs(1);

impl State {
    /// Records that a run has ended with a complete answer.
    ///
    /// An answer that ends with its connection is complete in the eyes of the caller, but does not
    /// show that the engine went on.
    pub(super) fn record_run_success(&mut self, now: Instant, id: request::Id, framed: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        let parts = job.hashed_parts();
        if !parts.is_empty() && (framed || job.has_answered_for(now, MIN_ANSWER_TIME)) {
            self.record_success(now, &parts);
        }
    }

    fn record_success(&mut self, now: Instant, parts: &[NameHash]) {
        for part in self.fleet.quarantine.record_success(now, parts) {
            self.log(Record::new(record::PART_FREED).with("part_hash", part_text(part)));
            self.announce();
            self.emit(Effect::Quarantine(Change::Ended(part)));
        }
    }

    /// Records that an endpoint has broken off a run.
    ///
    /// A connection that breaks before the answer has begun shows nothing of the prompt.
    pub(super) fn record_run_break(&mut self, now: Instant, id: request::Id, endpoint: &Endpoint) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let parts = job.hashed_parts();
        let has_answered = job.has_answered_for(now, MIN_ANSWER_TIME);
        match job.answering_since.take() {
            None => {}
            Some(_) if parts.is_empty() => {}
            Some(_) if has_answered => self.record_success(now, &parts),
            Some(_) => {
                self.fleet.quarantine.record_crash(now, &parts, engine_hash(endpoint));
                self.announce();
            }
        }
    }

    /// Refuses a request if a part of its prompt is quarantined.
    pub(super) fn check_quarantine(
        &self,
        now: Instant,
        shared_parts: &[Name],
    ) -> Result<(), (Failure, &'static str)> {
        match self.fleet.quarantine.remaining(now, &hashes(shared_parts)) {
            Some(remaining) => Err((quarantined(remaining), "part quarantined")),
            None => Ok(()),
        }
    }

    /// Returns whether a part of a request's prompt is quarantined, so that it must not be sent.
    pub(super) fn is_quarantined(&self, now: Instant, id: request::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        self.fleet.quarantine.remaining(now, &job.hashed_parts()).is_some()
    }

    /// Handles what a peer suspects.
    pub(super) fn handle_suspects(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let reports = heartbeat.suspects.iter().map(|it| received(now, it));
        self.record_suspects(now, reports, &heartbeat.name);
    }

    /// Records suspects that a peer or the platform's store, by its name in the log, tells of.
    pub(super) fn record_suspects(
        &mut self,
        now: Instant,
        reports: impl Iterator<Item = Report>,
        source: &str,
    ) {
        for part in self.fleet.quarantine.record_reports(now, reports) {
            self.log_quarantine(part, Some(source));
        }
    }

    /// Returns the suspects as they are sent to peers.
    pub(super) fn sent_suspects(&self, now: Instant) -> Vec<SentSuspect> {
        self.fleet.quarantine.reports(now).iter().map(|it| sent(now, it)).collect()
    }

    /// Quarantines the parts whose suspicion has been confirmed, and refuses the requests with a
    /// quarantined part that have not been sent yet.
    pub(super) fn update_quarantine(&mut self, now: Instant) {
        for report in self.fleet.quarantine.update(now) {
            self.log_quarantine(report.part, None);
            self.announce();
            self.emit(Effect::Quarantine(Change::Begun(report)));
        }
        if self.fleet.quarantine.is_empty() {
            return;
        }
        let unsent = self.jobs.values().filter(|it| it.is_unsent());
        let unsent: Vec<(request::Id, Vec<NameHash>)> =
            unsent.map(|it| (it.id, it.hashed_parts())).collect();
        for (id, parts) in unsent {
            if let Some(remaining) = self.fleet.quarantine.remaining(now, &parts) {
                self.fail(now, id, quarantined(remaining), "part quarantined");
            }
        }
    }

    fn log_quarantine(&mut self, part: NameHash, source: Option<&str>) {
        let line = Record::new(record::PART_QUARANTINED)
            .with("part_hash", part_text(part))
            .with("source", source);
        self.log(line);
    }
}

impl Job {
    fn hashed_parts(&self) -> Vec<NameHash> {
        hashes(&self.shared_parts)
    }

    /// Returns whether the request waits, or is being prepared, for an endpoint to run it.
    fn is_unsent(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Holding | Phase::Prefilling)
    }

    fn has_answered_for(&self, now: Instant, time: Duration) -> bool {
        self.answering_since.is_some_and(|it| now.since(it) >= time)
    }
}

/// Returns the hash of a part as log lines and the entries on the store show it.
fn part_text(part: NameHash) -> String {
    format!("{:016x}", part.0)
}

fn quarantined(remaining: Duration) -> Failure {
    Failure::not_run(Kind::Quarantined).with_retry_after(remaining)
}

fn hashes(parts: &[Name]) -> Vec<NameHash> {
    parts.iter().map(|it| NameHash::of(it)).collect()
}

/// Returns a hash of an endpoint's name and start.
fn engine_hash(endpoint: &Endpoint) -> NameHash {
    let started_at_ms = endpoint.started_at_ms.unwrap_or_default();
    NameHash::of(&format!("{}/{started_at_ms}", endpoint.id))
}

fn received(now: Instant, sent: &SentSuspect) -> Report {
    let at = |age_ms| now - Duration::from_millis(age_ms);
    let crash = |it: &SentCrash| Crash { engine: NameHash(it.engine), at: at(it.age_ms) };
    Report {
        part: NameHash(sent.part),
        depth: sent.depth,
        crashes: sent.crashes.iter().map(crash).collect(),
        cleared_at: sent.cleared_age_ms.map(at),
        quarantined_until: sent.quarantined_ms.map(|it| now + Duration::from_millis(it)),
    }
}

fn sent(now: Instant, report: &Report) -> SentSuspect {
    let age_ms = |at: Instant| now.since(at).as_millis() as u64;
    let crash = |it: &Crash| SentCrash { engine: it.engine.0, age_ms: age_ms(it.at) };
    let remaining = report.quarantined_until.filter(|it| *it > now);
    SentSuspect {
        part: report.part.0,
        depth: report.depth,
        crashes: report.crashes.iter().map(crash).collect(),
        cleared_age_ms: report.cleared_at.map(age_ms),
        quarantined_ms: remaining.map(|it| it.since(now).as_millis() as u64),
    }
}
