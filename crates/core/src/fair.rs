//! Weighted fair queueing over the teams that wait for a pool.
//!
//! Start-time fair queueing: each team has a virtual finish time that grows with the expected cost
//! of what it was given, divided by its weight; the backlogged team with the smallest start time
//! goes first. Urgent requests go before patient ones of the same team, until a patient one has
//! waited for [`AGEING`].

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant,
    object::{Name, Urgency},
    request,
};

/// Time after which a patient request goes before newer urgent ones of its team.
pub const AGEING: Duration = Duration::from_secs(10);

/// A request that waits.
#[value]
pub struct Item {
    /// The request.
    pub request: request::Id,
    /// Its team.
    pub team: Name,
    /// Weight of the team.
    pub weight: u32,
    /// How long it may wait.
    pub urgency: Urgency,
    /// When it arrived.
    pub arrived: Instant,
    /// Expected cost, in tokens of prompt and output.
    pub cost: u64,
}

/// One team's part of the queue.
#[value(default)]
struct Flow {
    urgent: VecDeque<Item>,
    patient: VecDeque<Item>,
    finish: i64,
}

/// The queue of one pool.
#[value(default)]
pub struct Queue {
    flows: IndexMap<Name, Flow>,
    virtual_time: i64,
    len: usize,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, item: Item) {
        let flow = self.flows.entry(item.team.clone()).or_default();
        match item.urgency {
            Urgency::Urgent => flow.urgent.push_back(item),
            Urgency::Patient => flow.patient.push_back(item),
        }
        self.len += 1;
    }

    /// Takes the first request in fair order that `fits`, and charges its team.
    ///
    /// Of each team only the request that is next there is asked for.
    pub fn pop_where(&mut self, now: Instant, mut fits: impl FnMut(&Item) -> bool) -> Option<Item> {
        let mut order: Vec<(i64, usize)> = self
            .flows
            .values()
            .enumerate()
            .filter(|(_, flow)| flow.next(now).is_some())
            .map(|(index, flow)| (flow.finish.max(self.virtual_time), index))
            .collect();
        order.sort_unstable();
        let (start, index) = order
            .into_iter()
            .find(|(_, index)| self.flows[*index].next(now).is_some_and(&mut fits))?;
        let flow = &mut self.flows[index];
        let item = flow.take(now)?;
        flow.finish = start + share(item.cost as i64, item.weight);
        self.virtual_time = self.virtual_time.max(start);
        self.len -= 1;
        Some(item)
    }

    /// Corrects the charge of a team by what was used above (or below) the expected cost.
    pub fn correct(&mut self, team: &str, weight: u32, tokens: i64) {
        if let Some(flow) = self.flows.get_mut(team) {
            flow.finish += share(tokens, weight);
        }
    }

    /// Removes a request; returns whether it was there.
    pub fn remove(&mut self, request: request::Id) -> bool {
        let before = self.len;
        for flow in self.flows.values_mut() {
            for queue in [&mut flow.urgent, &mut flow.patient] {
                let len = queue.len();
                queue.retain(|it| it.request != request);
                self.len -= len - queue.len();
            }
        }
        self.len < before
    }

    /// Iterates over the waiting requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.flows.values().flat_map(|flow| flow.urgent.iter().chain(&flow.patient))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl Flow {
    fn patient_first(&self, now: Instant) -> bool {
        let aged = self.patient.front().is_some_and(|it| now.since(it.arrived) >= AGEING);
        aged || self.urgent.is_empty()
    }

    fn next(&self, now: Instant) -> Option<&Item> {
        match self.patient_first(now) {
            true => self.patient.front(),
            false => self.urgent.front(),
        }
    }

    fn take(&mut self, now: Instant) -> Option<Item> {
        match self.patient_first(now) {
            true => self.patient.pop_front(),
            false => self.urgent.pop_front(),
        }
    }
}

fn share(tokens: i64, weight: u32) -> i64 {
    tokens * 1_000 / i64::from(weight.max(1))
}
