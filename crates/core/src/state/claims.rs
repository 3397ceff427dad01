//! The claim of a non-idempotent request: made before it runs, settled when it has ended.

use crate::{
    Effect, Instant,
    claim::{self, Outcome, Verdict},
    error::{Failure, Kind, Ran},
    object::Name,
    request::{Id, Phase},
    store::{Answer, Call, Tag},
};

use super::State;

impl State {
    /// Creates the claim of a request.
    pub(super) fn claim(&mut self, id: Id) {
        self.write_claim(id, Some(0), None, Tag::Claim(id));
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Claiming;
        }
    }

    /// Records how a claimed request ended.
    pub(super) fn settle(&mut self, id: Id, outcome: Outcome) {
        if let Some(version) = self.requests.get(&id).and_then(|it| it.claim) {
            self.write_claim(id, Some(version), Some(outcome), Tag::Settle(id));
        }
    }

    fn claim_name(&self, id: Id) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let team = request.team.as_deref().unwrap_or_default();
        Some(claim::name(team, request.arrival.idempotency.as_deref()?))
    }

    fn write_claim(&mut self, id: Id, version: Option<u64>, outcome: Option<Outcome>, tag: Tag) {
        let Some(name) = self.claim_name(id) else { return };
        let Some(request) = self.requests.get(&id) else { return };
        let value = claim::value(&request.arrival, outcome);
        let call = Call::Put { kind: claim::KIND.into(), name, value, if_version: version };
        self.emit(Effect::Store { tag, call });
    }

    /// Takes the platform's answer on the creation of a claim.
    pub(super) fn claim_written(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match answer {
            _ if request.phase != Phase::Claiming => {}
            Answer::Written { version } => {
                request.claim = Some(version);
                self.trace.note(now, id, "claimed on the platform");
                self.enqueue(now, id);
            }
            Answer::Conflict | Answer::Lost => self.read_claim(id),
            _ => self.fail(id, Failure::not_run(Kind::PlatformUnavailable)),
        }
    }

    fn read_claim(&mut self, id: Id) {
        let Some(name) = self.claim_name(id) else { return };
        let call = Call::Get { kind: claim::KIND.into(), name };
        self.emit(Effect::Store { tag: Tag::ReadClaim(id), call });
    }

    /// Takes a claim as the platform holds it.
    pub(super) fn claim_read(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let object = match answer {
            _ if request.phase != Phase::Claiming => return,
            Answer::Object(object) => object,
            _ => return self.fail(id, Failure::not_run(Kind::PlatformUnavailable)),
        };
        let version = object.version;
        match claim::judge(&request.arrival, &object.value.unwrap_or_default()) {
            Verdict::Own => {
                request.claim = Some(version);
                self.enqueue(now, id);
            }
            Verdict::Free => self.write_claim(id, Some(version), None, Tag::Claim(id)),
            Verdict::Replay(answer) => {
                self.trace.note(now, id, "answered with the recorded answer of its first run");
                self.refund(now, id, self.requests[&id].charged);
                self.requests.swap_remove(&id);
                self.emit(Effect::Replay { request: id, answer });
            }
            Verdict::Fail(failure) => self.fail(id, failure),
        }
    }

    /// Ends a claimed request whose outcome cannot be known.
    pub(super) fn fail_unknown(&mut self, id: Id) {
        self.settle(id, Outcome::Unknown);
        self.fail(id, Failure::not_run(Kind::OutcomeUnknown).with_ran(Ran::Unknown));
    }
}
