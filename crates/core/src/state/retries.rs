//! Recovery from failed steps: resuming a stream, reusing a prefill result, another attempt, or an
//! error to the caller.

use std::time::Duration;

use crate::{
    Effect, Instant, burn,
    error::{Failure, Kind, Ran},
    log,
    request::{Id, Phase, Placement, Request},
    retry::Budget,
};

use super::{Fault, State};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 6;
/// Maximum number of retries of a transfer or a stream without a new token.
const MAX_STEP_RETRIES: u32 = 3;
/// Time for which an engine keeps a prefill result.
const PREFILL_RESULT_TTL: Duration = Duration::from_millis(800);
/// Maximum time in the queue; a route with latency targets refuses requests long before.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of a prefill, including its queueing time at the engine.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a transfer.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit from the decode call to the first token.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of the first part of a plain answer.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time limit of a plain answer from its first part to its end.
const RELAY_TIMEOUT: Duration = Duration::from_secs(60);
/// Factor by which a stream may exceed its target duration, which is the target time between
/// tokens times the maximum number of tokens.
const STREAM_TIME_FACTOR: u64 = 10;
/// Retry-after time when attempts or retry budget are exhausted.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl State {
    /// Handles the refusal of a step by its endpoint.
    ///
    /// The step counts as sent, so a request that is not idempotent is not retried.
    pub(super) fn step_refused(&mut self, now: Instant, id: Id, status: u16) {
        self.trace.note(now, id, format!("endpoint refused with status {status}"));
        self.recover(now, id, true, true);
    }

    /// Handles a failed call or an interrupted stream.
    pub(super) fn step_failed(&mut self, now: Instant, id: Id, sent: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.trace.note(now, id, format!("{:?} failed, sent: {sent}", request.phase));
        let may_repeat_step = request.step_retries < MAX_STEP_RETRIES;
        request.step_retries += 1;
        match request.phase {
            Phase::Decode if may_repeat_step => self.start_decode(now, id),
            _ => self.recover(now, id, sent, !may_repeat_step),
        }
    }

    /// Fails an attempt from which no further reports are expected; its request counts as sent.
    pub(super) fn fail_attempt(&mut self, now: Instant, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.sent = true;
        }
        self.recover(now, id, true, true);
    }

    /// Recovers from a failed step.
    ///
    /// `sent` is whether the step may have reached the endpoint; `must_move` is whether the decode
    /// part has to move to another endpoint.
    fn recover(&mut self, now: Instant, id: Id, sent: bool, must_move: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_repeat = request.route.idempotent || !sent || self.has_fault(Fault::RetrySent);
        let started = request.phase == Phase::Forward && request.first_byte.is_some();
        match request.phase {
            _ if !may_repeat => self.fail_unknown(now, id),
            _ if started => self.fail_with_refund(now, id, Failure::not_run(Kind::EndpointFailed)),
            Phase::Import | Phase::Decode => self.reuse_prefill(now, id, must_move),
            _ => self.retry(now, id),
        }
    }

    /// Transfers the prefill result again if the engine still keeps it, otherwise retries the whole
    /// request.
    pub(super) fn reuse_prefill(&mut self, now: Instant, id: Id, must_move: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_retained =
            request.kv.is_some() && now.since(request.prefilled_at) < PREFILL_RESULT_TTL;
        if !is_retained || request.attempt >= MAX_ATTEMPTS {
            return self.retry(now, id);
        }
        let other = if must_move { self.move_decode(now, id) } else { None };
        if must_move && other.is_none() {
            return self.retry(now, id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(placement) = &mut request.placement else { return };
        let (attempt, endpoint) = (request.attempt, placement.run.clone());
        if let Some(other) = other {
            request.excluded.push(endpoint.name.clone());
            placement.run = other;
        }
        let text = format!("prefill result reused at {}", placement.run.name);
        self.effects.push(Effect::Cancel { request: id, attempt, endpoint });
        self.trace.note(now, id, text);
        self.release_hold(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt += 1;
        }
        self.acquire_hold(now, id);
    }

    fn fail_unknown(&mut self, now: Instant, id: Id) {
        self.count_bad(now, id, burn::Cause::Endpoint);
        self.trace.note(now, id, "may have been executed and must not be retried");
        self.fail(now, id, Failure::not_run(Kind::OutcomeUnknown).with_ran(Ran::Unknown));
    }

    /// Ends the attempt and queues the request for another one, or fails it if the attempts or the
    /// retry budget are exhausted.
    fn retry(&mut self, now: Instant, id: Id) {
        let mut failed_step = String::new();
        if let Some(request) = self.requests.get_mut(&id) {
            let failed = failed_endpoint(request);
            let endpoint = failed.as_deref().unwrap_or_default();
            failed_step = format!("{:?} at {endpoint}", request.phase);
            request.excluded.extend(failed);
        }
        self.end_attempt(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.enter(now, Phase::Queued);
        let exhausted = request.attempt >= MAX_ATTEMPTS;
        let pool = request.route.pool.clone();
        let budget = self.budgets.entry(pool).or_insert_with(|| Budget::new(now));
        let may_repeat = self.quarantine.may_repeat(request.subject());
        if exhausted || !may_repeat || !budget.try_withdraw(now) {
            let failure = Failure::not_run(Kind::EndpointFailed).with_retry_after(RETRY_AFTER);
            return self.fail_with_refund(now, id, failure);
        }
        self.log(log::ATTEMPT_RETRIED, format!("{id} {failed_step}"));
        self.enqueue(now, id);
    }

    /// Cancels the work of the attempt at its endpoints and frees its slots.
    pub(super) fn end_attempt(&mut self, now: Instant, id: Id) {
        self.release_hold(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempt;
        let Some(placement) = request.placement.take() else { return };
        for endpoint in placement.prefill.iter().chain([&placement.run]) {
            let endpoint = endpoint.clone();
            self.effects.push(Effect::Cancel { request: id, attempt, endpoint });
        }
        self.release(now, id);
    }

    /// Fails a request that was not executed or whose attempts all failed, and refunds its tokens
    /// if nothing was sent.
    pub(super) fn fail_with_refund(&mut self, now: Instant, id: Id, failure: Failure) {
        let cause = match failure.kind {
            Kind::EndpointFailed => burn::Cause::Endpoint,
            Kind::QueueFull | Kind::NoEndpoint | Kind::TooLate => burn::Cause::Queue,
            _ => burn::Cause::Refusal,
        };
        self.count_bad(now, id, cause);
        self.trace.note(now, id, format!("failed: {}", failure.kind.as_str()));
        self.log(log::REQUEST_FAILED, format!("{id} {}", failure.kind.as_str()));
        let refundable = self.requests.get(&id).filter(|it| !it.sent).map(|it| it.charged);
        if let Some(charged) = refundable {
            self.refund(now, id, charged);
        }
        self.fail(now, id, failure);
    }

    /// Ends the phases that have exceeded their time limit.
    pub(super) fn attempt_tick(&mut self, now: Instant) {
        if self.has_fault(Fault::NoDeadline) {
            return;
        }
        let overdue: Vec<(Id, bool)> = self
            .requests
            .iter()
            .filter(|(_, it)| timeout(it).is_some_and(|limit| now.since(it.phase_since) > limit))
            .map(|(id, it)| (*id, it.is_running()))
            .collect();
        for (id, running) in overdue {
            match running {
                true => {
                    self.trace.note(now, id, "no report from the endpoint within the time limit");
                    self.fail_attempt(now, id);
                }
                false => {
                    self.withdraw(id);
                    self.fail_with_refund(now, id, Failure::not_run(Kind::TooLate));
                }
            }
        }
    }
}

/// Returns the name of the endpoint of the current step, which has failed.
pub(super) fn failed_endpoint(request: &Request) -> Option<crate::object::Name> {
    let Placement { prefill, run } = request.placement.as_ref()?;
    match (&request.phase, prefill) {
        (Phase::Prefill, Some(prefill)) => Some(prefill.name.clone()),
        _ => Some(run.name.clone()),
    }
}

/// Returns the time limit of the current phase; none if another module enforces it.
fn timeout(request: &Request) -> Option<Duration> {
    let started = request.first_byte.is_some();
    let stream_ms =
        request.route.between_tokens_ms * STREAM_TIME_FACTOR * request.arrival.max_tokens.max(1);
    match request.phase {
        Phase::Prefill => Some(PREFILL_TIMEOUT),
        Phase::Import => Some(IMPORT_TIMEOUT),
        Phase::Decode if started => Some(FIRST_TOKEN_TIMEOUT + Duration::from_millis(stream_ms)),
        Phase::Decode => Some(FIRST_TOKEN_TIMEOUT),
        Phase::Forward if started => Some(RELAY_TIMEOUT),
        Phase::Forward => Some(FIRST_BYTE_TIMEOUT),
        Phase::Queued => Some(QUEUE_TIMEOUT),
        Phase::Admitting | Phase::Claiming | Phase::Holding => None,
    }
}
