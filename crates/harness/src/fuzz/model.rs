//! Simulated endpoints: engines that hold memory and plain services that record every execution.

mod engine;
mod fault;

use std::{collections::BTreeMap, time::Duration};

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    Instant,
    object::{self, Name, Role},
    request::{Id, Outcome, Report, Response, Step},
    splice::Splice,
};

use crate::world::{EndpointCall, Endpoints};

use fault::Fault;

/// Time for which an engine holds memory after its stream broke or the calling instance was killed.
const BROKEN_STREAM_HOLD_TIMEOUT: Duration = Duration::from_secs(10);

/// Engine memory held for an attempt.
#[derive(Debug, Clone)]
pub struct Hold {
    /// Identifier of the request.
    pub request: Id,
    /// Number of the attempt.
    pub attempt: u32,
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Name of the instance that reserved it.
    pub instance: Name,
    /// Time at which it was reserved.
    pub reserved_at: Instant,
    /// Time at which the engine releases it on its own; none while a stream runs.
    expires_at: Option<Instant>,
    /// Number of the stream that uses it; 0 before the first and after a broken one.
    stream: u64,
}

/// The part of a response that has reached its caller.
#[derive(Debug, Clone, Default)]
pub struct Relay {
    splice: Splice,
    /// Attempt and index of each token passed on to the caller.
    pub tokens: Vec<(u32, u64)>,
    /// Whether the answer of a plain service arrived completely.
    pub is_complete: bool,
}

enum Item {
    Call { call: EndpointCall, fault: Fault },
    Chunk { call: EndpointCall, index: u64, stream: u64, unresponsive: bool },
    Cancel { request: Id, attempt: u32, endpoint: Name },
    Report(Name, Report),
}

/// The simulated endpoints.
pub struct Model {
    /// Share of calls that get a fault, in percent.
    pub fault_percent: u32,
    /// Engine memory that is held now.
    pub holds: Vec<Hold>,
    /// Requests executed by plain services, in order; one entry for each execution.
    pub executed: Vec<Id>,
    /// Requests of which an endpoint has received at least one step.
    pub received: IndexSet<Id>,
    /// What each caller has received.
    pub relays: IndexMap<Id, Relay>,
    /// Number of tokens of the complete response to each request.
    pub token_counts: IndexMap<Id, u64>,
    /// Calls other than decode since the oracle's last check: time, calling instance and endpoint.
    pub new_work: Vec<(Instant, Name, Name)>,
    down_until: IndexMap<Name, Instant>,
    prefill_results: IndexMap<Name, Instant>,
    queue: BTreeMap<(Instant, u64), Item>,
    last_id: u64,
    rng: ChaCha8Rng,
}

impl Model {
    /// Creates endpoints that work without faults.
    pub fn new(seed: u64) -> Model {
        Model {
            fault_percent: 0,
            holds: Vec::new(),
            executed: Vec::new(),
            received: IndexSet::new(),
            relays: IndexMap::new(),
            token_counts: IndexMap::new(),
            new_work: Vec::new(),
            down_until: IndexMap::new(),
            prefill_results: IndexMap::new(),
            queue: BTreeMap::new(),
            last_id: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes an endpoint down until `until`; the memory it holds is lost.
    pub fn take_down(&mut self, endpoint: &str, until: Instant) {
        self.down_until.insert(endpoint.into(), until);
        self.holds.retain(|it| &*it.endpoint != endpoint);
    }

    fn is_down(&self, now: Instant, endpoint: &str) -> bool {
        self.down_until.get(endpoint).is_some_and(|until| *until > now)
    }

    fn push(&mut self, at: Instant, item: Item) {
        self.last_id += 1;
        self.queue.insert((at, self.last_id), item);
    }

    fn random_millis(&mut self, below: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..below))
    }

    fn handle_call(&mut self, now: Instant, call: EndpointCall, fault: Fault) {
        if self.is_down(now, &call.endpoint.name) {
            return self.report_failure(now, &call, false);
        }
        if fault == Fault::RequestLost {
            // This outcome is never reported: a lost request is reported as failed.
            let outcome = Outcome::Refused { status: 500 };
            return self.report_outcome(now, &call, fault, outcome);
        }
        self.received.insert(call.request);
        match call.step.clone() {
            Step::Prefill => self.prefill(now, &call, fault),
            Step::Import { kv, .. } => self.import(now, &call, fault, &kv),
            Step::Decode { from_index } => self.decode(now, call, fault, from_index),
            Step::Forward => self.forward(now, &call, fault),
        }
    }

    fn forward(&mut self, now: Instant, call: &EndpointCall, fault: Fault) {
        self.executed.push(call.request);
        let body = format!("run {}", self.executed.len());
        let response = Response { status: 200, content_type: "text/plain".into(), body };
        let done_at = now + self.random_millis(50);
        let outcome = Outcome::Completed { tokens: 0, answer: Some(response.into()) };
        self.report_outcome(done_at, call, fault, outcome);
    }

    /// Records a plain answer as received by the caller, if its attempt is the current one.
    fn record_plain_answer(&mut self, report: &Report) {
        if let Outcome::Completed { answer: Some(_), .. } = report.outcome {
            let relay = self.relays.entry(report.request).or_default();
            relay.is_complete |= relay.splice.is_current(report.attempt);
        }
    }
}

impl Endpoints for Model {
    fn call(&mut self, now: Instant, call: EndpointCall) {
        if !matches!(call.step, Step::Decode { .. }) {
            self.new_work.push((now, call.instance.clone(), call.endpoint.name.clone()));
        }
        if call.endpoint.role == Role::Plain {
            self.relays.entry(call.request).or_default().splice.begin(call.attempt);
        }
        let fault = self.random_fault();
        let delay = match fault {
            Fault::Delayed => self.random_millis(1_500),
            _ => Duration::from_millis(1),
        };
        self.push(now + delay, Item::Call { call, fault });
    }

    fn cancel(&mut self, now: Instant, request: Id, attempt: u32, endpoint: &object::Endpoint) {
        let is_slow = self.random_fault() != Fault::None;
        let delay = if is_slow { self.random_millis(1_000) } else { Duration::from_millis(1) };
        let endpoint = endpoint.name.clone();
        self.push(now + delay, Item::Cancel { request, attempt, endpoint });
    }

    fn next_at(&self) -> Option<Instant> {
        let next_queued = self.queue.keys().next().map(|it| it.0);
        let next_expiry = self.holds.iter().filter_map(|it| it.expires_at).min();
        next_queued.into_iter().chain(next_expiry).min()
    }

    fn advance(&mut self, now: Instant) -> Vec<(Name, Report)> {
        let mut reports = Vec::new();
        self.holds.retain(|it| it.expires_at.is_none_or(|at| at > now));
        while let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= now) {
            match entry.remove() {
                Item::Call { call, fault } => self.handle_call(now, call, fault),
                Item::Chunk { call, index, stream, unresponsive } => {
                    self.send_chunk(now, call, index, stream, unresponsive);
                }
                Item::Cancel { request, attempt, endpoint } => {
                    self.drop_hold(request, attempt, &endpoint);
                }
                Item::Report(instance, report) => {
                    self.record_plain_answer(&report);
                    reports.push((instance, report));
                }
            }
        }
        reports
    }

    fn disconnect(&mut self, now: Instant, instance: &str) {
        self.queue.retain(|_, item| match item {
            Item::Report(name, _) => &**name != instance,
            Item::Chunk { call, .. } => &*call.instance != instance,
            Item::Call { .. } | Item::Cancel { .. } => true,
        });
        for hold in self.holds.iter_mut().filter(|it| &*it.instance == instance) {
            hold.expires_at.get_or_insert(now + BROKEN_STREAM_HOLD_TIMEOUT);
        }
    }
}
