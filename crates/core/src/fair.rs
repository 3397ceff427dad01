//! Weighted fair queueing over the teams that wait for a pool.
//!
//! Start-time fair queueing: each team has a virtual finish time that grows with the expected cost
//! of what it was given, divided by its weight; the backlogged team with the smallest start time
//! goes first. Urgent requests go before patient ones of the same team, until a patient one has
//! waited for [`AGEING`].

mod pace;

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

use pace::Pace;

/// Units of virtual time of one token at weight 1.
const SCALE: i64 = 1_000;
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

/// Place of a flow in the order: its start time, then the order of insertion.
type Place = (i64, u64);

/// One team's part of the queue.
#[value(default)]
struct Flow {
    urgent: VecDeque<Item>,
    patient: VecDeque<Item>,
    /// Virtual time from which the team's next request counts.
    finish: i64,
    /// Its place among the backlogged flows, or among the idle ones if nothing waits.
    place: Place,
}

/// The queue of one pool.
///
/// A flow is forgotten when nothing of it waits and the virtual time has passed its finish time.
#[value(default)]
pub struct Queue {
    flows: IndexMap<Name, Flow>,
    /// The flows with waiting requests, by start time.
    backlogged: BTreeMap<Place, Name>,
    /// The flows without, by finish time.
    idle: BTreeMap<Place, Name>,
    teams: IndexMap<request::Id, Name>,
    virtual_time: i64,
    sequence: u64,
    pace: Pace,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, item: Item) {
        let team = item.team.clone();
        self.teams.insert(item.request, team.clone());
        let flow = self.flows.entry(team.clone()).or_default();
        let was_idle = flow.is_empty();
        match item.urgency {
            Urgency::Urgent => flow.urgent.push_back(item),
            Urgency::Patient => flow.patient.push_back(item),
        }
        if was_idle {
            let start = flow.finish.max(self.virtual_time);
            self.file(&team, start);
        }
    }

    /// Takes the first request in fair order that `fits`, and charges its team.
    ///
    /// Of each team only the request that is next there is asked for.
    pub fn pop_where(&mut self, now: Instant, mut fits: impl FnMut(&Item) -> bool) -> Option<Item> {
        let least = self.backlogged.first_key_value()?.0.0;
        let (start, team) = self.backlogged.iter().find_map(|((start, _), team)| {
            let next = self.flows[team].next(now)?;
            fits(next).then(|| (*start, team.clone()))
        })?;
        let flow = &mut self.flows[&team];
        let item = flow.take(now)?;
        flow.finish = start + share(item.cost as i64, item.weight);
        let finish = flow.finish;
        self.teams.swap_remove(&item.request);
        self.virtual_time = self.virtual_time.max(least);
        self.file(&team, finish);
        self.forget_idle();
        self.pace.note(now);
        Some(item)
    }

    /// Corrects the charge of a team by what was used above (or below) the expected cost.
    ///
    /// A team is never credited beyond the present: what it did not use does not add up.
    pub fn correct(&mut self, team: &str, weight: u32, tokens: i64) {
        let extra = share(tokens, weight);
        let now = self.virtual_time;
        let name: Name = team.into();
        let flow = self.flows.entry(name.clone()).or_default();
        let base = if flow.is_empty() { flow.finish.max(now) } else { flow.place.0 };
        flow.finish = (base + extra).max(now);
        let finish = flow.finish;
        self.file(&name, finish);
        self.forget_idle();
    }

    /// Removes a request; returns whether it was there.
    pub fn remove(&mut self, request: request::Id) -> bool {
        let Some(team) = self.teams.swap_remove(&request) else { return false };
        let flow = &mut self.flows[&team];
        flow.urgent.retain(|it| it.request != request);
        flow.patient.retain(|it| it.request != request);
        if flow.is_empty() {
            let finish = flow.finish;
            self.file(&team, finish);
            self.forget_idle();
        }
        true
    }

    /// Iterates over the waiting requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.flows.values().flat_map(|flow| flow.urgent.iter().chain(&flow.patient))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the number of teams that are kept.
    pub fn teams(&self) -> usize {
        self.flows.len()
    }

    /// Returns when a place will be free at the rate at which requests lately left the queue.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.pace.time_for(now, self.len() as u32)
    }

    /// Puts a flow into the order that it belongs to, at a virtual time.
    fn file(&mut self, team: &Name, at: i64) {
        self.sequence += 1;
        let flow = &mut self.flows[team];
        self.backlogged.remove(&flow.place);
        self.idle.remove(&flow.place);
        flow.place = (at, self.sequence);
        match flow.is_empty() {
            true => self.idle.insert(flow.place, team.clone()),
            false => self.backlogged.insert(flow.place, team.clone()),
        };
    }

    /// Forgets the idle flows that the virtual time has passed; it passes all of them when nothing
    /// waits, since then nobody is kept back by anybody.
    fn forget_idle(&mut self) {
        match self.idle.last_key_value() {
            Some((place, _)) if self.backlogged.is_empty() => {
                self.virtual_time = self.virtual_time.max(place.0)
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
    tokens.saturating_mul(SCALE) / i64::from(weight.max(1))
}
