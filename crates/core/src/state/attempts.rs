//! From the queue to the answer: placement, steps at endpoints, retries, the end.

use std::sync::Arc;

use crate::{
    Effect, Instant, burn,
    claim::Outcome as ClaimOutcome,
    error::{Failure, Kind, Ran},
    log,
    object::Endpoint,
    request::{Id, Outcome, Phase, Placement, Report, Step},
};

use super::State;

/// Most attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Most times that a transfer or a stream is tried again within one attempt.
const MAX_STEP_RETRIES: u32 = 3;

impl State {
    /// Starts an attempt at the endpoints that the dispatcher chose.
    pub(super) fn begin(&mut self, now: Instant, id: Id, placement: Placement) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.release(now, id);
        };
        request.attempt += 1;
        request.retries = 0;
        let text = format!(
            "attempt {} placed at {} {}",
            request.attempt,
            placement.prefill.as_ref().map_or("", |it| &it.name),
            placement.run.name,
        );
        request.placement = Some(placement.clone());
        self.trace.note(now, id, text);
        match placement.prefill {
            Some(prefill) => self.call(id, Phase::Prefill, prefill, Step::Prefill),
            None => self.call(id, Phase::Forward, placement.run, Step::Forward),
        }
    }

    fn call(&mut self, id: Id, phase: Phase, endpoint: Arc<Endpoint>, step: Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = phase;
        let (attempt, keep) = (request.attempt, request.claim.is_some());
        self.emit(Effect::Call { request: id, attempt, endpoint, step, keep });
    }

    /// Takes a report on a step; one of an older attempt changes nothing.
    pub(super) fn report(&mut self, now: Instant, report: Report) {
        let Report { request: id, attempt, outcome } = report;
        if self.requests.get(&id).is_none_or(|it| it.attempt != attempt) {
            return;
        }
        self.observe(now, id, &outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        match (request.phase.clone(), outcome) {
            (Phase::Prefill, Outcome::Computed { kv, cached }) => {
                request.kv = Some(kv);
                self.trace.note(now, id, format!("prefill done, {cached} tokens were cached"));
                self.import(id);
            }
            (Phase::Import, Outcome::Imported) => self.decode(id),
            (Phase::Decode | Phase::Forward, Outcome::First) => {
                request.first.get_or_insert(now);
            }
            (Phase::Decode | Phase::Forward, Outcome::Ended { tokens, answer }) => {
                let kept = answer.map_or(ClaimOutcome::Unknown, ClaimOutcome::Answered);
                self.finish(now, id, tokens, kept);
            }
            (_, Outcome::Refused { status }) => self.refused(now, id, status),
            (_, Outcome::Broken { sent, next_index }) => {
                request.next_index = request.next_index.max(next_index);
                self.broken(now, id, sent);
            }
            _ => {}
        }
    }

    fn import(&mut self, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(Placement { prefill: Some(prefill), run }) = request.placement.clone() else {
            return;
        };
        let kv = request.kv.clone().unwrap_or_default();
        let step = Step::Import { kv, from: prefill.address.clone() };
        self.call(id, Phase::Import, run, step);
    }

    fn decode(&mut self, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(placement) = request.placement.clone() else { return };
        let step = Step::Decode { from_index: request.next_index };
        self.call(id, Phase::Decode, placement.run, step);
    }

    /// The endpoint has said that it did not run the step.
    fn refused(&mut self, now: Instant, id: Id, status: u16) {
        self.trace.note(now, id, format!("endpoint refused with status {status}"));
        self.try_again(now, id);
    }

    fn broken(&mut self, now: Instant, id: Id, sent: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.trace.note(now, id, format!("{:?} broke, sent: {sent}", request.phase));
        let may_repeat = request.route.idempotent || !sent;
        let again_here = request.retries < MAX_STEP_RETRIES;
        request.retries += 1;
        match request.phase {
            _ if !may_repeat => self.end_unknown(now, id),
            Phase::Import if again_here => self.import(id),
            Phase::Decode if again_here => self.decode(id),
            _ => self.try_again(now, id),
        }
    }

    fn end_unknown(&mut self, now: Instant, id: Id) {
        self.end_attempt(now, id);
        self.count_bad(now, id, burn::Cause::Endpoint);
        self.fail_unknown(id);
    }

    /// Ends the attempt and queues the request for another one.
    fn try_again(&mut self, now: Instant, id: Id) {
        self.end_attempt(now, id);
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempt >= MAX_ATTEMPTS {
            let ran = if request.route.idempotent { Ran::Unknown } else { Ran::No };
            return self.give_up(now, id, Failure::not_run(Kind::EndpointFailed).with_ran(ran));
        }
        self.log(log::ATTEMPT_RETRIED, id.to_string());
        self.enqueue(now, id);
    }

    /// Cancels what the attempt holds on endpoints and frees its places.
    fn end_attempt(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempt;
        let Some(placement) = request.placement.take() else { return };
        for endpoint in placement.prefill.iter().chain([&placement.run]) {
            request.avoid.push(endpoint.name.clone());
            let endpoint = endpoint.clone();
            self.effects.push(Effect::Cancel { request: id, attempt, endpoint });
        }
        self.release(now, id);
    }

    /// Ends a request that has not run, or whose attempts have all failed, with an error.
    pub(super) fn give_up(&mut self, now: Instant, id: Id, failure: Failure) {
        let cause = match failure.kind {
            Kind::EndpointFailed => burn::Cause::Endpoint,
            Kind::QueueFull | Kind::NoEndpoint | Kind::TooLate => burn::Cause::Queue,
            _ => burn::Cause::Refusal,
        };
        self.count_bad(now, id, cause);
        self.trace.note(now, id, format!("failed: {}", failure.kind.as_str()));
        self.log(log::REQUEST_FAILED, format!("{id} {}", failure.kind.as_str()));
        if failure.ran == Ran::No {
            self.settle(id, ClaimOutcome::NotRun);
            if let Some(charged) = self.requests.get(&id).map(|it| it.charged) {
                self.refund(id, charged);
            }
        }
        self.fail(id, failure);
    }

    fn finish(&mut self, now: Instant, id: Id, tokens: u64, kept: ClaimOutcome) {
        self.settle(id, kept);
        let Some(request) = self.requests.get(&id) else { return };
        let used = request.arrival.prompt_tokens + tokens;
        let unused = match request.placement {
            Some(Placement { prefill: Some(_), .. }) => request.charged.saturating_sub(used),
            _ => 0,
        };
        self.refund(id, unused);
        self.count_end(now, id, tokens);
        self.trace.note(now, id, format!("answered, {tokens} tokens"));
        self.release(now, id);
        self.requests.swap_remove(&id);
        self.emit(Effect::Finish { request: id });
    }

    /// Counts an answered request as good or bad, by the targets of its route.
    fn count_end(&mut self, now: Instant, id: Id, tokens: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let route = request.route.clone();
        let team = request.team.clone().unwrap_or_else(|| "none".into());
        let first = request.first.unwrap_or(now);
        let first_ms = first.since(request.arrived).as_millis() as u64;
        let between_ms = now.since(first).as_millis() as u64 / tokens.max(1);
        match () {
            () if first_ms > route.first_token_ms => {
                self.burn.bad(now, &route.service, &team, burn::Cause::Queue);
            }
            () if between_ms > route.between_tokens_ms => {
                self.burn.bad(now, &route.service, &team, burn::Cause::Decode);
            }
            () => self.burn.good(now, &route.service, &team),
        }
    }

    fn count_bad(&mut self, now: Instant, id: Id, cause: burn::Cause) {
        let Some(route) = self.route_of(id) else { return };
        let team = self.requests.get(&id).and_then(|it| it.team.clone());
        let team = team.unwrap_or_else(|| "none".into());
        self.burn.bad(now, &route.service, &team, cause);
    }

    /// The caller has left: ends all that is done for it.
    pub(super) fn caller_gone(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let not_sent = matches!(request.phase, Phase::Admitting | Phase::Claiming | Phase::Queued);
        let charged = request.charged;
        self.trace.note(now, id, "the caller left");
        self.withdraw(id);
        match not_sent {
            true => {
                self.settle(id, ClaimOutcome::NotRun);
                self.refund(id, charged);
            }
            false => self.settle(id, ClaimOutcome::Unknown),
        }
        self.end_attempt(now, id);
        self.requests.swap_remove(&id);
    }
}
