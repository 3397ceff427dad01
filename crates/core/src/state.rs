//! The control state of an instance, which maps events to effects.
//!
//! A request passes through the submodules in this order: `admission` checks route, key and rate
//! limit, `claims` creates a claim on the platform if the request is not idempotent and has an
//! idempotency key, `dispatch` queues it for placement, and `attempts` executes it at endpoints
//! until it is answered. `control` maintains the configuration and the members.

mod admission;
mod attempts;
mod claims;
mod control;
mod dispatch;
mod drain;
mod fault;
mod holds;
mod keys;
mod limits;
mod members;
mod messages;
mod quarantine;
mod retries;
mod sweeping;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{
    Config, Effect, Event, Instant, Query, burn,
    effect::Reply,
    error::{Failure, Ran},
    fault::Fault,
    hold, limit,
    log::{self, Record},
    member,
    object::Name,
    place, publish,
    quarantine::Quarantine,
    request, retry, sweep, sync, trace,
};

/// Interval between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(50);

/// Identity and settings of an instance.
#[value]
pub struct Settings {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation, higher after each restart.
    pub incarnation: u64,
    /// Name of the data centre.
    pub datacentre: Name,
    /// Number of instances that the first start of the fleet waits for, up to a time limit, before
    /// one of them creates the table of participants, which share the teams' rates.
    pub fleet_size: u64,
    /// Time between reporting unready and refusing new requests: the time that the load balancer
    /// takes to stop sending them.
    pub balancer_lag: Duration,
}

/// The control state of one instance.
#[value]
pub struct State {
    settings: Settings,
    config: Arc<Config>,
    sync: sync::Sync,
    members: member::Table,
    limiter: limit::Limiter,
    dispatcher: place::Dispatcher,
    forwarding: dispatch::Forwarding,
    requests: IndexMap<request::Id, request::Request>,
    burn: burn::Report,
    trace: trace::Ring,
    draining_since: Option<Instant>,
    idle_ticks: u32,
    stopped: bool,
    holds: hold::Registry,
    budgets: IndexMap<Name, retry::Budget>,
    quarantine: Quarantine,
    ends: quarantine::Ends,
    pending_outcomes: IndexMap<request::Id, claims::PendingOutcome>,
    sweeper: sweep::Sweeper,
    injected: Option<Fault>,
    publisher: publish::Publisher,
    schedule: members::Schedule,
    lifecycle: control::Lifecycle,
    participants_read_at: Option<Instant>,
    participants_overdue: bool,
    effects: Vec<Effect>,
}

impl State {
    /// Creates the state of an instance that has just started, and its first effects.
    pub fn new(settings: Settings) -> (State, Vec<Effect>) {
        let limiter = limit::Limiter::new(
            settings.name.clone(),
            settings.incarnation,
            settings.datacentre.clone(),
        );
        let publisher = publish::Publisher::new(settings.name.clone(), settings.incarnation);
        let mut state = State {
            settings,
            config: Arc::new(Config::default()),
            sync: sync::Sync::default(),
            members: member::Table::default(),
            limiter,
            dispatcher: place::Dispatcher::default(),
            forwarding: dispatch::Forwarding::default(),
            requests: IndexMap::new(),
            burn: burn::Report::default(),
            trace: trace::Ring::default(),
            draining_since: None,
            idle_ticks: 0,
            stopped: false,
            holds: hold::Registry::default(),
            budgets: IndexMap::new(),
            quarantine: Quarantine::default(),
            ends: quarantine::Ends::default(),
            pending_outcomes: IndexMap::new(),
            sweeper: sweep::Sweeper::default(),
            injected: None,
            publisher,
            schedule: members::Schedule::default(),
            lifecycle: control::Lifecycle::default(),
            participants_read_at: None,
            participants_overdue: false,
            effects: Vec::new(),
        };
        state.start();
        let effects = std::mem::take(&mut state.effects);
        (state, effects)
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.holds.record_event(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Arrival(arrival) => self.handle_arrival(now, arrival),
            Event::Disconnected(request) => self.caller_disconnected(now, request),
            Event::Report(report) => self.handle_report(now, report),
            Event::Message(envelope) => self.handle_message(now, envelope),
            Event::StoreAnswered { tag, answer } => self.handle_store_answer(now, tag, answer),
            Event::Load { endpoint, running, queued } => {
                self.dispatcher.record_load(&endpoint, running, queued);
            }
            Event::Evicted { endpoint, prefix } => self.dispatcher.drop_prefix(&endpoint, prefix),
            Event::Drain => self.begin_drain(now),
            Event::Query { id, query } => self.query(now, id, query),
        }
        self.flush_limiter(now);
        self.place(now);
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Instant) {
        self.control_tick(now);
        self.limit_tick(now);
        self.dispatch_tick(now);
        self.hold_tick(now);
        self.attempt_tick(now);
        self.quarantine_tick(now);
        self.claim_tick(now);
        self.sweep_tick(now);
        self.drain_tick(now);
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the tokens granted and refunded since the last call; recording starts with the first
    /// call.
    pub fn take_grants(&mut self) -> Vec<limit::Entry> {
        self.limiter.take_journal()
    }

    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn log(&mut self, code: log::Code, detail: impl Into<String>) {
        self.emit(Effect::Log(Record::new(code, detail)));
    }

    /// Ends a request with an error. All errors to callers pass through here.
    ///
    /// The error reports the request as not executed only if no byte of it can have been sent.
    fn fail(&mut self, now: Instant, request: request::Id, mut failure: Failure) {
        let sent = self.requests.get(&request).is_some_and(|it| it.sent || it.is_running());
        if sent && failure.ran == Ran::No && !self.has_fault(Fault::ReportNotRun) {
            failure.ran = Ran::Unknown;
        }
        self.record_failure(request, failure.ran);
        self.end_attempt(now, request);
        self.requests.swap_remove(&request);
        self.emit(Effect::Fail { request, failure });
    }

    fn query(&mut self, now: Instant, id: u64, query: Query) {
        let reply = match query {
            Query::Status => Reply::Value(self.status(now)),
            Query::Explain(request) => Reply::Value(self.trace.explain(request)),
            Query::Burn => Reply::Burn(Box::new(self.burn.snapshot(now, &self.config.set))),
        };
        self.emit(Effect::Reply { id, reply });
    }

    fn status(&mut self, now: Instant) -> Value {
        json!({
            "instance": self.settings.name,
            "incarnation": self.settings.incarnation,
            "datacentre": self.settings.datacentre,
            "generation": self.config.generation,
            "requests": self.requests.len(),
            "draining": self.draining_since.is_some(),
            "members": self.members.iter().count(),
            "configuration": self.control_status(now),
            "teams": self.limiter.status(now),
        })
    }
}
