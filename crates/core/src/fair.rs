//! Weighted fair queueing over the teams that wait for a pool.
//!
//! The scheme is start-time fair queueing. Each team has a virtual finish time, which grows with
//! the expected cost of its requests divided by its weight. The backlogged team with the lowest
//! start time goes first. Within a team, urgent requests go before patient ones, until a patient
//! one has waited for [`AGEING`].

mod departure;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant,
    object::{Name, Urgency},
    request,
};

use departure::Rate;

/// Units of virtual time per token at weight 1.
const SCALE: i64 = 1_000;
/// Waiting time after which a patient request goes before the urgent ones of its team.
pub const AGEING: Duration = Duration::from_secs(10);

/// A queued request.
#[value]
pub struct Item {
    /// Identifier of the request.
    pub request: request::Id,
    /// Name of its team; the flow to which it belongs.
    pub team: Name,
    /// Weight of the team.
    pub weight: u32,
    /// Latency class of its route.
    pub urgency: Urgency,
    /// Time from which its age counts.
    pub arrived: Instant,
    /// Expected cost, in tokens of prompt and output.
    pub cost: u64,
}

/// Sort key of a flow: its virtual time, then the order of insertion.
type OrderKey = (i64, u64);

/// The queued requests of one team.
#[value(default)]
struct Flow {
    urgent: VecDeque<Item>,
    patient: VecDeque<Item>,
    /// Virtual finish time of the last request served, from which the next one starts.
    finish: i64,
    /// Key among the backlogged flows, or among the idle ones if nothing is queued.
    key: OrderKey,
}

/// The queue of one pool.
///
/// A flow is dropped once it is idle and the virtual time has passed its finish time.
#[value(default)]
pub struct Queue {
    flows: IndexMap<Name, Flow>,
    /// Flows with queued requests, by start time.
    backlogged: BTreeMap<OrderKey, Name>,
    /// Flows without queued requests, by finish time.
    idle: BTreeMap<OrderKey, Name>,
    teams_by_request: IndexMap<request::Id, Name>,
    virtual_time: i64,
    sequence: u64,
    departures: Rate,
}

impl Queue {
    /// Queues a request behind those of the same team and class.
    pub fn push(&mut self, item: Item) {
        let team = item.team.clone();
        self.teams_by_request.insert(item.request, team.clone());
        let flow = self.flows.entry(team.clone()).or_default();
        let was_idle = flow.is_empty();
        match item.urgency {
            Urgency::Urgent => flow.urgent.push_back(item),
            Urgency::Patient => flow.patient.push_back(item),
        }
        if was_idle {
            let start = flow.finish.max(self.virtual_time);
            self.reorder(&team, start);
        }
    }

    /// Removes the first request in fair order for which `fits` returns true, and charges its team.
    ///
    /// Only the next request of each team is considered.
    pub fn pop_where(&mut self, now: Instant, mut fits: impl FnMut(&Item) -> bool) -> Option<Item> {
        let lowest_start = self.backlogged.first_key_value()?.0.0;
        let (start, team) = self.backlogged.iter().find_map(|((start, _), team)| {
            let next = self.flows[team].next(now)?;
            fits(next).then(|| (*start, team.clone()))
        })?;
        let flow = &mut self.flows[&team];
        let item = flow.take(now)?;
        flow.finish = start + virtual_cost(item.cost as i64, item.weight);
        let finish = flow.finish;
        self.teams_by_request.swap_remove(&item.request);
        self.virtual_time = self.virtual_time.max(lowest_start);
        self.reorder(&team, finish);
        self.drop_idle();
        self.departures.record(now);
        Some(item)
    }

    /// Adjusts the charge of a team by the difference between actual and expected cost, in tokens.
    ///
    /// A flow's finish time never falls below the current virtual time, so that a team gains no
    /// credit from unused cost.
    pub fn correct(&mut self, team: &str, weight: u32, tokens: i64) {
        let extra = virtual_cost(tokens, weight);
        let virtual_now = self.virtual_time;
        let name: Name = team.into();
        let flow = self.flows.entry(name.clone()).or_default();
        let base = if flow.is_empty() { flow.finish.max(virtual_now) } else { flow.key.0 };
        flow.finish = (base + extra).max(virtual_now);
        let finish = flow.finish;
        self.reorder(&name, finish);
        self.drop_idle();
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, request: request::Id) -> bool {
        let Some(team) = self.teams_by_request.swap_remove(&request) else { return false };
        let flow = &mut self.flows[&team];
        flow.urgent.retain(|it| it.request != request);
        flow.patient.retain(|it| it.request != request);
        if flow.is_empty() {
            let finish = flow.finish;
            self.reorder(&team, finish);
            self.drop_idle();
        }
        true
    }

    /// Iterates over the queued requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.flows.values().flat_map(|flow| flow.urgent.iter().chain(&flow.patient))
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.teams_by_request.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.teams_by_request.is_empty()
    }

    /// Returns the number of teams with state, idle ones included.
    pub fn teams(&self) -> usize {
        self.flows.len()
    }

    /// Returns the expected time until the queued requests have left, at the recent departure rate.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.departures.time_for(now, self.len() as u32)
    }

    /// Moves a flow to its position among the backlogged or idle flows, at a virtual time.
    fn reorder(&mut self, team: &Name, at: i64) {
        self.sequence += 1;
        let flow = &mut self.flows[team];
        self.backlogged.remove(&flow.key);
        self.idle.remove(&flow.key);
        flow.key = (at, self.sequence);
        match flow.is_empty() {
            true => self.idle.insert(flow.key, team.clone()),
            false => self.backlogged.insert(flow.key, team.clone()),
        };
    }

    /// Drops the idle flows that the virtual time has passed. With no backlogged flow, the virtual
    /// time advances past all of them, since no team has to wait for another.
    fn drop_idle(&mut self) {
        match self.idle.last_key_value() {
            Some((key, _)) if self.backlogged.is_empty() => {
                self.virtual_time = self.virtual_time.max(key.0)
            }
            _ => {}
        }
        while let Some(entry) = self.idle.first_entry() {
            if entry.key().0 > self.virtual_time {
                return;
            }
            self.flows.swap_remove(&entry.remove());
        }
    }
}

impl Flow {
    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.patient.is_empty()
    }

    fn is_patient_next(&self, now: Instant) -> bool {
        let aged = self.patient.front().is_some_and(|it| now.since(it.arrived) >= AGEING);
        aged || self.urgent.is_empty()
    }

    fn next(&self, now: Instant) -> Option<&Item> {
        match self.is_patient_next(now) {
            true => self.patient.front(),
            false => self.urgent.front(),
        }
    }

    fn take(&mut self, now: Instant) -> Option<Item> {
        match self.is_patient_next(now) {
            true => self.patient.pop_front(),
            false => self.urgent.pop_front(),
        }
    }
}

fn virtual_cost(tokens: i64, weight: u32) -> i64 {
    tokens.saturating_mul(SCALE) / i64::from(weight.max(1))
}
