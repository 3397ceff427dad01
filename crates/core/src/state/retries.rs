//! What follows when a step fails: resumption, reuse of the prefill, another attempt, or an error.

use std::time::Duration;

use crate::{
    Effect, Instant, burn,
    error::{Failure, Kind, Ran},
    log,
    request::{Id, Phase, Placement, Request},
    retry::Budget,
};

use super::{Fault, State};

/// Most attempts for one request.
const MAX_ATTEMPTS: u32 = 6;
/// Most times that a transfer or a stream is tried again without a new token.
const MAX_STEP_RETRIES: u32 = 3;
/// Time for which an engine keeps a prefill result.
const RESULT_LIFE: Duration = Duration::from_millis(800);
/// Limit on waiting for endpoints; a route with targets refuses long before.
const QUEUE_LIMIT: Duration = Duration::from_secs(60);
/// Limit on a prefill, its wait at the engine included.
const PREFILL_LIMIT: Duration = Duration::from_secs(10);
/// Limit on a transfer.
const IMPORT_LIMIT: Duration = Duration::from_secs(2);
/// Limit on the first token after the decode call.
const FIRST_LIMIT: Duration = Duration::from_secs(5);
/// Limit on the first part of a plain answer.
const FORWARD_LIMIT: Duration = Duration::from_secs(12);
/// Limit on the rest of a plain answer.
const RELAY_LIMIT: Duration = Duration::from_secs(60);
/// Multiple of the target between tokens that a whole stream may take.
const STREAM_FACTOR: u64 = 10;
/// Time after which a caller is told to come back when the retry budget is used up.
const BUDGET_PAUSE: Duration = Duration::from_secs(1);

impl State {
    /// The endpoint has said that it did not run the step.
    pub(super) fn refused(&mut self, now: Instant, id: Id, status: u16) {
        self.trace.note(now, id, format!("endpoint refused with status {status}"));
        self.recover(now, id, true, true);
    }

    /// The call or the stream broke.
    pub(super) fn broken(&mut self, now: Instant, id: Id, sent: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.trace.note(now, id, format!("{:?} broke, sent: {sent}", request.phase));
        let again_here = request.retries < MAX_STEP_RETRIES;
        request.retries += 1;
        match request.phase {
            Phase::Decode if again_here => self.decode(now, id),
            _ => self.recover(now, id, sent, !again_here),
        }
    }

    /// Nothing more is to be expected of the attempt.
    pub(super) fn lost(&mut self, now: Instant, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.sent = true;
        }
        self.recover(now, id, true, true);
    }

    /// Goes on after a failed step; `elsewhere` asks for another decode endpoint.
    fn recover(&mut self, now: Instant, id: Id, sent: bool, elsewhere: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_repeat = request.route.idempotent || !sent || self.has_fault(Fault::RetrySent);
        let begun = request.phase == Phase::Forward && request.first_byte.is_some();
        match request.phase {
            _ if !may_repeat => self.end_unknown(now, id),
            _ if begun => self.fail_with_refund(now, id, Failure::not_run(Kind::EndpointFailed)),
            Phase::Import | Phase::Decode => self.reuse_prefill(now, id, elsewhere),
            _ => self.try_again(now, id),
        }
    }

    /// Transfers the prefill result again while it lives, else tries the whole request again.
    pub(super) fn reuse_prefill(&mut self, now: Instant, id: Id, elsewhere: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let lives = request.kv.is_some() && now.since(request.prefilled_at) < RESULT_LIFE;
        if !lives || request.attempt >= MAX_ATTEMPTS {
            return self.try_again(now, id);
        }
        let other = if elsewhere { self.move_decode(now, id) } else { None };
        if elsewhere && other.is_none() {
            return self.try_again(now, id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(placement) = &mut request.placement else { return };
        let (attempt, endpoint) = (request.attempt, placement.run.clone());
        if let Some(other) = other {
            request.excluded.push(endpoint.name.clone());
            placement.run = other;
        }
        let text = format!("the prefill result goes to {}", placement.run.name);
        self.effects.push(Effect::Cancel { request: id, attempt, endpoint });
        self.trace.note(now, id, text);
        self.drop_hold(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt += 1;
        }
        self.take_hold(now, id);
    }

    fn end_unknown(&mut self, now: Instant, id: Id) {
        self.count_bad(now, id, burn::Cause::Endpoint);
        self.trace.note(now, id, "it may have run and must not be tried again");
        self.fail(now, id, Failure::not_run(Kind::OutcomeUnknown).with_ran(Ran::Unknown));
    }

    /// Ends the attempt and queues the request for another one.
    fn try_again(&mut self, now: Instant, id: Id) {
        let mut where_it_broke = String::new();
        if let Some(request) = self.requests.get_mut(&id) {
            let failed = failed_endpoint(request);
            let endpoint = failed.as_deref().unwrap_or_default();
            where_it_broke = format!("{:?} at {endpoint}", request.phase);
            request.excluded.extend(failed);
        }
        self.end_attempt(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.enter(now, Phase::Queued);
        let spent = request.attempt >= MAX_ATTEMPTS;
        let pool = request.route.pool.clone();
        let budget = self.budgets.entry(pool).or_insert_with(|| Budget::new(now));
        if spent || !budget.take(now) {
            let failure = Failure::not_run(Kind::EndpointFailed).with_retry_after(BUDGET_PAUSE);
            return self.fail_with_refund(now, id, failure);
        }
        self.log(log::ATTEMPT_RETRIED, format!("{id} {where_it_broke}"));
        self.enqueue(now, id);
    }

    /// Cancels what the attempt holds on endpoints and frees its places.
    pub(super) fn end_attempt(&mut self, now: Instant, id: Id) {
        self.drop_hold(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempt;
        let Some(placement) = request.placement.take() else { return };
        for endpoint in placement.prefill.iter().chain([&placement.run]) {
            let endpoint = endpoint.clone();
            self.effects.push(Effect::Cancel { request: id, attempt, endpoint });
        }
        self.release(now, id);
    }

    /// Ends a request that has not run, or whose attempts have all failed, with an error.
    pub(super) fn fail_with_refund(&mut self, now: Instant, id: Id, failure: Failure) {
        let cause = match failure.kind {
            Kind::EndpointFailed => burn::Cause::Endpoint,
            Kind::QueueFull | Kind::NoEndpoint | Kind::TooLate => burn::Cause::Queue,
            _ => burn::Cause::Refusal,
        };
        self.count_bad(now, id, cause);
        self.trace.note(now, id, format!("failed: {}", failure.kind.as_str()));
        self.log(log::REQUEST_FAILED, format!("{id} {}", failure.kind.as_str()));
        let unsent = self.requests.get(&id).filter(|it| !it.sent).map(|it| it.charged);
        if let Some(charged) = unsent {
            self.refund(now, id, charged);
        }
        self.fail(now, id, failure);
    }

    /// Ends the steps that have passed their limit without a report.
    pub(super) fn attempt_tick(&mut self, now: Instant) {
        if self.has_fault(Fault::NoDeadline) {
            return;
        }
        let late: Vec<(Id, bool)> = self
            .requests
            .iter()
            .filter(|(_, it)| limit(it).is_some_and(|limit| now.since(it.phase_since) > limit))
            .map(|(id, it)| (*id, it.is_running()))
            .collect();
        for (id, running) in late {
            match running {
                true => {
                    self.trace.note(now, id, "the endpoint is silent");
                    self.lost(now, id);
                }
                false => {
                    self.withdraw(id);
                    self.fail_with_refund(now, id, Failure::not_run(Kind::TooLate));
                }
            }
        }
    }
}

/// Returns the name of the endpoint at which the current step was.
fn failed_endpoint(request: &Request) -> Option<crate::object::Name> {
    let Placement { prefill, run } = request.placement.as_ref()?;
    match (&request.phase, prefill) {
        (Phase::Prefill, Some(prefill)) => Some(prefill.name.clone()),
        _ => Some(run.name.clone()),
    }
}

/// Returns how long the current step may take; none where another part of the core sees to it.
fn limit(request: &Request) -> Option<Duration> {
    let begun = request.first_byte.is_some();
    let stream_ms =
        request.route.between_tokens_ms * STREAM_FACTOR * request.arrival.max_tokens.max(1);
    match request.phase {
        Phase::Prefill => Some(PREFILL_LIMIT),
        Phase::Import => Some(IMPORT_LIMIT),
        Phase::Decode if begun => Some(FIRST_LIMIT + Duration::from_millis(stream_ms)),
        Phase::Decode => Some(FIRST_LIMIT),
        Phase::Forward if begun => Some(RELAY_LIMIT),
        Phase::Forward => Some(FORWARD_LIMIT),
        Phase::Queued => Some(QUEUE_LIMIT),
        Phase::Admitting | Phase::Claiming | Phase::Holding => None,
    }
}
