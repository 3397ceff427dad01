//! The claim of a non-idempotent request: made before it runs, settled when it has ended.
//!
//! What has to be written about a claim outlives its request: an outcome is written again until the
//! platform has it, and a claim whose creation may or may not have taken effect is marked as not
//! run, so that the caller's next try is not stuck behind it.

use std::time::Duration;

use siskinstile_macros::value;

use crate::{
    Effect, Instant,
    claim::{self, Claim, Outcome, Runner, Verdict},
    error::{Failure, Kind, Ran},
    hold::UNLISTED_SILENCE,
    object::Name,
    request::{Id, Phase, Request},
    store::{Answer, Call, Object, Tag},
};

use super::{Fault, State};

/// Writes of a claim before its request is refused.
const MAX_WRITES: u32 = 3;
/// Time between two tries to write an outcome.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);
/// Outcomes written again at one tick, so that an outage does not end in a burst of writes.
const SETTLE_BATCH: usize = 10;
/// Limit on waiting for the platform.
const CLAIM_LIMIT: Duration = Duration::from_secs(10);

/// An outcome that the platform may not have yet.
#[value]
pub(super) struct Settling {
    name: Name,
    digest: u64,
    outcome: Outcome,
    /// Version of the claim, 0 if it may not exist.
    version: u64,
    /// When it is tried again; none while a call is under way.
    due: Option<Instant>,
}

impl State {
    /// Returns whether a request may run only with a claim.
    pub(super) fn needs_claim(&self, request: &Request) -> bool {
        let keyed = !request.route.idempotent && request.arrival.idempotency_key.is_some();
        keyed && !self.has_fault(Fault::SkipClaim)
    }

    /// Creates the claim of a request.
    pub(super) fn claim(&mut self, now: Instant, id: Id) {
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

    /// Takes the platform's answer on the creation of a claim.
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

    /// Takes a claim as the platform holds it.
    pub(super) fn claim_read(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(request) = self.requests.get(&id) else { return };
        let again = request.claim_writes < MAX_WRITES;
        match answer {
            _ if request.phase != Phase::Claiming => {}
            Answer::Object(object) => self.judge_claim(now, id, object),
            Answer::Missing if again => self.write_claim(id, 0),
            _ => self.fail_with_refund(now, id, Failure::not_run(Kind::PlatformUnavailable)),
        }
    }

    fn judge_claim(&mut self, now: Instant, id: Id, object: Object) {
        let Some(request) = self.requests.get(&id) else { return };
        let again = request.claim_writes < MAX_WRITES;
        let value = object.value.unwrap_or_default();
        match claim::judge(&request.arrival, &value, |claim| self.may_run(now, claim)) {
            Verdict::Own => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.claim_version = Some(object.version);
                }
                self.enqueue(now, id);
            }
            Verdict::Free if again => self.write_claim(id, object.version),
            Verdict::Free => {
                self.fail_with_refund(now, id, Failure::not_run(Kind::PlatformUnavailable));
            }
            Verdict::Replay(answer) => {
                self.trace.note(now, id, "answered with the recorded answer of its first run");
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

    /// Returns whether the runner of a claim may still be at work.
    fn may_run(&self, now: Instant, claim: &Claim) -> bool {
        let record = self.members.get(&claim.instance);
        let newest = record.map(|it| it.incarnation).max(self.holds.incarnation(&claim.instance));
        let silence = self.holds.silence(now, &claim.instance);
        match () {
            () if claim.instance == self.settings.name => {
                let token = Id::parse(&claim.token).unwrap_or(Id(0));
                let here = claim.incarnation == self.settings.incarnation;
                here && (self.requests.contains_key(&token) || self.settling.contains_key(&token))
            }
            () if newest.is_some_and(|it| it > claim.incarnation) => false,
            () => record.is_some() || silence < UNLISTED_SILENCE,
        }
    }

    /// Records how a claimed request ended.
    pub(super) fn record_outcome(&mut self, id: Id, outcome: Outcome) {
        let Some(name) = self.claim_name(id) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_doubt = request.claim_writes > 0;
        let version = match request.claim_version.take() {
            Some(version) => version,
            None if in_doubt => 0,
            None => return,
        };
        request.claim_writes = 0;
        let digest = request.arrival.digest;
        if version == 0 && self.has_fault(Fault::AbandonClaim) {
            return;
        }
        self.settling.insert(id, Settling { name, digest, outcome, version, due: None });
        self.write_outcome(id);
    }

    /// Records that a claimed request ended without an answer.
    pub(super) fn record_failure(&mut self, id: Id, ran: Ran) {
        match ran {
            Ran::No => self.record_outcome(id, Outcome::NotRun),
            Ran::Yes | Ran::Unknown => self.record_outcome(id, Outcome::Unknown),
        }
    }

    fn write_outcome(&mut self, id: Id) {
        let runner = self.runner();
        let Some(settling) = self.settling.get_mut(&id) else { return };
        settling.due = None;
        let Settling { name, digest, outcome, version, .. } = settling.clone();
        let value = claim::value(id, digest, &runner, Some(outcome));
        let call = Call::Put { kind: claim::KIND.into(), name, value, if_version: Some(version) };
        self.emit(Effect::Store { tag: Tag::RecordOutcome(id), call });
    }

    /// Takes the platform's answer on an outcome, or the claim read back to see what it holds.
    pub(super) fn settled(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(settling) = self.settling.get_mut(&id) else { return };
        match answer {
            Answer::Conflict => {
                let call = Call::Get { kind: claim::KIND.into(), name: settling.name.clone() };
                self.emit(Effect::Store { tag: Tag::RecordOutcome(id), call });
            }
            Answer::Missing if settling.version == 0 => settling.due = Some(now),
            Answer::Object(object) if must_settle(id, settling, &object) => {
                settling.version = object.version;
                self.write_outcome(id);
            }
            Answer::Lost => settling.due = Some(now + SETTLE_PAUSE),
            _ => drop(self.settling.swap_remove(&id)),
        }
    }

    /// Writes outcomes again, and refuses requests for which the platform is out of reach.
    pub(super) fn claim_tick(&mut self, now: Instant) {
        let due = self.settling.iter().filter(|(_, it)| it.due.is_some_and(|at| at <= now));
        let due: Vec<Id> = due.map(|(id, _)| *id).take(SETTLE_BATCH).collect();
        due.into_iter().for_each(|id| self.write_outcome(id));
        let stuck =
            |it: &Request| it.phase == Phase::Claiming && now.since(it.phase_since) > CLAIM_LIMIT;
        let stuck: Vec<Id> =
            self.requests.iter().filter(|(_, it)| stuck(it)).map(|(id, _)| *id).collect();
        for id in stuck {
            self.fail_with_refund(now, id, Failure::not_run(Kind::PlatformUnavailable));
        }
    }
}

/// Returns whether a claim read back still lacks the outcome.
///
/// A claim that is free is written as well: a new version stops a take-over that may yet arrive.
fn must_settle(id: Id, settling: &Settling, object: &Object) -> bool {
    let claim = object.value.as_ref().and_then(claim::read);
    claim.is_some_and(|it| match it.outcome {
        None => it.token == id.to_string(),
        Some(Outcome::NotRun) => settling.version == 0 && it.token != id.to_string(),
        Some(_) => false,
    })
}
