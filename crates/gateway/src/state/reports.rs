//! What became of calls.

use std::time::Duration;

use siskinstile_core::error::{Failure, Kind as Why};

use crate::{
    Effect, Instant, Name, call,
    call::{Outcome, Report},
    health::Signal,
    record, request,
};

use super::{
    State,
    work::{Kind, Open, Phase, Prompt},
};

/// Statuses that promise that a request has not run; an endpoint's answer that has run cannot
/// carry them on.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// First status that tells of an endpoint's own fault.
const SERVER_ERROR: u16 = 500;

impl State {
    /// Takes a report on a call.
    pub(super) fn report(&mut self, now: Instant, report: Report) {
        let Some(open) = self.calls.get(&report.call).cloned() else { return };
        if let Some(load) = report.load {
            self.fleet.reported_loads.insert(open.endpoint.id.clone(), (now, load));
        }
        let outcome = deny_promise(report.outcome);
        self.judge(now, &open, &outcome);
        let lasts = matches!(outcome, Outcome::Head { .. } | Outcome::FirstEvent);
        if !lasts {
            self.close(report.call);
        }
        match open.request {
            Some(id) => self.advance(now, id, report.call, &open, outcome),
            None => self.abandoned(now, &open, outcome),
        }
    }

    /// Notes what an outcome tells of the endpoint.
    fn judge(&mut self, now: Instant, open: &Open, outcome: &Outcome) {
        let signal = match outcome {
            Outcome::Failed { unresponsive: true, .. } => Signal::Unresponsive,
            Outcome::Failed { .. } => Signal::Error,
            Outcome::Refused { .. } if open.kind == Kind::Prefill => Signal::Declined,
            Outcome::Refused { .. } => Signal::Full,
            Outcome::Buffered { status } if *status >= SERVER_ERROR => Signal::Error,
            Outcome::FirstEvent | Outcome::Done => return,
            _ => Signal::Success,
        };
        // A lost handle is the fault of the engine that computed it, not of the one that refuses.
        let blames_other = open.kind == Kind::Run && signal == Signal::Full;
        if !blames_other {
            self.fleet.health.record(now, &open.endpoint.id, signal);
        }
    }

    /// Takes the outcome of a call that is for no request, or for one that is over.
    fn abandoned(&mut self, now: Instant, open: &Open, outcome: Outcome) {
        match (open.kind, outcome) {
            (Kind::Hold, Outcome::Held { hold }) => {
                self.tell(now, open.endpoint.clone(), call::Step::Drop { hold });
            }
            (Kind::Inspect, outcome) => self.inspected(now, outcome),
            (Kind::Order, outcome) => self.order_answered(now, outcome),
            _ => {}
        }
    }

    fn advance(
        &mut self,
        now: Instant,
        id: request::Id,
        call: call::Id,
        open: &Open,
        outcome: Outcome,
    ) {
        self.note_failure(now, id, open, &outcome);
        match (open.kind, outcome) {
            (Kind::Hold, Outcome::Held { hold }) => self.held(now, id, hold),
            (Kind::Hold, _) => self.hold_failed(now, id),
            (Kind::Prefill, Outcome::Computed { handle, tokens }) => {
                self.computed(now, id, open, handle, tokens);
            }
            (Kind::Prefill, Outcome::Refused { .. }) => self.prefill_refused(now, id),
            (Kind::Prefill, _) => self.prefill_failed(now, id),
            (Kind::Run, Outcome::Head { .. }) => self.relay(id, call),
            (Kind::Run, Outcome::FirstEvent) => self.first_event(now, id),
            (Kind::Run, Outcome::Completed { events, pause }) => self.ended(now, id, events, pause),
            (Kind::Run, Outcome::Buffered { status }) => self.whole(now, id, call, status),
            (Kind::Run, Outcome::Refused { .. }) => self.refused(now, id),
            (Kind::Run, Outcome::Failed { sent, last_event, .. }) => {
                self.broken(now, id, &open.endpoint.id, sent, last_event);
            }
            _ => {}
        }
    }

    /// Logs an outcome that was not hoped for.
    fn note_failure(&mut self, now: Instant, id: request::Id, open: &Open, outcome: &Outcome) {
        let (cause, sent) = match outcome {
            Outcome::Refused { .. } => ("refused", true),
            Outcome::Failed { cause, sent, .. } => (*cause, *sent),
            _ => return,
        };
        let Some(work) = self.work.get(&id) else { return };
        let line = work
            .record(record::CALL_FAILED, now)
            .with("endpoint", &*open.endpoint.id)
            .with("step", format!("{:?}", open.kind))
            .with("cause", cause)
            .with("sent", sent)
            .with("took_ms", now.since(open.begun).as_millis() as u64);
        self.log(line);
    }

    fn computed(&mut self, now: Instant, id: request::Id, open: &Open, handle: Name, tokens: u64) {
        let Some(work) = self.work.get_mut(&id) else { return };
        let forecast = self.fleet.forecasts.entry(work.service.name.clone()).or_default();
        if self.fleet.loads.total(&open.endpoint.id).prompt_tokens == 0 {
            forecast.record_prompt(tokens, now.since(open.begun));
        }
        let handle = call::Handle { address: open.endpoint.address, name: handle };
        work.times.computed = Some(now);
        work.prompt = Some(Prompt { endpoint: open.endpoint.clone(), handle: handle.clone() });
        self.run(now, id, Some(handle));
    }

    /// A run's streamed answer begins: has it relayed.
    fn relay(&mut self, id: request::Id, call: call::Id) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.phase = Phase::Relaying;
        work.may_have_run = true;
        work.prompt = None;
        work.relaying = Some(call);
        self.emit(Effect::Relay { request: id, call });
    }

    fn first_event(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.times.first.get_or_insert(now);
        let call = work.calls.last().copied();
        if let Some(open) = call.and_then(|it| self.calls.get_mut(&it)) {
            open.limit = None;
        }
    }

    fn ended(&mut self, now: Instant, id: request::Id, events: u64, pause: Duration) {
        let Some(mut work) = self.work.swap_remove(&id) else { return };
        if let (Some(place), Some(engine)) = (&work.place, &work.service.engine) {
            let forecast = self.fleet.forecasts.entry(work.service.name.clone()).or_default();
            forecast.record_stay(now.since(place.since));
            // The tokens of the first event were generated before it came.
            let tokens = events.saturating_sub(1) * engine.event_tokens;
            let first = work.times.first.unwrap_or(now);
            forecast.record_stream(tokens, now.since(first));
        }
        self.clean_up(now, &mut work);
        let line = work.record(record::ANSWERED, now);
        let after = |at: Option<Instant>| at.map(|it| it.since(work.arrived).as_millis() as u64);
        let line = line
            .with("prompt_tokens", work.tokens.map(|it| it.prompt))
            .with("output_tokens", work.tokens.map(|it| it.output))
            .with("placed_ms", after(work.times.placed))
            .with("computed_ms", after(work.times.computed))
            .with("first_ms", after(work.times.first))
            .with("pause_ms", pause.as_millis() as u64);
        self.log(line);
        self.emit(Effect::Finish(id));
    }

    fn whole(&mut self, now: Instant, id: request::Id, call: call::Id, status: u16) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.may_have_run = true;
        work.prompt = None;
        let better = status >= SERVER_ERROR && work.route.retry.is_retryable();
        if !better || work.place.is_some() {
            return self.answer(now, id, call, Some(status));
        }
        if let Some(old) = work.spare.replace(call) {
            self.emit(Effect::Cancel(old));
        }
        self.plain_failed(now, id, "the endpoint failed");
    }

    fn refused(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get(&id) else { return };
        match work.place.is_some() {
            true => self.run_refused(now, id),
            false => self.plain_refused(now, id),
        }
    }

    fn plain_refused(&mut self, now: Instant, id: request::Id) {
        self.plain_failed(now, id, "the endpoint refused");
    }

    fn broken(
        &mut self,
        now: Instant,
        id: request::Id,
        endpoint: &Name,
        sent: bool,
        last_event: Option<Name>,
    ) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.may_have_run |= sent;
        if last_event.is_some() {
            work.last_event = last_event;
        }
        match work.place.is_some() {
            true => self.run_broken(now, id, endpoint),
            false if !sent => self.plain_missed(now, id),
            false => self.plain_failed(now, id, "the answer broke"),
        }
    }

    /// Ends the requests whose time is over.
    pub(super) fn time_out(&mut self, now: Instant) {
        let over: Vec<request::Id> =
            self.work.values().filter(|it| it.deadline <= now).map(|it| it.id).collect();
        for id in over {
            self.fail(now, id, Failure::not_run(Why::TooLate), "time is over");
        }
    }

    /// Takes calls for lost that gave no sign of life within their limit.
    pub(super) fn lose_silent(&mut self, now: Instant) {
        let over = |it: &Open| it.limit.is_some_and(|limit| limit <= now);
        let ids: Vec<call::Id> =
            self.calls.iter().filter(|(_, it)| over(it)).map(|(id, _)| *id).collect();
        for call in ids {
            self.emit(Effect::Cancel(call));
            let outcome = Outcome::Failed {
                sent: true,
                unresponsive: true,
                last_event: None,
                cause: "silent",
            };
            self.report(now, Report { call, outcome, load: None });
        }
    }
}

/// Takes an answer that has run but promises that it has not for a broken one.
fn deny_promise(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Buffered { status } | Outcome::Head { status } if PROMISES.contains(&status) => {
            Outcome::Failed {
                sent: true,
                unresponsive: false,
                last_event: None,
                cause: "false promise",
            }
        }
        other => other,
    }
}
