//! A request on its way, and the calls that are open for it.

use std::{sync::Arc, time::Duration};

use siskinstile_core::log::Code;
use siskinstile_macros::value;

use crate::{
    Effect, Instant, Name, call,
    catalog::{Retry, Route, Service, Team},
    directory::Endpoint,
    effect,
    engine::Rank,
    load::Load,
    record::Record,
    request,
};

use super::{State, engine::SHORT_CALL_TIMEOUT};

/// Connections to an endpoint that calls outside of requests may open.
const DETACHED_CONNECTIONS: u32 = 4;

/// Where a request stands.
#[value(eq)]
pub(super) enum Phase {
    /// It waits for a decode place.
    Queued,
    /// A decode place is being reserved.
    Holding,
    /// Its prompt is being computed.
    Prefilling,
    /// It has been sent to an endpoint.
    Running,
    /// Its answer is being relayed.
    Relaying,
}

/// A place at a decode engine that counts as taken.
#[value]
pub(super) struct Slot {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) load: Load,
    pub(super) since: Instant,
    /// Name of the reservation, until a run has used it.
    pub(super) hold: Option<Name>,
}

/// A computed prompt that no run has fetched yet.
#[value]
pub(super) struct Prompt {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) handle: call::Handle,
}

/// A request that is not yet answered.
#[value]
pub(super) struct Job {
    pub(super) id: request::Id,
    pub(super) trace: Name,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    pub(super) team: Option<Arc<Team>>,
    pub(super) tokens: Option<request::Tokens>,
    /// What its team has been charged.
    pub(super) charged: u64,
    pub(super) arrived: Instant,
    /// When its caller first asked, as far as the time that it still waits tells.
    pub(super) first_attempt: Instant,
    /// When it is answered at the latest.
    pub(super) deadline: Instant,
    pub(super) phase: Phase,
    pub(super) calls: Vec<call::Id>,
    /// Endpoints that a run was sent to.
    pub(super) sends: u32,
    /// Connections that failed before a byte left.
    pub(super) unsent_attempts: u32,
    /// Endpoints that are not to be asked again.
    pub(super) excluded: Vec<Name>,
    pub(super) may_have_run: bool,
    /// Identifier of the last event that the caller has.
    pub(super) last_event: Option<Name>,
    pub(super) slot: Option<Slot>,
    pub(super) prefill: Option<Arc<Endpoint>>,
    pub(super) prompt: Option<Prompt>,
    /// Whether the answer's head has been given to the caller.
    pub(super) relaying: Option<call::Id>,
    /// A whole answer with an error status, in case no better one comes.
    pub(super) fallback: Option<call::Id>,
    /// When an idempotent request is sent to a second endpoint as well.
    pub(super) hedge_at: Option<Instant>,
    /// Moments on its way, for the log.
    pub(super) times: Times,
}

/// When a request reached the steps of its way.
#[value(default)]
pub(super) struct Times {
    /// It got a place at a decode engine.
    pub(super) placed: Option<Instant>,
    /// Its prompt was computed.
    pub(super) computed: Option<Instant>,
    /// The first event of its stream was relayed.
    pub(super) first_event: Option<Instant>,
}

impl Job {
    /// Starts a log line on the request.
    pub(super) fn log_record(&self, code: Code, now: Instant) -> Record {
        Record::new(code)
            .for_request(&self.trace)
            .with("route", &*self.route.name)
            .with("service", &*self.service.name)
            .with("team", self.team.as_ref().map(|it| it.name.to_string()))
            .with("phase", format!("{:?}", self.phase))
            .with("age_ms", now.since(self.arrived).as_millis() as u64)
            .with("sends", self.sends)
    }

    /// Returns in which order the request gets a place.
    pub(super) fn rank(&self, now: Instant) -> Rank {
        let team = self.team.as_ref().and_then(|it| it.priority);
        let late = self.first_attempt + self.route.target_latency <= now;
        Rank { team: team.unwrap_or(self.route.priority), route: self.route.priority, late }
    }

    /// Returns whether another send is allowed by the route and by what has happened so far.
    pub(super) fn may_send(&self) -> bool {
        let repeatable = self.route.retry.is_retryable() || !self.may_have_run;
        self.sends < self.route.attempts && repeatable
    }
}

/// What kind of step an open call carries out.
#[value(id)]
pub(super) enum Kind {
    Hold,
    Prefill,
    Run,
    Inspect,
    Order,
    Other,
}

/// A call that has not come to an end.
#[value]
pub(super) struct OpenCall {
    pub(super) request: call::Owner,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) kind: Kind,
    pub(super) started: Instant,
    /// When no sign of life means that it is lost.
    pub(super) limit: Option<Instant>,
    /// What it adds to the endpoint's load.
    pub(super) load: Load,
}

/// A call that is to be made.
pub(super) struct Plan {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) step: call::Step,
    pub(super) limit: Option<Duration>,
    pub(super) load: Load,
}

impl State {
    /// Makes a call for a request.
    pub(super) fn call(&mut self, now: Instant, id: request::Id, plan: Plan) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let call = call::Id(self.next_call);
        self.next_call += 1;
        job.calls.push(call);
        let effect = effect::Call {
            id: call,
            request: Some(id),
            endpoint: plan.endpoint.clone(),
            max_connections: job.service.connection_limit / self.fleet.members.len() as u32,
            step: plan.step.clone(),
            retry: job.route.retry,
            team: job.team.as_ref().map(|it| it.name.clone()),
            time_left: job.deadline.since(now),
        };
        self.open_call(now, effect, plan);
    }

    /// Makes a call that belongs to no request and is answered at once.
    pub(super) fn call_detached(
        &mut self,
        now: Instant,
        endpoint: Arc<Endpoint>,
        step: call::Step,
    ) {
        let call = call::Id(self.next_call);
        self.next_call += 1;
        let effect = effect::Call {
            id: call,
            request: None,
            endpoint: endpoint.clone(),
            max_connections: DETACHED_CONNECTIONS,
            step: step.clone(),
            retry: Retry::AtMostOnce,
            team: None,
            time_left: SHORT_CALL_TIMEOUT,
        };
        let plan = Plan { endpoint, step, limit: Some(SHORT_CALL_TIMEOUT), load: Load::default() };
        self.open_call(now, effect, plan);
    }

    fn open_call(&mut self, now: Instant, call: effect::Call, plan: Plan) {
        let kind = match plan.step {
            call::Step::Hold { .. } => Kind::Hold,
            call::Step::Prefill => Kind::Prefill,
            call::Step::Run { .. } => Kind::Run,
            call::Step::Inspect => Kind::Inspect,
            call::Step::Order(_) => Kind::Order,
            _ => Kind::Other,
        };
        self.fleet.loads.add(&plan.endpoint.id, plan.load);
        let open = OpenCall {
            request: call.request,
            endpoint: plan.endpoint,
            kind,
            started: now,
            limit: plan.limit.map(|it| now + it),
            load: plan.load,
        };
        self.calls.insert(call.id, open);
        self.emit(Effect::Call(call));
    }

    /// Ends the record of a call.
    pub(super) fn close_call(&mut self, id: call::Id) -> Option<OpenCall> {
        let open = self.calls.swap_remove(&id)?;
        self.fleet.loads.remove(&open.endpoint.id, open.load);
        if let Some(job) = open.request.and_then(|it| self.jobs.get_mut(&it)) {
            job.calls.retain(|it| *it != id);
        }
        Some(open)
    }

    /// Ends what is done for a request that has left the table of open ones.
    pub(super) fn clean_up(&mut self, now: Instant, job: &mut Job) {
        self.queue.remove(job.id);
        for call in std::mem::take(&mut job.calls) {
            match self.calls.get_mut(&call) {
                // The reservation is given back once its name is known.
                Some(open) if open.kind == Kind::Hold => open.request = None,
                _ => {
                    self.close_call(call);
                    self.emit(Effect::Cancel(call));
                }
            }
        }
        if let Some(fallback) = job.fallback.take() {
            self.emit(Effect::Cancel(fallback));
        }
        self.free_prompt(now, job);
        self.release_slot(now, job);
    }

    /// Frees a computed prompt that no run has fetched.
    pub(super) fn free_prompt(&mut self, now: Instant, job: &mut Job) {
        let Some(prompt) = job.prompt.take() else { return };
        self.call_detached(now, prompt.endpoint, call::Step::Free { handle: prompt.handle.name });
    }

    /// Gives back a request's place at a decode engine.
    pub(super) fn release_slot(&mut self, now: Instant, job: &mut Job) {
        let Some(slot) = job.slot.take() else { return };
        self.fleet.loads.remove(&slot.endpoint.id, slot.load);
        if let Some(hold) = slot.hold {
            self.call_detached(now, slot.endpoint, call::Step::Drop { hold });
        }
    }
}
