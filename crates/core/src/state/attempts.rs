//! Attempts: from placement through the steps at endpoints to the answer.

use std::sync::Arc;

use crate::{
    Effect, Instant, burn,
    claim::Outcome as ClaimOutcome,
    error::Ran,
    object::Endpoint,
    request::{Id, Outcome, Phase, Placement, Report, Step},
    retry::Budget,
};

use super::{Fault, State};

impl State {
    /// Starts an attempt at the endpoints chosen by the dispatcher.
    pub(super) fn start_attempt(&mut self, now: Instant, id: Id, placement: Placement) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.release(now, id);
        };
        request.attempt += 1;
        request.step_retries = 0;
        request.kv = None;
        let text = format!(
            "attempt {} placed at {} {}",
            request.attempt,
            placement.prefill.as_ref().map_or("", |it| &it.name),
            placement.run.name,
        );
        request.placement = Some(placement.clone());
        let (is_first, pool) = (request.attempt == 1, request.route.pool.clone());
        if is_first {
            self.budgets.entry(pool).or_insert_with(|| Budget::new(now)).deposit();
        }
        self.trace.note(now, id, text);
        match placement.prefill {
            Some(_) => self.acquire_hold(now, id),
            None => self.call(now, id, Phase::Forward, placement.run, Step::Forward),
        }
    }

    /// Starts the first step of an attempt that no longer waits for its hold: the prefill, or the
    /// transfer if an earlier prefill result is reused.
    pub(super) fn start_steps(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        match &request.placement {
            Some(Placement { prefill: Some(prefill), .. }) if request.kv.is_none() => {
                let prefill = prefill.clone();
                self.call(now, id, Phase::Prefill, prefill, Step::Prefill);
            }
            _ => self.start_import(now, id),
        }
    }

    fn call(&mut self, now: Instant, id: Id, phase: Phase, endpoint: Arc<Endpoint>, step: Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.enter(now, phase);
        let (attempt, keep_answer) = (request.attempt, request.claim_version.is_some());
        self.emit(Effect::Call { request: id, attempt, endpoint, step, keep_answer });
    }

    /// Handles a report on a step; reports of earlier attempts are ignored.
    pub(super) fn handle_report(&mut self, now: Instant, report: Report) {
        let Report { request: id, attempt, outcome } = report;
        let accept_old = self.has_fault(Fault::AcceptOldAttempt);
        if self.requests.get(&id).is_none_or(|it| it.attempt != attempt && !accept_old) {
            return;
        }
        self.observe(now, id, &outcome);
        self.record_run_end(now, id, &outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.sent |= !matches!(outcome, Outcome::Failed { sent: false, .. });
        match (request.phase.clone(), outcome) {
            (Phase::Prefill, Outcome::Computed { kv, cached }) => {
                request.kv = Some(kv);
                request.prefilled_at = now;
                self.trace.note(now, id, format!("prefill done, {cached} tokens were cached"));
                self.start_import(now, id);
            }
            (Phase::Import, Outcome::Imported) => self.start_decode(now, id),
            (Phase::Decode | Phase::Forward, Outcome::FirstByte) => {
                request.first_byte.get_or_insert(now);
            }
            (Phase::Decode | Phase::Forward, Outcome::Completed { tokens, answer }) => {
                let recorded = answer.map_or(ClaimOutcome::Unknown, ClaimOutcome::Answered);
                self.finish(now, id, tokens, recorded);
            }
            (_, Outcome::Refused { status }) if request.is_running() => {
                self.step_refused(now, id, status);
            }
            (_, Outcome::Failed { sent, next_index, .. }) if request.is_running() => {
                if next_index > request.next_index {
                    request.next_index = next_index;
                    request.step_retries = 0;
                }
                self.step_failed(now, id, sent);
            }
            _ => {}
        }
    }

    /// Starts the transfer of the KV cache, to another decode endpoint if the chosen one is
    /// leaving.
    pub(super) fn start_import(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(Placement { prefill: Some(prefill), run }) = request.placement.clone() else {
            return;
        };
        if self.is_leaving(&run) {
            return self.reuse_prefill(now, id, true);
        }
        let kv = request.kv.clone().unwrap_or_default();
        let step = Step::Import { kv, from: prefill.address.clone() };
        self.call(now, id, Phase::Import, run, step);
    }

    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let mut endpoints = self.config.pools().flat_map(|pool| &pool.endpoints);
        let leaving = endpoints.any(|it| it.name == endpoint.name && it.leaving);
        leaving && !self.has_fault(Fault::UseLeaving)
    }

    /// Starts streaming tokens from the next one to be sent to the caller.
    pub(super) fn start_decode(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(placement) = request.placement.clone() else { return };
        let step = Step::Decode { from_index: request.next_index };
        self.call(now, id, Phase::Decode, placement.run, step);
    }

    fn finish(&mut self, now: Instant, id: Id, tokens: u64, recorded: ClaimOutcome) {
        self.record_outcome(id, recorded);
        let Some(request) = self.requests.get(&id) else { return };
        let used = request.arrival.prompt_tokens + tokens;
        let unused = match request.placement {
            Some(Placement { prefill: Some(_), .. }) => request.charged.saturating_sub(used),
            _ => 0,
        };
        self.refund(now, id, unused);
        self.count_answered(now, id, tokens);
        self.trace.note(now, id, format!("answered, {tokens} tokens"));
        self.release_hold(id);
        if self.has_fault(Fault::AnswerTwice) {
            return self.emit(Effect::Finish { request: id });
        }
        self.release(now, id);
        self.requests.swap_remove(&id);
        self.emit(Effect::Finish { request: id });
    }

    /// Counts an answered request as good or bad according to the targets of its route.
    fn count_answered(&mut self, now: Instant, id: Id, tokens: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let route = request.route.clone();
        let team = request.team.clone().unwrap_or_else(|| "none".into());
        let first_byte = request.first_byte.unwrap_or(now);
        let first_ms = first_byte.since(request.arrived).as_millis() as u64;
        let between_ms = now.since(first_byte).as_millis() as u64 / tokens.max(1);
        let slowest = request.slowest_cause(first_byte);
        self.burn.record_latency(now, &route.service, first_ms, between_ms);
        match () {
            () if first_ms > route.first_token_ms => {
                self.burn.record_bad(now, &route.service, &team, slowest);
            }
            () if between_ms > route.between_tokens_ms => {
                self.burn.record_bad(now, &route.service, &team, burn::Cause::Decode);
            }
            () => self.burn.record_good(now, &route.service, &team),
        }
    }

    pub(super) fn count_bad(&mut self, now: Instant, id: Id, cause: burn::Cause) {
        let Some(route) = self.route_of(id) else { return };
        let team = self.requests.get(&id).and_then(|it| it.team.clone());
        let team = team.unwrap_or_else(|| "none".into());
        self.burn.record_bad(now, &route.service, &team, cause);
    }

    /// Ends a request whose caller has disconnected.
    pub(super) fn caller_disconnected(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let (sent, charged) = (request.sent || request.is_running(), request.charged);
        self.trace.note(now, id, "the caller disconnected");
        self.withdraw(id);
        if !sent {
            self.refund(now, id, charged);
        }
        self.record_failure(id, if sent { Ran::Unknown } else { Ran::No });
        self.end_attempt(now, id);
        self.requests.swap_remove(&id);
    }
}
