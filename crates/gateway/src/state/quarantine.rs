//! Quarantine of requests and prompt parts: what runs show of them, and what requests with them get.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::{Failure, Kind};
use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::{Heartbeat, Suspect as SentSuspect};

use crate::{
    Effect, Instant,
    directory::Endpoint,
    name_hash::NameHash,
    quarantine::{Change, Crash, Report, Subject, WHOLE_REQUEST},
    record::{self, Record},
    request,
};

use super::{
    State,
    job::{Job, OpenCall, Phase},
};

/// Time after the beginning of an answer from which its end does not count as a crash caused by the
/// request.
const MIN_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Time within which the entry of an endpoint has to show that it has started again.
const MAX_PROOF_TIME: Duration = Duration::from_secs(30);
/// Maximum number of crashes that entries have not shown yet.
const MAX_UNPROVEN: usize = 256;

/// A crash that the entry of the endpoint has not shown yet.
#[value]
pub(super) struct Unproven {
    subject: Subject,
    group: Option<NameHash>,
    endpoint: Arc<Endpoint>,
    crash: Crash,
}

impl State {
    /// Records that a run has ended with a complete answer.
    ///
    /// An answer that ends with its connection is complete in the eyes of the caller, but does not
    /// show that the endpoint went on.
    pub(super) fn record_run_success(&mut self, now: Instant, id: request::Id, framed: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        if framed || job.has_answered_for(now, MIN_ANSWER_TIME) {
            self.record_success(now, &job.subjects.clone());
            self.record_group_success(now, id);
        }
    }

    fn record_success(&mut self, now: Instant, subjects: &[Subject]) {
        for subject in self.fleet.quarantine.record_success(now, subjects) {
            let line = match subject.depth {
                WHOLE_REQUEST => Record::new(record::REQUEST_FREED)
                    .with("request_hash", subject.hash.to_string()),
                _ => Record::new(record::PART_FREED).with("part_hash", subject.hash.to_string()),
            };
            self.log(line);
            self.announce();
            self.emit(Effect::Quarantine(Change::Ended(subject.hash)));
        }
    }

    /// Records that an endpoint has broken off a run; `ended` is whether the endpoint has ended with it.
    ///
    /// A connection that breaks before the answer has begun shows nothing of the prompt's parts, and
    /// one of an endpoint that lives on shows nothing of the request.
    pub(super) fn record_run_break(
        &mut self,
        now: Instant,
        id: request::Id,
        run: &OpenCall,
        ended: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let has_answered = job.has_answered_for(now, MIN_ANSWER_TIME);
        let has_begun = job.answering_since.take().is_some();
        let subjects = job.subjects.clone();
        let (group, request) = (job.group, job.request_subject().hash);
        job.has_crashed |= ended;
        let is_suspect = |it: &Subject| if it.depth == WHOLE_REQUEST { ended } else { has_begun };
        match has_answered {
            true => self.record_success(now, &subjects),
            false => {
                let suspects: Vec<Subject> = subjects.into_iter().filter(is_suspect).collect();
                self.record_crash(now, run, &suspects);
                if ended {
                    self.record_group_crash(now, group, request, crash_of(now, run));
                }
            }
        }
    }

    /// Records that an engine has ended while it computed the prompt of a request.
    pub(super) fn record_prefill_break(
        &mut self,
        now: Instant,
        id: request::Id,
        prefill: &OpenCall,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.record_crash(now, prefill, &[job.request_subject()]);
    }

    /// Notes that an endpoint may have ended with a run or a prefill. That counts as a crash if its
    /// entry shows a later start.
    ///
    /// Calls that began after an earlier break of the same start show nothing: it may have ended then.
    pub(super) fn suspect_crash(&mut self, now: Instant, id: request::Id, call: &OpenCall) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (subject, group) = (job.request_subject(), job.group);
        let is_same = |it: &Unproven| {
            it.endpoint.id == call.endpoint.id
                && it.endpoint.started_at_ms == call.endpoint.started_at_ms
        };
        let mut known = self.fleet.unproven.iter().filter(|it| is_same(it));
        if known.any(|it| it.crash.at <= call.started) {
            return;
        }
        let (endpoint, crash) = (call.endpoint.clone(), crash_of(now, call));
        self.fleet.unproven.truncate(MAX_UNPROVEN - 1);
        self.fleet.unproven.insert(0, Unproven { subject, group, endpoint, crash });
        self.confirm_crashes(now);
    }

    /// Records the crashes that the entries now show, and forgets those that they have not shown for
    /// long.
    pub(super) fn confirm_crashes(&mut self, now: Instant) {
        let listed = self.listed.clone();
        let has_restarted = |it: &Unproven| {
            let entry = listed.get(&it.endpoint.id);
            entry.is_some_and(|entry| entry.started_at_ms > it.endpoint.started_at_ms)
        };
        let all = std::mem::take(&mut self.fleet.unproven);
        let (shown, unproven): (Vec<_>, Vec<_>) = all.into_iter().partition(has_restarted);
        let is_recent = |it: &Unproven| now.since(it.crash.at) < MAX_PROOF_TIME;
        self.fleet.unproven = unproven.into_iter().filter(is_recent).collect();
        for Unproven { subject, group, endpoint, crash } in shown {
            let line = Record::new(record::CRASH_SHOWN)
                .with("endpoint", &*endpoint.id)
                .with("request_hash", subject.hash.to_string())
                .with("age_ms", now.since(crash.at).as_millis() as u64);
            self.log(line);
            self.fleet.quarantine.record_crash(now, &[subject], crash);
            self.record_group_crash(now, group, subject.hash, crash);
            self.announce();
        }
    }

    /// Returns whether the answer to a request has gone on for so long that its end is not a crash
    /// caused by the request.
    pub(super) fn has_answered(&self, now: Instant, id: request::Id) -> bool {
        self.jobs.get(&id).is_some_and(|it| it.has_answered_for(now, MIN_ANSWER_TIME))
    }

    fn record_crash(&mut self, now: Instant, call: &OpenCall, suspects: &[Subject]) {
        if suspects.is_empty() {
            return;
        }
        self.fleet.quarantine.record_crash(now, suspects, crash_of(now, call));
        self.announce();
    }

    /// Refuses a request if it, or a part of its prompt, is quarantined.
    pub(super) fn check_quarantine(
        &self,
        now: Instant,
        subjects: &[Subject],
    ) -> Result<(), (Failure, &'static str)> {
        match self.fleet.quarantine.find(now, subjects) {
            Some(found) => Err(refusal(found)),
            None => Ok(()),
        }
    }

    /// Returns whether a request, or a part of its prompt, is quarantined, so that it must not be
    /// sent.
    pub(super) fn is_quarantined(&self, now: Instant, id: request::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        self.fleet.quarantine.find(now, &job.subjects).is_some()
            || self.check_group(now, job.group).is_err()
    }

    /// Returns whether a request, or its group if it has crashed an endpoint itself, has crashed so
    /// many endpoints that it must not be repeated.
    pub(super) fn is_too_suspect(&self, id: request::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let group = job.group.filter(|_| job.has_crashed);
        !self.fleet.quarantine.may_repeat(job.request_subject())
            || group.is_some_and(|it| !self.fleet.groups.may_repeat(it))
    }

    /// Handles what a peer suspects.
    pub(super) fn handle_suspects(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let reports = heartbeat.suspects.iter().map(|it| Report::received(now, it));
        self.record_suspects(now, reports, &heartbeat.name);
    }

    /// Records suspects that a peer or the platform's store, by its name in the log, tells of.
    pub(super) fn record_suspects(
        &mut self,
        now: Instant,
        reports: impl Iterator<Item = Report>,
        source: &str,
    ) {
        for subject in self.fleet.quarantine.record_reports(now, reports) {
            self.log_quarantine(subject, Some(source));
        }
    }

    /// Returns the suspects as they are sent to peers.
    pub(super) fn sent_suspects(&self, now: Instant) -> Vec<SentSuspect> {
        self.fleet.quarantine.reports(now).iter().map(|it| it.to_send(now)).collect()
    }

    /// Quarantines the subjects whose suspicion has been confirmed, and refuses the requests with a
    /// quarantined one that have not been sent yet.
    pub(super) fn update_quarantine(&mut self, now: Instant) {
        for report in self.fleet.quarantine.update(now) {
            self.log_quarantine(report.subject, None);
            self.announce();
            self.emit(Effect::Quarantine(Change::Begun(report)));
        }
        if self.fleet.quarantine.is_empty() {
            return;
        }
        let unsent = self.jobs.values().filter(|it| it.is_unsent());
        let find = |it: &Job| self.fleet.quarantine.find(now, &it.subjects);
        let refused: Vec<_> = unsent.filter_map(|it| Some((it.id, find(it)?))).collect();
        for (id, found) in refused {
            let (failure, reason) = refusal(found);
            self.fail(now, id, failure, reason);
        }
    }

    fn log_quarantine(&mut self, subject: Subject, source: Option<&str>) {
        let hash = subject.hash.to_string();
        let line = match subject.depth {
            WHOLE_REQUEST => Record::new(record::REQUEST_QUARANTINED).with("request_hash", hash),
            _ => Record::new(record::PART_QUARANTINED).with("part_hash", hash),
        };
        self.log(line.with("source", source));
    }
}

impl Job {
    /// Returns the request as a whole, as it may be quarantined.
    pub(super) fn request_subject(&self) -> Subject {
        self.subjects[0]
    }

    /// Returns whether the request waits, or is being prepared, for an endpoint to run it.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self.phase, Phase::Locating | Phase::Queued | Phase::Holding | Phase::Prefilling)
    }

    fn has_answered_for(&self, now: Instant, time: Duration) -> bool {
        self.answering_since.is_some_and(|it| now.since(it) >= time)
    }
}

/// Returns how a request fails, and why, for as long as one of its subjects is quarantined.
fn refusal((subject, remaining): (Subject, Duration)) -> (Failure, &'static str) {
    let reason = match subject.depth {
        WHOLE_REQUEST => "request quarantined",
        _ => "part quarantined",
    };
    (Failure::not_run(Kind::Quarantined).with_retry_after(remaining), reason)
}

/// Returns the crash of an endpoint with which a call has just broken off.
fn crash_of(now: Instant, call: &OpenCall) -> Crash {
    Crash { engine: engine_hash(&call.endpoint), began_at: call.started, at: now }
}

/// Returns a hash of an endpoint's name and start.
fn engine_hash(endpoint: &Endpoint) -> NameHash {
    let started_at_ms = endpoint.started_at_ms.unwrap_or_default();
    NameHash::of(&format!("{}/{started_at_ms}", endpoint.id))
}
