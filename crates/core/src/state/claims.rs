//! Claims of non-idempotent requests: created before execution, completed with the outcome.
//!
//! Pending writes outlive their request. The write of an outcome is repeated until the platform
//! has confirmed it. A claim whose creation may or may not have taken effect is marked as not
//! executed; otherwise the caller's next retry would find the claim of a request in progress.

use std::time::Duration;

use siskinstile_macros::value;

use crate::{
    Effect, Instant,
    claim::{self, Claim, Outcome, Runner, Verdict},
    error::{Failure, Kind, Ran},
    hold::UNLISTED_FAILURE_TIMEOUT,
    object::Name,
    request::{Id, Phase, Request},
    store::{Answer, Call, Object, Tag},
};

use super::{Fault, State};

/// Maximum number of attempts to create a claim before its request is refused.
const MAX_WRITES: u32 = 3;
/// Delay before the write of an outcome is repeated after a lost answer.
const OUTCOME_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of outcomes rewritten in one tick, which prevents a burst of writes after an
/// outage.
const OUTCOME_BATCH: usize = 10;
/// Maximum time for which a request waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// An outcome whose write the platform has not confirmed.
#[value]
pub(super) struct PendingOutcome {
    name: Name,
    digest: u64,
    outcome: Outcome,
    /// Version of the claim, 0 if it may not exist.
    version: u64,
    /// When the write is repeated; none while a call is in progress.
    retry_at: Option<Instant>,
}

impl State {
    /// Returns whether a request must be claimed before execution.
    pub(super) fn needs_claim(&self, request: &Request) -> bool {
        let claimable = !request.route.idempotent && request.arrival.idempotency_key.is_some();
        claimable && !self.has_fault(Fault::SkipClaim)
    }

    /// Starts the creation of a request's claim.
    pub(super) fn create_claim(&mut self, now: Instant, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.enter(now, Phase::Claiming);
        }
        self.write_claim(id, 0);
    }

    fn runner(&self) -> Runner {
        Runner { instance: self.settings.name.clone(), incarnation: self.settings.incarnation }
    }

    fn claim_name(&self, id: Id) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let team = request.team.as_deref().unwrap_or_default();
        Some(claim::name(team, request.arrival.idempotency_key.as_deref()?))
    }

    fn write_claim(&mut self, id: Id, version: u64) {
        let runner = self.runner();
        let Some(name) = self.claim_name(id) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.claim_writes += 1;
        let value = claim::value(id, request.arrival.digest, &runner, None);
        let call = Call::Put { kind: claim::KIND.into(), name, value, if_version: Some(version) };
        self.emit(Effect::Store { tag: Tag::Claim(id), call });
    }

    /// Handles the platform's answer to the write of a claim.
    pub(super) fn claim_written(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match answer {
            _ if request.phase != Phase::Claiming => {}
            Answer::Written { version } => {
                request.claim_version = Some(version);
                self.trace.note(now, id, "claimed on the platform");
                self.enqueue(now, id);
            }
            Answer::Conflict | Answer::Lost => self.read_claim(id),
            _ => self.fail_with_refund(now, id, Failure::not_run(Kind::PlatformUnavailable)),
        }
    }

    fn read_claim(&mut self, id: Id) {
        let Some(name) = self.claim_name(id) else { return };
        let call = Call::Get { kind: claim::KIND.into(), name };
        self.emit(Effect::Store { tag: Tag::ReadClaim(id), call });
    }

    /// Handles the platform's answer to the read of a claim.
    pub(super) fn claim_read(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_rewrite = request.claim_writes < MAX_WRITES;
        match answer {
            _ if request.phase != Phase::Claiming => {}
            Answer::Object(object) => self.evaluate_claim(now, id, object),
            Answer::Missing if may_rewrite => self.write_claim(id, 0),
            _ => self.fail_with_refund(now, id, Failure::not_run(Kind::PlatformUnavailable)),
        }
    }

    fn evaluate_claim(&mut self, now: Instant, id: Id, object: Object) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_rewrite = request.claim_writes < MAX_WRITES;
        let value = object.value.unwrap_or_default();
        match claim::evaluate(&request.arrival, &value, |claim| self.may_be_running(now, claim)) {
            Verdict::Own => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.claim_version = Some(object.version);
                }
                self.enqueue(now, id);
            }
            Verdict::TakeOver if may_rewrite => self.write_claim(id, object.version),
            Verdict::TakeOver => {
                self.fail_with_refund(now, id, Failure::not_run(Kind::PlatformUnavailable));
            }
            Verdict::Replay(answer) => {
                self.trace.note(
                    now,
                    id,
                    "answered with the recorded answer of the first execution",
                );
                self.refund(now, id, self.requests[&id].charged);
                self.requests.swap_remove(&id);
                self.emit(Effect::Replay { request: id, answer });
            }
            Verdict::Fail(failure) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.claim_writes = 0;
                }
                self.fail_with_refund(now, id, failure);
            }
        }
    }

    /// Returns whether the request of a claim may still be in progress at the claim's instance.
    fn may_be_running(&self, now: Instant, claim: &Claim) -> bool {
        let record = self.members.get(&claim.instance);
        let newest =
            record.map(|it| it.incarnation).max(self.holds.newest_incarnation(&claim.instance));
        let message_age = self.holds.time_since_message(now, &claim.instance);
        match () {
            () if claim.instance == self.settings.name => {
                let token = Id::parse(&claim.token).unwrap_or(Id(0));
                let same_incarnation = claim.incarnation == self.settings.incarnation;
                same_incarnation
                    && (self.requests.contains_key(&token)
                        || self.pending_outcomes.contains_key(&token))
            }
            () if newest.is_some_and(|it| it > claim.incarnation) => false,
            () => record.is_some() || message_age < UNLISTED_FAILURE_TIMEOUT,
        }
    }

    /// Records the outcome of a claimed request, and starts its write to the platform.
    pub(super) fn record_outcome(&mut self, id: Id, outcome: Outcome) {
        let Some(name) = self.claim_name(id) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let may_exist = request.claim_writes > 0;
        let version = match request.claim_version.take() {
            Some(version) => version,
            None if may_exist => 0,
            None => return,
        };
        request.claim_writes = 0;
        let digest = request.arrival.digest;
        if version == 0 && self.has_fault(Fault::AbandonClaim) {
            return;
        }
        self.pending_outcomes
            .insert(id, PendingOutcome { name, digest, outcome, version, retry_at: None });
        self.write_outcome(id);
    }

    /// Records the outcome of a claimed request that ended without an answer.
    pub(super) fn record_failure(&mut self, id: Id, ran: Ran) {
        match ran {
            Ran::No => self.record_outcome(id, Outcome::NotRun),
            Ran::Yes | Ran::Unknown => self.record_outcome(id, Outcome::Unknown),
        }
    }

    fn write_outcome(&mut self, id: Id) {
        let runner = self.runner();
        let Some(pending) = self.pending_outcomes.get_mut(&id) else { return };
        pending.retry_at = None;
        let PendingOutcome { name, digest, outcome, version, .. } = pending.clone();
        let value = claim::value(id, digest, &runner, Some(outcome));
        let call = Call::Put { kind: claim::KIND.into(), name, value, if_version: Some(version) };
        self.emit(Effect::Store { tag: Tag::RecordOutcome(id), call });
    }

    /// Handles the platform's answer to the write of an outcome, or the claim read after a
    /// conflict.
    pub(super) fn outcome_answered(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(pending) = self.pending_outcomes.get_mut(&id) else { return };
        match answer {
            Answer::Conflict => {
                let call = Call::Get { kind: claim::KIND.into(), name: pending.name.clone() };
                self.emit(Effect::Store { tag: Tag::RecordOutcome(id), call });
            }
            Answer::Missing if pending.version == 0 => pending.retry_at = Some(now),
            Answer::Object(object) if needs_outcome(id, pending, &object) => {
                pending.version = object.version;
                self.write_outcome(id);
            }
            Answer::Lost => pending.retry_at = Some(now + OUTCOME_RETRY_DELAY),
            _ => drop(self.pending_outcomes.swap_remove(&id)),
        }
    }

    /// Repeats writes of outcomes that are due, and refuses requests whose claim was not confirmed
    /// within [`CLAIM_TIMEOUT`].
    pub(super) fn claim_tick(&mut self, now: Instant) {
        let due =
            self.pending_outcomes.iter().filter(|(_, it)| it.retry_at.is_some_and(|at| at <= now));
        let due: Vec<Id> = due.map(|(id, _)| *id).take(OUTCOME_BATCH).collect();
        due.into_iter().for_each(|id| self.write_outcome(id));
        let timed_out =
            |it: &Request| it.phase == Phase::Claiming && now.since(it.phase_since) > CLAIM_TIMEOUT;
        let timed_out: Vec<Id> =
            self.requests.iter().filter(|(_, it)| timed_out(it)).map(|(id, _)| *id).collect();
        for id in timed_out {
            self.fail_with_refund(now, id, Failure::not_run(Kind::PlatformUnavailable));
        }
    }
}

/// Returns whether the outcome still has to be written to a claim that was read after a conflict.
///
/// A claim marked as not executed is written as well if this request's own write may be in flight
/// as a take-over: the new version makes that write fail.
fn needs_outcome(id: Id, pending: &PendingOutcome, object: &Object) -> bool {
    let claim = object.value.as_ref().and_then(claim::parse);
    claim.is_some_and(|it| match it.outcome {
        None => it.token == id.to_string(),
        Some(Outcome::NotRun) => pending.version == 0 && it.token != id.to_string(),
        Some(_) => false,
    })
}
