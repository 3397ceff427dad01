//! Requests in progress and their open calls.

use std::{sync::Arc, time::Duration};

use siskinstile_core::log::Code;
use siskinstile_macros::value;

use crate::{
    Effect, Instant, Name,
    call::{self, Start},
    catalog::{Retry, Route, Service, Team},
    directory::{Endpoint, Software},
    effect,
    engine::Rank,
    load::Load,
    name_hash::NameHash,
    origin::Origin,
    quarantine::Subject,
    record::Record,
    request,
    residency::Residency,
};

use super::{State, engine::SHORT_CALL_TIMEOUT, prompts::Check};

/// Connection limit of calls that belong to no request.
const DETACHED_CONNECTIONS: u32 = 4;

/// Processing phase of a request.
#[value(eq)]
pub(super) enum Phase {
    /// Peers are asked where the stream began that the caller takes up.
    Locating,
    /// Waiting for a decode slot.
    Queued,
    /// A decode slot is being reserved.
    Holding,
    /// The prompt is being computed.
    Prefilling,
    /// The request has been sent to an endpoint.
    Running,
    /// The response is being relayed.
    Relaying,
}

/// A slot at a decode engine that is counted in the engine's load.
#[value]
pub(super) struct Slot {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) load: Load,
    /// When the reservation was requested.
    pub(super) reserved_at: Instant,
    /// Name of the reservation until a run has used it.
    pub(super) hold: Option<Name>,
}

/// A computed prompt that no run has fetched yet and that has to be freed.
#[value]
pub(super) struct Prompt {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) handle: call::Handle,
}

/// A search for the origin of a stream.
#[value]
pub(super) struct Search {
    /// Number of peers that have not answered.
    pub(super) missing_answers: usize,
    /// The origin with the latest run that a peer has told.
    pub(super) found: Option<Origin>,
    /// When it ends without the missing answers.
    pub(super) until: Instant,
    /// When it began.
    pub(super) began_at: Instant,
    /// Whether peers do not know it, so that the store is asked.
    pub(super) is_in_store: bool,
}

/// A request that has been admitted and not answered yet.
#[value]
pub(super) struct Job {
    pub(super) id: request::Id,
    pub(super) request_id: Name,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    pub(super) team: Option<Arc<Team>>,
    /// Data centres that may process it.
    pub(super) residency: Residency,
    pub(super) tokens: Option<request::Tokens>,
    /// Parts of the prompt that other requests may share.
    pub(super) shared_parts: Vec<Name>,
    /// What of the request may be quarantined: the whole first, then the shared parts.
    pub(super) subjects: Vec<Subject>,
    /// The group of requests that it belongs to, which may be quarantined as a whole.
    pub(super) group: Option<NameHash>,
    /// Whether an endpoint has ended that ran it.
    pub(super) has_crashed: bool,
    /// Units that its team has been charged.
    pub(super) charged: u64,
    pub(super) arrived: Instant,
    /// Estimated time of the caller's first attempt.
    pub(super) first_attempt: Instant,
    /// When the request fails unless it has been answered.
    pub(super) deadline: Instant,
    pub(super) phase: Phase,
    pub(super) calls: Vec<call::Id>,
    /// Number of endpoints that a run was sent to.
    pub(super) sends: u32,
    /// Attempts that failed before the request was sent: failed connections and reservations.
    pub(super) unsent_attempts: u32,
    /// Whether a retry has been taken from the budget for the next run.
    pub(super) has_retry: bool,
    /// Endpoints that must not be tried again.
    pub(super) excluded: Vec<Name>,
    pub(super) may_have_run: bool,
    /// Identifier of the last event that the caller has received.
    pub(super) last_event: Option<Name>,
    /// The caller's identifier of the attempt that began the stream, if the caller takes one up.
    pub(super) resumes: Option<Name>,
    /// The stream, by which peers know where it began; `None` if it cannot be taken up.
    pub(super) stream: Option<NameHash>,
    /// The version that began the stream, once an event of it has been relayed.
    pub(super) software: Option<Software>,
    /// The search for that version, while it goes on.
    pub(super) search: Option<Search>,
    pub(super) slot: Option<Slot>,
    /// A place at another engine that is being reserved.
    pub(super) backup: Option<Backup>,
    /// The proof of an endpoint's start, while it is sought.
    pub(super) proof: Option<Proof>,
    /// When the proof is sought again.
    pub(super) prove_at: Option<Instant>,
    /// Whether it has been sought again.
    pub(super) has_awaited_proof: bool,
    pub(super) prefill: Option<Arc<Endpoint>>,
    pub(super) prompt: Option<Prompt>,
    /// What is known of a prompt that takes longer than expected.
    pub(super) check: Check,
    /// When the answer that is being relayed began.
    pub(super) answering_since: Option<Instant>,
    /// The call whose response is being relayed to the caller.
    pub(super) relaying: Option<call::Id>,
    /// The call with a complete response that has an error status, relayed if no retry succeeds.
    pub(super) fallback: Option<call::Id>,
    /// When an idempotent request is hedged to a second endpoint.
    pub(super) hedge_at: Option<Instant>,
    /// Whether a peer has handed it over.
    pub(super) handed_over: bool,
    /// Times of its processing steps, for the log.
    pub(super) times: Times,
}

/// When a request reached its processing steps.
#[value(default)]
pub(super) struct Times {
    /// When a slot at a decode engine was reserved.
    pub(super) placed: Option<Instant>,
    /// When the prompt was computed.
    pub(super) computed: Option<Instant>,
    /// When the first event of the stream was relayed.
    pub(super) first_event: Option<Instant>,
}

impl Job {
    /// Creates a log line with the fields common to all lines about the request.
    pub(super) fn log_record(&self, code: Code, now: Instant) -> Record {
        Record::new(code)
            .for_request(&self.request_id)
            .with("route", &*self.route.name)
            .with("service", &*self.service.name)
            .with("team", self.team.as_ref().map(|it| it.name.to_string()))
            .with("phase", format!("{:?}", self.phase))
            .with("age_ms", now.since(self.arrived).as_millis() as u64)
            .with("sends", self.sends)
    }

    /// Returns the rank by which queued requests get decode slots.
    pub(super) fn rank(&self, now: Instant) -> Rank {
        let team_priority = self.team.as_ref().and_then(|it| it.priority);
        // The first event of a stream that goes on has reached its caller.
        let is_late =
            self.last_event.is_none() && self.first_attempt + self.route.target_latency <= now;
        Rank {
            team_priority: team_priority.unwrap_or(self.route.priority),
            route_priority: self.route.priority,
            is_late,
        }
    }

    /// Returns whether the request is a generation at model engines.
    pub(super) fn generates(&self) -> bool {
        let streams = matches!(self.route.retry, Retry::Stream { .. });
        streams && self.service.engine.is_some() && self.tokens.is_some()
    }

    /// Returns whether an endpoint may go on with the stream.
    pub(super) fn may_go_on_at(&self, endpoint: &Endpoint) -> bool {
        self.software.is_none_or(|it| it == endpoint.software())
    }

    /// Returns whether the route allows another send, given the sends so far, whether the request may have run, and
    /// whether the next run can be told where to go on.
    pub(super) fn may_send(&self) -> bool {
        let is_retryable = self.route.retry.is_retryable() || !self.may_have_run;
        let can_go_on = self.times.first_event.is_none() || self.last_event.is_some();
        self.sends < self.route.attempts && is_retryable && can_go_on
    }

    /// Returns where the next run starts: after the last event that the caller has, whatever the kind of service.
    pub(super) fn start(&self) -> Start {
        self.last_event.clone().map_or(Start::New, Start::After)
    }
}

/// A place at another engine that is being reserved while a run is silent.
#[value]
pub(super) struct Backup {
    /// The call that reserves it.
    pub(super) call: call::Id,
    /// The silent run.
    pub(super) run: call::Id,
    pub(super) slot: Slot,
    pub(super) prefill: Option<Arc<Endpoint>>,
}

/// Proof that an endpoint has the start that its entry tells, before a stream goes on there.
#[value]
pub(super) struct Proof {
    pub(super) endpoint: Arc<Endpoint>,
    /// The computed prompt that the run is to fetch.
    pub(super) source: Option<call::Handle>,
}

/// Kind of step that an open call carries out.
#[value(id)]
pub(super) enum Kind {
    Hold,
    Prefill,
    Run,
    Inspect,
    QueryStart,
    Order,
    Other,
}

/// A call that has not ended.
#[value]
pub(super) struct OpenCall {
    pub(super) request: call::Owner,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) kind: Kind,
    pub(super) started: Instant,
    /// When the call counts as failed unless there has been a response.
    pub(super) deadline: Option<Instant>,
    /// Load that it adds to the endpoint.
    pub(super) load: Load,
}

/// Target, step, timeout and load of a call to be made.
pub(super) struct Plan {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) step: call::Step,
    pub(super) timeout: Option<Duration>,
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
        self.tell_origin(now, id, &plan);
        self.open_call(now, effect, plan);
    }

    /// Makes a call that belongs to no request and is expected to be answered without delay.
    ///
    /// An endpoint that has asked for no calls, limits them, is cold or is in an evacuated data centre gets
    /// none: its reservations and computed prompts expire by themselves, and orders to it are planned
    /// again.
    pub(super) fn call_detached(
        &mut self,
        now: Instant,
        endpoint: Arc<Endpoint>,
        step: call::Step,
    ) {
        let wants_no_calls = self.fleet.health.backoff(now, &endpoint.id).is_some();
        let is_limited = self.fleet.limits.is_limited(now, &endpoint);
        let is_cold = self.fleet.warm_up.remaining(now, &endpoint).is_some();
        if wants_no_calls || is_limited || is_cold || self.is_evacuated(&endpoint) {
            return;
        }
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
        let plan =
            Plan { endpoint, step, timeout: Some(SHORT_CALL_TIMEOUT), load: Load::default() };
        self.open_call(now, effect, plan);
    }

    fn open_call(&mut self, now: Instant, call: effect::Call, plan: Plan) {
        let kind = match plan.step {
            call::Step::Hold { .. } => Kind::Hold,
            call::Step::Prefill => Kind::Prefill,
            call::Step::Run { .. } => Kind::Run,
            call::Step::Inspect => Kind::Inspect,
            call::Step::QueryStart => Kind::QueryStart,
            call::Step::Order(_) => Kind::Order,
            _ => Kind::Other,
        };
        self.fleet.loads.add(&plan.endpoint.id, plan.load);
        self.fleet.limits.record_call(now, &plan.endpoint);
        self.count_cold_call(now, &plan.endpoint, kind, call.request);
        let open = OpenCall {
            request: call.request,
            endpoint: plan.endpoint,
            kind,
            started: now,
            deadline: plan.timeout.map(|it| now + it),
            load: plan.load,
        };
        self.calls.insert(call.id, open);
        self.emit(Effect::Call(call));
    }

    /// Removes a call and its load; returns `None` if it is not open.
    pub(super) fn close_call(&mut self, id: call::Id) -> Option<OpenCall> {
        let open = self.calls.swap_remove(&id)?;
        self.fleet.loads.remove(&open.endpoint.id, open.load);
        if let Some(job) = open.request.and_then(|it| self.jobs.get_mut(&it)) {
            job.calls.retain(|it| *it != id);
        }
        Some(open)
    }

    /// Cancels the calls of a request that has been removed from the table, and releases its slot
    /// and its computed prompt.
    pub(super) fn clean_up(&mut self, now: Instant, job: &mut Job) {
        self.queue.remove(job.id);
        for call in std::mem::take(&mut job.calls) {
            match self.calls.get_mut(&call) {
                // The reservation is released once its name is known.
                Some(open) if open.kind == Kind::Hold => open.request = None,
                Some(open) if open.kind == Kind::Prefill => {
                    self.log_wasted_prompt(now, job, "request ended");
                    self.close_call(call);
                    self.emit(Effect::Cancel(call));
                }
                _ => {
                    self.close_call(call);
                    self.emit(Effect::Cancel(call));
                }
            }
        }
        if let Some(fallback) = job.fallback.take() {
            self.emit(Effect::Cancel(fallback));
        }
        self.drop_backup(job);
        self.free_prompt(now, job);
        self.release_slot(now, job);
    }

    /// Frees a computed prompt that no run has fetched.
    pub(super) fn free_prompt(&mut self, now: Instant, job: &mut Job) {
        let Some(prompt) = job.prompt.take() else { return };
        self.log_wasted_prompt(now, job, "not fetched");
        self.call_detached(now, prompt.endpoint, call::Step::Free { handle: prompt.handle.name });
    }

    /// Releases a request's slot at a decode engine.
    pub(super) fn release_slot(&mut self, now: Instant, job: &mut Job) {
        let Some(slot) = job.slot.take() else { return };
        self.fleet.warm_up.release(&slot.endpoint, job.id);
        self.fleet.loads.remove(&slot.endpoint.id, slot.load);
        if let Some(hold) = slot.hold {
            self.call_detached(now, slot.endpoint, call::Step::Release { hold });
        }
    }
}
