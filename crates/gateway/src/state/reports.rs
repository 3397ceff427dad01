//! Handling of call outcomes.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::{Failure, Kind as ErrorKind};

use crate::{
    Effect, Instant, Name, call,
    call::{Notice, Outcome, Report},
    directory::Endpoint,
    health::Signal,
    record::{self, Record},
    request,
};

use super::{
    State,
    job::{Kind, OpenCall, Phase, Prompt},
};

/// Statuses that tell callers that a request has not run; they are not relayed from endpoints that
/// may have run it.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Longest time for which an endpoint can stop calls to it; bounds the effect of absurd values.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Time by which the deadline of a call is missed from which on this instance itself has not run.
const MAX_LATENESS: Duration = Duration::from_millis(100);
/// Time within which an instance that runs again has read what arrived meanwhile.
const UNREAD_TIME: Duration = Duration::from_millis(100);
/// Lowest status of a server error.
const FIRST_SERVER_ERROR: u16 = 500;

impl State {
    /// Handles a report on a call; reports on calls that are not open are ignored.
    pub(super) fn handle_report(&mut self, now: Instant, report: Report) {
        let Some(open) = self.calls.get(&report.call).cloned() else { return };
        self.handle_notice(now, &open.endpoint, report.notice);
        self.measure_answer(now, &open, &report);
        // Later reports on a stream repeat what its head said.
        if !matches!(report.outcome, Outcome::FirstEvent | Outcome::Completed { .. }) {
            self.record_limit(now, &open.endpoint, report.notice.limit);
        }
        if !repeats_head(&report.outcome) {
            self.record_cold_statement(now, &open.endpoint, report.notice.cold_remaining);
        }
        let outcome = self.without_own_faults(now, &open.endpoint.id, report.outcome);
        // A proxy closes new connections to an endpoint that has ended.
        if matches!(outcome, Outcome::Failed { ended, closed, .. } if ended || closed)
            && self.fleet.warm_up.record_end(now, &open.endpoint)
        {
            self.announce();
        }
        let outcome = check_not_run_status(outcome);
        self.record_health(now, &open, &outcome);
        self.record_reach(now, report.call, &outcome);
        self.record_connection(&open.endpoint, &outcome);
        let is_intermediate = matches!(outcome, Outcome::Head { .. } | Outcome::FirstEvent);
        if !is_intermediate {
            self.close_call(report.call);
        }
        match open.request {
            Some(id) => self.handle_outcome(now, id, report.call, &open, outcome),
            None => self.handle_orphaned(now, &open, outcome),
        }
    }

    /// Records what an endpoint stated about itself.
    fn handle_notice(&mut self, now: Instant, endpoint: &Arc<Endpoint>, notice: Notice) {
        if notice.is_other {
            return self.record_misdirected(now, endpoint);
        }
        if let Some(load) = notice.load {
            self.fleet.reported_loads.insert(endpoint.id.clone(), (now, load));
            self.record_pace(now, endpoint, load);
        }
        if let Some(backoff) = notice.backoff {
            self.back_off(now, &endpoint.id, backoff);
        }
        if notice.leaving && self.fleet.departures.announce(now, endpoint) {
            let line = Record::new(record::ENDPOINT_LEAVING).with("endpoint", &*endpoint.id);
            self.log(line);
            self.announce();
            self.update_directory();
        }
    }

    /// Records that another endpoint has answered at the listed address of an endpoint, whose entry is an old one or another
    /// writer's.
    fn record_misdirected(&mut self, now: Instant, endpoint: &Endpoint) {
        if !self.fleet.health.is_misdirected(&endpoint.id) {
            let line = Record::new(record::MISDIRECTED)
                .with("endpoint", &*endpoint.id)
                .with("address", endpoint.address.to_string());
            self.log(line);
        }
        self.fleet.health.record(now, &endpoint.id, Signal::Misdirected);
    }

    /// Stops all calls to an endpoint for the time that it asked for, up to a limit.
    fn back_off(&mut self, now: Instant, endpoint: &Name, asked: Duration) {
        if self.fleet.health.backoff(now, endpoint).is_none() {
            let line = Record::new(record::ENDPOINT_BACKOFF)
                .with("endpoint", &**endpoint)
                .with("backoff_ms", asked.min(MAX_BACKOFF).as_millis() as u64)
                .with("limited", asked > MAX_BACKOFF);
            self.log(line);
        }
        self.fleet.health.back_off(now, endpoint, asked.min(MAX_BACKOFF));
    }

    /// Records the outcome of a call in the health of its endpoint.
    fn record_health(&mut self, now: Instant, open: &OpenCall, outcome: &Outcome) {
        let signal = match outcome {
            Outcome::Failed { unresponsive: true, .. } | Outcome::Failed { closed: true, .. } => {
                Signal::Unresponsive
            }
            Outcome::Failed { sent: true, .. } if open.endpoint.stage.is_none() => Signal::Broken,
            Outcome::Failed { .. } => Signal::Error,
            Outcome::Refused { .. } if open.kind == Kind::Prefill => Signal::Declined,
            Outcome::Refused { .. } => Signal::Full,
            Outcome::Buffered { status } if *status >= FIRST_SERVER_ERROR => Signal::Error,
            Outcome::FirstEvent | Outcome::Done | Outcome::StartTold { .. } => return,
            _ => Signal::Success,
        };
        // A run may be refused because its computed prompt is lost, which is the fault of the
        // engine that computed it, not of the refusing one.
        let is_fault_of_other = open.kind == Kind::Run && signal == Signal::Full;
        if !is_fault_of_other {
            self.record_signal(now, &open.endpoint.id, signal);
        }
    }

    fn record_signal(&mut self, now: Instant, endpoint: &Name, signal: Signal) {
        let health = &mut self.fleet.health;
        let before = health.is_on_trial(endpoint);
        health.record(now, endpoint, signal);
        let is_on_trial = health.is_on_trial(endpoint);
        if is_on_trial != before {
            let line = Record::new(record::ANSWERS_BROKEN)
                .with("endpoint", &**endpoint)
                .with("state", if is_on_trial { "begun" } else { "ended" });
            self.log(line);
        }
    }

    /// Handles the outcome of a call that belongs to no request or to one that has ended.
    fn handle_orphaned(&mut self, now: Instant, open: &OpenCall, outcome: Outcome) {
        match (open.kind, outcome) {
            (Kind::Hold, Outcome::Held { hold }) => {
                self.call_detached(now, open.endpoint.clone(), call::Step::Release { hold });
            }
            (Kind::Inspect, outcome) => self.handle_inspection(now, outcome),
            (Kind::Order, outcome) => self.handle_order_response(now, outcome),
            _ => {}
        }
    }

    fn handle_outcome(
        &mut self,
        now: Instant,
        id: request::Id,
        call: call::Id,
        open: &OpenCall,
        outcome: Outcome,
    ) {
        self.log_failure(now, id, open, &outcome);
        match (open.kind, outcome) {
            (Kind::Hold, outcome) if self.end_backup(now, id, call, &outcome) => {}
            (Kind::Hold, Outcome::Held { hold }) => self.hold_granted(now, id, hold),
            (Kind::Hold, _) => self.hold_failed(now, id),
            (Kind::Prefill, Outcome::Computed { handle, tokens }) => {
                self.prefill_done(now, id, open, handle, tokens);
            }
            (Kind::Prefill, Outcome::Refused { .. }) => self.prefill_refused(now, id),
            (Kind::Prefill, Outcome::Failed { sent, ended, closed, .. }) => {
                if ended {
                    self.record_prefill_break(now, id, open);
                }
                if closed {
                    self.suspect_crash(now, id, open);
                }
                self.prefill_broken(now, id, sent);
            }
            (Kind::Prefill, _) => self.prefill_failed(now, id),
            (Kind::QueryStart, outcome) => self.start_told(now, id, &outcome),
            (Kind::Inspect, outcome) => self.prompt_checked(now, id, &outcome),
            (Kind::Run, Outcome::Head { .. }) => self.start_relay(now, id, call),
            (Kind::Run, Outcome::FirstEvent) => self.first_event(now, id, call),
            (Kind::Run, Outcome::Completed { events, pause, framed }) => {
                self.run_done(now, id, (events, pause), framed)
            }
            (Kind::Run, Outcome::Buffered { status }) => self.handle_answer(now, id, call, status),
            (Kind::Run, Outcome::Refused { .. }) => self.handle_refusal(now, id),
            (Kind::Run, Outcome::Failed { sent, unresponsive, ended, closed, last_event, .. }) => {
                if closed && !self.has_answered(now, id) {
                    self.suspect_crash(now, id, open);
                }
                if sent && !unresponsive {
                    self.record_run_break(now, id, open, ended);
                }
                self.handle_failure(now, id, &open.endpoint, sent, last_event);
            }
            _ => {}
        }
    }

    /// Logs a refused or failed call.
    fn log_failure(&mut self, now: Instant, id: request::Id, open: &OpenCall, outcome: &Outcome) {
        let (cause, sent, ended) = match outcome {
            Outcome::Refused { .. } => ("refused", true, false),
            Outcome::Failed { cause, sent, ended, closed, .. } => {
                (*cause, *sent, *ended || *closed)
            }
            _ => return,
        };
        let Some(job) = self.jobs.get(&id) else { return };
        let line = job
            .log_record(record::CALL_FAILED, now)
            .with("endpoint", &*open.endpoint.id)
            .with("step", format!("{:?}", open.kind))
            .with("cause", cause)
            .with("sent", sent)
            .with("took_ms", now.since(open.started).as_millis() as u64);
        let parts = job.shared_parts.iter().map(|it| it.to_string()).collect::<Vec<_>>();
        let line = match open.kind {
            Kind::Run if !parts.is_empty() => line.with("parts", parts),
            _ => line,
        };
        let line = match ended {
            true => line
                .with("request_hash", job.request_subject().hash.to_string())
                .with("group_hash", job.group.map(|it| it.to_string())),
            false => line,
        };
        self.log(line);
    }

    fn prefill_done(
        &mut self,
        now: Instant,
        id: request::Id,
        open: &OpenCall,
        handle: Name,
        tokens: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let forecast = self.fleet.forecasts.entry(job.service.name.clone()).or_default();
        if self.fleet.loads.total(&open.endpoint.id).prompt_tokens == 0 {
            let took = now.since(open.started);
            if let Some(usual) = forecast.usual_prompt(tokens) {
                self.fleet.paces.measure(now, &open.endpoint.id, took, usual);
            }
            forecast.record_prompt(tokens, took);
        }
        let handle = call::Handle { address: open.endpoint.address, name: handle };
        job.times.computed = Some(now);
        job.prompt = Some(Prompt { endpoint: open.endpoint.clone(), handle: handle.clone() });
        match self.is_evacuated(&open.endpoint) {
            true => self.recompute_prompt(now, id),
            false => self.start_run(now, id, Some(handle)),
        }
    }

    /// Starts to relay a streamed response.
    fn start_relay(&mut self, now: Instant, id: request::Id, call: call::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.answering_since = Some(now);
        job.phase = Phase::Relaying;
        job.may_have_run = true;
        job.prompt = None;
        job.relaying = Some(call);
        self.emit(Effect::Relay { request: id, call });
    }

    fn first_event(&mut self, now: Instant, id: request::Id, call: call::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.times.first_event.get_or_insert(now);
        if let Some(open) = self.calls.get_mut(&call) {
            open.deadline = None;
            job.software.get_or_insert(open.endpoint.software());
        }
        self.journal_begun(now, id);
    }

    fn run_done(
        &mut self,
        now: Instant,
        id: request::Id,
        (events, pause): (u64, Duration),
        framed: bool,
    ) {
        self.record_run_success(now, id, framed);
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        if let (Some(slot), Some(engine)) = (&job.slot, &job.service.engine) {
            let forecast = self.fleet.forecasts.entry(job.service.name.clone()).or_default();
            forecast.record_stay(now.since(slot.reserved_at));
            // The tokens of the first event were generated before it arrived.
            let tokens = events.saturating_sub(1) * engine.event_tokens;
            let first_event = job.times.first_event.unwrap_or(now);
            forecast.record_stream(tokens, now.since(first_event));
        }
        self.clean_up(now, &mut job);
        let line = job.log_record(record::ANSWERED, now);
        let since_arrival_ms =
            |time: Option<Instant>| time.map(|it| it.since(job.arrived).as_millis() as u64);
        let line = line
            .with("prompt_tokens", job.tokens.map(|it| it.prompt))
            .with("output_tokens", job.tokens.map(|it| it.output))
            .with("placed_ms", since_arrival_ms(job.times.placed))
            .with("computed_ms", since_arrival_ms(job.times.computed))
            .with("first_ms", since_arrival_ms(job.times.first_event))
            .with("pause_ms", pause.as_millis() as u64);
        self.log(line);
        self.emit(Effect::Finish(id));
    }

    fn handle_answer(&mut self, now: Instant, id: request::Id, call: call::Id, status: u16) {
        self.record_run_success(now, id, true);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.may_have_run = true;
        job.prompt = None;
        let may_retry = status >= FIRST_SERVER_ERROR && job.route.retry.is_retryable();
        if !may_retry || job.slot.is_some() {
            return self.answer(now, id, call, Some(status));
        }
        if let Some(old) = job.fallback.replace(call) {
            self.emit(Effect::Cancel(old));
        }
        self.plain_failed(now, id, "the endpoint failed");
    }

    fn handle_refusal(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        match job.slot.is_some() {
            true => self.run_refused(now, id),
            false => self.plain_refused(now, id),
        }
    }

    fn plain_refused(&mut self, now: Instant, id: request::Id) {
        self.plain_failed(now, id, "the endpoint refused");
    }

    fn handle_failure(
        &mut self,
        now: Instant,
        id: request::Id,
        endpoint: &Endpoint,
        sent: bool,
        last_event: Option<Name>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.may_have_run |= sent;
        if last_event.is_some() {
            job.software.get_or_insert(endpoint.software());
            job.last_event = last_event;
        }
        match job.slot.is_some() {
            true => self.run_failed(now, id, &endpoint.id),
            false if !sent => self.plain_unsent(now, id),
            false => self.plain_failed(now, id, "the answer broke"),
        }
    }

    /// Fails requests whose deadline has passed.
    pub(super) fn fail_timed_out(&mut self, now: Instant) {
        let overdue: Vec<request::Id> =
            self.jobs.values().filter(|it| it.deadline <= now).map(|it| it.id).collect();
        for id in overdue {
            self.fail(now, id, Failure::not_run(ErrorKind::TooLate), "time is over");
        }
    }

    /// Cancels calls without a response within their timeout and handles them as failed.
    pub(super) fn fail_unresponsive(&mut self, now: Instant) {
        self.extend_missed(now);
        let is_overdue = |it: &OpenCall| it.deadline.is_some_and(|deadline| deadline <= now);
        let ids: Vec<call::Id> =
            self.calls.iter().filter(|(_, it)| is_overdue(it)).map(|(id, _)| *id).collect();
        for call in ids {
            if !self.check_prompt(now, call) && !self.awaits_run(now, call) {
                self.fail_silent(now, call);
            }
        }
    }

    /// Gives calls more time whose deadlines this instance has missed, as it has not run: their responses may have
    /// arrived without having been read.
    fn extend_missed(&mut self, now: Instant) {
        for call in self.calls.values_mut() {
            let is_missed = |it: &Instant| now.since(*it) >= MAX_LATENESS;
            if call.deadline.as_ref().is_some_and(is_missed) {
                call.deadline = Some(now + UNREAD_TIME);
            }
        }
    }

    /// Cancels a call without a response and handles it as failed.
    pub(super) fn fail_silent(&mut self, now: Instant, call: call::Id) {
        self.emit(Effect::Cancel(call));
        let outcome = Outcome::Failed {
            sent: true,
            unresponsive: true,
            ended: false,
            closed: false,
            last_event: None,
            cause: "silent",
        };
        self.handle_report(now, Report { call, outcome, notice: Notice::default() });
    }
}

/// Returns whether a report repeats what the head of a response stated some time ago.
fn repeats_head(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::FirstEvent | Outcome::Completed { .. } | Outcome::Failed { .. })
}

/// Turns a response into a failure if its status states that the request has not run, although the
/// endpoint may have run it.
fn check_not_run_status(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Buffered { status } | Outcome::Head { status }
            if NOT_RUN_STATUSES.contains(&status) =>
        {
            Outcome::Failed {
                sent: true,
                unresponsive: false,
                ended: false,
                closed: false,
                last_event: None,
                cause: "false promise",
            }
        }
        other => other,
    }
}
