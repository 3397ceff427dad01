//! Simulated endpoints: engines that hold memory and plain services that record every execution.

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

/// Time after its computation at which a prefill result that was not imported expires.
const RESULT_TTL: Duration = Duration::from_millis(800);
/// Time after which an imported KV cache without a decode call is released.
const IDLE_HOLD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an engine holds memory after its stream broke or the calling instance was killed.
const BROKEN_STREAM_HOLD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without data after which a stream is reported to the calling instance as failed.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two chunks of a token stream.
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

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

/// Fault that is drawn for a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    RequestLost,
    ResponseLost,
    Unresponsive,
    Delayed,
    Duplicated,
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

    fn random_fault(&mut self) -> Fault {
        match self.rng.random_range(0..100) {
            n if n >= self.fault_percent => Fault::None,
            _ => {
                let faults = [
                    Fault::RequestLost,
                    Fault::ResponseLost,
                    Fault::Unresponsive,
                    Fault::Delayed,
                    Fault::Duplicated,
                ];
                faults[self.rng.random_range(0..faults.len())]
            }
        }
    }

    fn report(&mut self, at: Instant, call: &EndpointCall, outcome: Outcome) {
        let report = Report { request: call.request, attempt: call.attempt, outcome };
        self.push(at, Item::Report(call.instance.clone(), report));
    }

    fn report_failure(&mut self, at: Instant, call: &EndpointCall, sent: bool) {
        let next_index = self.relays.get(&call.request).map_or(0, |it| it.splice.next_index());
        self.report(at, call, Outcome::Failed { sent, next_index });
    }

    /// Reports the outcome of a call with the effects of its fault.
    fn report_outcome(
        &mut self,
        now: Instant,
        call: &EndpointCall,
        fault: Fault,
        outcome: Outcome,
    ) {
        let answer_at = now + Duration::from_millis(1) + self.random_millis(5);
        match fault {
            Fault::Unresponsive => {}
            Fault::RequestLost => {
                let at = now + self.random_millis(2_000);
                self.report_failure(at, call, true);
            }
            // The failure is reported first and the answer up to 1 s later, when the next attempt
            // may be running.
            Fault::ResponseLost => {
                let at = now + self.random_millis(1_000);
                let late_at = at + self.random_millis(1_000);
                self.report_failure(at, call, true);
                self.report(late_at, call, outcome);
            }
            Fault::Delayed => {
                let at = now + self.random_millis(15_000);
                self.report(at, call, outcome);
            }
            Fault::Duplicated => {
                let at = answer_at + self.random_millis(3_000);
                self.report(answer_at, call, outcome.clone());
                self.report(at, call, outcome);
            }
            Fault::None => self.report(answer_at, call, outcome),
        }
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

    fn prefill(&mut self, now: Instant, call: &EndpointCall, fault: Fault) {
        let kv = Name::from(format!("{}-{}", call.request, call.attempt));
        let done_at = now + Duration::from_millis(10) + self.random_millis(60);
        self.prefill_results.insert(kv.clone(), done_at + RESULT_TTL);
        self.report_outcome(done_at, call, fault, Outcome::Computed { kv, cached: 0 });
    }

    fn import(&mut self, now: Instant, call: &EndpointCall, fault: Fault, kv: &str) {
        if self.prefill_results.get(kv).is_none_or(|until| *until < now) {
            return self.report_outcome(now, call, fault, Outcome::Refused { status: 410 });
        }
        let held_count = self.holds.iter().filter(|it| it.endpoint == call.endpoint.name).count();
        if held_count >= call.endpoint.slots as usize {
            return self.report_outcome(now, call, fault, Outcome::Refused { status: 409 });
        }
        self.prefill_results.swap_remove(kv);
        self.holds.push(Hold {
            request: call.request,
            attempt: call.attempt,
            endpoint: call.endpoint.name.clone(),
            instance: call.instance.clone(),
            reserved_at: now,
            expires_at: Some(now + IDLE_HOLD_TIMEOUT),
            stream: 0,
        });
        self.report_outcome(now, call, fault, Outcome::Imported);
    }

    fn find_hold(&mut self, call: &EndpointCall) -> Option<&mut Hold> {
        self.holds.iter_mut().find(|it| {
            (it.request, it.attempt, &it.endpoint)
                == (call.request, call.attempt, &call.endpoint.name)
        })
    }

    fn decode(&mut self, now: Instant, call: EndpointCall, fault: Fault, index: u64) {
        self.last_id += 1;
        let stream = self.last_id;
        let Some(hold) = self.find_hold(&call) else {
            return self.report_outcome(now, &call, fault, Outcome::Refused { status: 410 });
        };
        (hold.stream, hold.expires_at) = (stream, None);
        let relay = self.relays.entry(call.request).or_default();
        relay.splice.begin(call.attempt);
        if fault == Fault::Unresponsive {
            self.report_failure(now + STREAM_TIMEOUT, &call, true);
        }
        let unresponsive = fault == Fault::Unresponsive;
        self.push(now + CHUNK_INTERVAL, Item::Chunk { call, index, stream, unresponsive });
    }

    fn send_chunk(
        &mut self,
        now: Instant,
        call: EndpointCall,
        index: u64,
        stream: u64,
        unresponsive: bool,
    ) {
        if self.find_hold(&call).is_none_or(|it| it.stream != stream) {
            return match unresponsive {
                true => {}
                false => self.report_failure(now, &call, true),
            };
        }
        let token_count = self.token_counts.get(&call.request).copied().unwrap_or(0);
        let end = token_count.min(index + self.rng.random_range(1..9));
        let relay = self.relays.entry(call.request).or_default();
        let was_empty = relay.tokens.is_empty();
        for index in (index..end).filter(|_| !unresponsive) {
            if relay.splice.accept(call.attempt, index) {
                relay.tokens.push((call.attempt, index));
            }
        }
        if was_empty && !relay.tokens.is_empty() {
            self.report(now, &call, Outcome::FirstByte);
        }
        match self.random_fault() {
            _ if unresponsive && end < token_count => {}
            _ if end >= token_count => return self.end_stream(now, &call, unresponsive),
            Fault::RequestLost | Fault::ResponseLost => return self.break_stream(now, &call),
            Fault::Unresponsive => {
                self.report_failure(now + STREAM_TIMEOUT, &call, true);
                let chunk = Item::Chunk { call, index: end, stream, unresponsive: true };
                return self.push(now + CHUNK_INTERVAL, chunk);
            }
            _ => {}
        }
        self.push(now + CHUNK_INTERVAL, Item::Chunk { call, index: end, stream, unresponsive });
    }

    fn end_stream(&mut self, now: Instant, call: &EndpointCall, unresponsive: bool) {
        self.drop_hold(call.request, call.attempt, &call.endpoint.name);
        let relay = self.relays.entry(call.request).or_default();
        let tokens = relay.splice.next_index();
        match self.random_fault() {
            _ if unresponsive => {}
            Fault::Duplicated => self.report_outcome(
                now,
                call,
                Fault::Duplicated,
                Outcome::Completed { tokens, answer: None },
            ),
            _ => self.report(now, call, Outcome::Completed { tokens, answer: None }),
        }
    }

    fn break_stream(&mut self, now: Instant, call: &EndpointCall) {
        if let Some(hold) = self.find_hold(call) {
            (hold.stream, hold.expires_at) = (0, Some(now + BROKEN_STREAM_HOLD_TIMEOUT));
        }
        self.report_failure(now, call, true);
    }

    fn forward(&mut self, now: Instant, call: &EndpointCall, fault: Fault) {
        self.executed.push(call.request);
        let body = format!("run {}", self.executed.len());
        let response = Response { status: 200, content_type: "text/plain".into(), body };
        let done_at = now + self.random_millis(50);
        let outcome = Outcome::Completed { tokens: 0, answer: Some(response.into()) };
        self.report_outcome(done_at, call, fault, outcome);
    }

    fn drop_hold(&mut self, request: Id, attempt: u32, endpoint: &str) {
        self.holds
            .retain(|it| (it.request, it.attempt, &*it.endpoint) != (request, attempt, endpoint));
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
