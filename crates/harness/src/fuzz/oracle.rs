//! Invariants of the fuzz, checked against the effects of instances and the state of endpoints.

use std::{fmt, time::Duration};

use indexmap::{IndexMap, IndexSet};
use siskinstile_core::{
    Effect, Instant,
    error::{Kind as Error, Ran},
    object::Name,
    request::Id,
};

use super::{
    case::Kind,
    model::{Hold, Model},
};
use crate::world::Output;

/// Longest time for which engine memory may stay held after its request has ended, or after the
/// reservation if that is later.
const MAX_HOLD_TIME: Duration = Duration::from_secs(8);
/// Time before the reservation of a hold in which the peers that record it are notified; a peer
/// disturbed in this time may not have recorded it.
const PEER_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Longest time after adopting a leaving mark in which an instance may still send new work.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

/// An invariant; its name is printed in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// A request is answered at most once.
    Once,
    /// A completed answer has every token exactly once and in order.
    Whole,
    /// A non-idempotent request, or one idempotency key, is executed at most once.
    RunOnce,
    /// A request that fails with `ran: no` has reached no endpoint.
    NotRun,
    /// No engine memory stays held for requests that have ended.
    NoHold,
    /// Every request is answered by the end of the run, unless its caller disconnects or its
    /// instance dies.
    Answered,
    /// An idempotency key does not stay in use after all faults have ended.
    KeyFree,
    /// An instance sends no new work to an endpoint from a short time after it has adopted its
    /// leaving mark.
    Leaving,
    /// A planned stop leaves no request unanswered.
    NoCut,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// Virtual time and description of what was observed.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.text)
    }
}

/// A request from its caller's point of view.
#[derive(Debug, Clone)]
pub struct Request {
    /// Instance to which the caller is connected.
    pub instance: Name,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of its idempotency key, if it has one.
    pub key: Option<u64>,
    /// Time at which it was answered, its caller disconnected or its instance died.
    pub ended_at: Option<Instant>,
    /// Whether its instance died before it ended.
    pub is_lost: bool,
    /// The error that it was answered with.
    pub error: Option<Error>,
    answer_count: u32,
    reported_not_run: bool,
}

/// Records what happens in a run and checks the invariants.
#[derive(Default)]
pub struct Oracle {
    /// All requests by identifier.
    pub requests: IndexMap<Id, Request>,
    /// Instances that finished a planned stop since the runner last took the list.
    pub newly_stopped: Vec<Name>,
    /// Time of the planned stop of each instance that has not restarted since.
    pub stopped_at: IndexMap<Name, Instant>,
    /// Violations found so far.
    pub violations: Vec<Violation>,
    /// End of each disturbance and the instance that it affects.
    disturbances: Vec<(Instant, Name)>,
    /// Time at which an instance adopted the leaving mark of an endpoint, by instance and endpoint.
    leaving_since: IndexMap<(Name, Name), Instant>,
}

impl Oracle {
    /// Records a request that is sent to a running instance.
    pub fn record_request(&mut self, id: Id, instance: &Name, kind: Kind, key: Option<u64>) {
        let request = Request {
            instance: instance.clone(),
            kind,
            key,
            ended_at: None,
            is_lost: false,
            error: None,
            answer_count: 0,
            reported_not_run: false,
        };
        self.requests.insert(id, request);
    }

    /// Records that the caller of a request has disconnected.
    pub fn record_disconnect(&mut self, now: Instant, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended_at.get_or_insert(now);
        }
    }

    /// Records that an instance is disturbed until `until`: dead, paused, or with degraded links.
    pub fn record_disturbance(&mut self, until: Instant, instance: &Name) {
        self.disturbances.push((until, instance.clone()));
    }

    /// Records the death of an instance, which ends its open requests.
    pub fn record_kill(&mut self, now: Instant, instance: &Name) {
        for request in self.requests.values_mut().filter(|it| it.instance == *instance) {
            if request.ended_at.is_none() {
                (request.ended_at, request.is_lost) = (Some(now), true);
            }
        }
        self.leaving_since.retain(|(name, _), _| name != instance);
    }

    fn record_violation(&mut self, now: Instant, invariant: Invariant, text: String) {
        let text = format!("at {} ms, {text}", now.as_millis());
        self.violations.push(Violation { invariant, text });
    }

    /// Records an effect of an instance and checks the invariants that concern it.
    pub fn observe(&mut self, output: &Output, model: &Model) {
        let at = output.at;
        match &output.effect {
            Effect::Fail { request, failure } => {
                self.record_answer(at, *request);
                let Some(request) = self.requests.get_mut(request) else { return };
                request.error = Some(failure.kind);
                request.reported_not_run = failure.ran == Ran::No;
            }
            Effect::Replay { request, .. } => self.record_answer(at, *request),
            Effect::Finish { request } => {
                self.record_answer(at, *request);
                self.check_complete(at, *request, model);
            }
            Effect::Stopped => self.record_stop(at, &output.instance),
            Effect::Adopt(config) => {
                for endpoint in config.pools().flat_map(|pool| &pool.endpoints) {
                    let key = (output.instance.clone(), endpoint.name.clone());
                    match endpoint.leaving {
                        true => drop(self.leaving_since.entry(key).or_insert(at)),
                        false => drop(self.leaving_since.swap_remove(&key)),
                    }
                }
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, at: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answer_count += 1;
        request.ended_at.get_or_insert(at);
        if request.answer_count > 1 {
            self.record_violation(at, Invariant::Once, format!("{id} was answered more than once"));
        }
    }

    fn check_complete(&mut self, at: Instant, id: Id, model: &Model) {
        let Some(request) = self.requests.get(&id) else { return };
        let relay = model.relays.get(&id).cloned().unwrap_or_default();
        let token_count = model.token_counts.get(&id).copied().unwrap_or(0);
        let in_order = relay.tokens.iter().enumerate().all(|(n, it)| it.1 == n as u64);
        let is_complete = match request.kind {
            Kind::Completion => in_order && relay.tokens.len() as u64 == token_count,
            Kind::Lookup | Kind::Issue => relay.is_complete,
        };
        if !is_complete {
            let text = format!("{id} ended with {} of {token_count} tokens", relay.tokens.len());
            self.record_violation(at, Invariant::Whole, text);
        }
    }

    fn record_stop(&mut self, at: Instant, instance: &Name) {
        self.newly_stopped.push(instance.clone());
        let is_open = |it: &&Request| it.instance == *instance && it.ended_at.is_none();
        let open_count = self.requests.values().filter(is_open).count();
        if open_count > 0 {
            self.record_violation(
                at,
                Invariant::NoCut,
                format!("{instance} stopped with {open_count} requests open"),
            );
        }
    }

    /// Checks the calls of endpoints since the last check, and the current holds.
    pub fn check(&mut self, now: Instant, model: &mut Model) {
        for (at, instance, endpoint) in std::mem::take(&mut model.new_work) {
            let since = self.leaving_since.get(&(instance.clone(), endpoint.clone()));
            if since.is_some_and(|since| at.since(*since) > MAX_LEAVING_DELAY) {
                let text = format!("{instance} sent new work to {endpoint}, which is leaving");
                self.record_violation(at, Invariant::Leaving, text);
            }
        }
        for hold in &model.holds {
            self.check_hold(now, hold);
        }
    }

    /// Checks that a hold whose request has ended is released.
    ///
    /// Two peers record each hold and cancel it if its instance dies. A hold is therefore not
    /// checked if two or more other instances were disturbed after or shortly before the
    /// reservation, or had stopped before it.
    fn check_hold(&mut self, now: Instant, hold: &Hold) {
        let Some(request) = self.requests.get(&hold.request) else { return };
        let Some(ended_at) = request.ended_at else { return };
        if now.since(ended_at.max(hold.reserved_at)) < MAX_HOLD_TIME {
            return;
        }
        let notice_start = hold.reserved_at - PEER_NOTICE_TIME;
        let unavailable_peers: IndexSet<&Name> = self
            .disturbances
            .iter()
            .filter(|(until, name)| *until >= notice_start && *name != hold.instance)
            .map(|(_, name)| name)
            .chain(
                self.stopped_at
                    .iter()
                    .filter(|(_, at)| **at <= hold.reserved_at)
                    .map(|(name, _)| name),
            )
            .collect();
        if unavailable_peers.len() <= 1 {
            let text = format!("{} still holds memory for {}", hold.endpoint, hold.request);
            self.record_violation(now, Invariant::NoHold, text);
        }
    }

    /// Checks the invariants that concern a whole run, after all faults have ended and the requests
    /// have had time to end.
    pub fn check_final(&mut self, now: Instant, model: &Model) {
        let open: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, it)| it.ended_at.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.record_violation(now, Invariant::Answered, format!("{id} has no answer"));
        }
        let wrongly_reported = self
            .requests
            .iter()
            .filter(|(id, it)| it.reported_not_run && model.received.contains(*id));
        for id in wrongly_reported.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.record_violation(
                now,
                Invariant::NotRun,
                format!("{id} was reported as not run but had reached an endpoint"),
            );
        }
        self.check_executions(now, model);
    }

    fn check_executions(&mut self, now: Instant, model: &Model) {
        let mut executed: IndexMap<String, u32> = IndexMap::new();
        for id in &model.executed {
            match self.requests.get(id) {
                Some(Request { kind: Kind::Issue, key: Some(key), .. }) => {
                    *executed.entry(format!("key {key}")).or_default() += 1;
                }
                Some(Request { kind: Kind::Issue, key: None, .. }) => {
                    *executed.entry(id.to_string()).or_default() += 1;
                }
                _ => {}
            }
        }
        for (name, count) in executed.into_iter().filter(|(_, count)| *count > 1) {
            self.record_violation(now, Invariant::RunOnce, format!("{name} ran {count} times"));
        }
    }

    /// Checks that a request that reuses an idempotency key after all faults have ended was not
    /// refused because the key is in use.
    pub fn check_retry(&mut self, now: Instant, id: Id) {
        if self.requests.get(&id).is_some_and(|it| it.error == Some(Error::InProgress)) {
            self.record_violation(
                now,
                Invariant::KeyFree,
                format!("{id} found its idempotency key still in use"),
            );
        }
    }
}
