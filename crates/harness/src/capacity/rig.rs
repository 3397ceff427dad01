//! Test rig: one instance of the real reducer at the target size with an in-memory store.

use std::{sync::Arc, time::Duration};

use siskinstile_core::{
    Effect, Event, Instant, Set, State, key,
    key::Secret,
    member::{Record, Status},
    object::{
        Endpoint, Key, Kind, Name, Policy, Pool, Role, Route, Service, Team, Urgency, Workload,
    },
    request::{Arrival, Id, Target},
    state,
    store::{Answer, Call, Tag},
};

use crate::world::Store;

/// Size of a fleet and of its set of objects.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of teams.
    pub teams: usize,
    /// Number of keys, assigned to the teams in turn.
    pub keys: usize,
    /// Number of models, each with a service, a pool and a route.
    pub models: usize,
    /// Number of endpoints of all pools together.
    pub endpoints: usize,
    /// Number of instances per data centre.
    pub instances_per_datacentre: usize,
    /// Number of instances of the whole fleet.
    pub instances: usize,
    /// Number of data centres.
    pub datacentres: usize,
}

/// Target size of the fleet and its configuration.
pub const TARGET: Size = Size {
    teams: 7_600,
    keys: 20_000,
    models: 21,
    endpoints: 1_900,
    instances_per_datacentre: 36,
    instances: 360,
    datacentres: 10,
};

/// Number of ticks in which an instance adopts the objects of the store: ten seconds.
const SETTLE_TICKS: u32 = 200;
/// Rate of every team, in tokens per second; high enough that no request is rate limited.
const RATE: u64 = 5_000_000;
/// Salt of every key, in hexadecimal digits.
const SALT: &str = "000102030405060708090a0b0c0d0e0f";

/// Returns a valid set with the numbers of objects that `size` gives.
pub fn set(size: &Size) -> Set {
    let mut set = Set::default();
    let models: Vec<Name> = (0..size.models).map(|it| format!("model-{it}").into()).collect();
    for model in &models {
        let service = Service {
            name: model.clone(),
            workload: Workload::Model,
            models: vec![model.clone()],
            objective_percent: 95.0,
        };
        set.services.insert(model.clone(), service);
        set.routes.insert(model.clone(), route(model));
    }
    for index in 0..size.teams {
        let name: Name = format!("team-{index}").into();
        let team = Team {
            name: name.clone(),
            weight: 1,
            rate: RATE,
            burst: 10 * RATE,
            offline_grace_s: None,
        };
        set.teams.insert(name, team);
    }
    for index in 0..size.keys {
        let name: Name = format!("key-{index}").into();
        set.keys.insert(name.clone(), key_object(name, index % size.teams.max(1)));
    }
    for (index, model) in models.iter().enumerate() {
        set.pools.insert(model.clone(), pool(size, index, model));
    }
    set
}

fn route(model: &Name) -> Route {
    Route {
        name: model.clone(),
        service: model.clone(),
        pool: model.clone(),
        model: Some(model.clone()),
        method: None,
        path: None,
        urgency: Urgency::Urgent,
        idempotent: true,
        open: false,
        body_limit: 1 << 20,
        first_token_ms: 1_700,
        between_tokens_ms: 45,
        cost: 1,
    }
}

fn key_object(name: Name, team: usize) -> Key {
    let salt: Vec<u8> = (0..16).collect();
    Key {
        hash: key::hash(&salt, &secret(&name)).into(),
        name,
        team: format!("team-{team}").into(),
        salt: SALT.into(),
        withdrawn: false,
        offline_grace_s: None,
    }
}

fn secret(name: &str) -> String {
    format!("secret-of-{name}")
}

fn pool(size: &Size, index: usize, model: &Name) -> Pool {
    let count = size.endpoints / size.models;
    let endpoints = (0..count).map(|number| Endpoint {
        name: format!("{model}-worker-{number}").into(),
        address: format!("10.{index}.{}.{}:8000", number / 250, number % 250 + 1).into(),
        datacentre: format!("dc-{}", number % size.datacentres).into(),
        role: if (number / size.datacentres).is_multiple_of(2) {
            Role::Prefill
        } else {
            Role::Decode
        },
        slots: 16,
        memory: 400_000,
        fences: true,
        leaving: false,
    });
    Pool {
        name: model.clone(),
        service: model.clone(),
        endpoints: endpoints.collect(),
        prefill_rate: 20_000,
        link_slots: 4,
        transfer_ms: 10,
        queue_limit: 256,
        policy: Policy::default(),
    }
}

/// An instance and the platform's store, without links: platform calls are answered at once.
pub struct Rig {
    /// State of the instance.
    pub state: State,
    /// The platform's store.
    pub store: Store,
    /// Clock of the instance.
    pub now: Instant,
    /// Watches that have not been answered: tag, kinds and revision after which to report changes.
    watches: Vec<(Tag, Vec<Name>, u64)>,
}

impl Rig {
    /// Starts an instance, which publishes and adopts the set, and then registers the other
    /// instances.
    pub fn open(size: &Size) -> Rig {
        let mut store = Store::default();
        for (kind, name, value) in set(size).values() {
            let kind: Name = kind.as_str().into();
            store.call(&Call::Put { kind, name, value, if_version: Some(0) });
        }
        store.register(record(size, 0));
        let settings = state::Settings {
            name: "instance-0".into(),
            incarnation: 1,
            datacentre: "dc-0".into(),
            fleet_size: size.instances as u64,
            balancer_lag: Duration::from_secs(2),
        };
        let (state, effects) = State::new(settings);
        let now = Instant::from_millis(1);
        let mut rig = Rig { state, store, now, watches: Vec::new() };
        rig.answer(effects);
        rig.settle();
        (1..size.instances).for_each(|index| rig.store.register(record(size, index)));
        rig.settle();
        rig
    }

    fn settle(&mut self) {
        (0..SETTLE_TICKS).for_each(|_| self.tick());
    }

    /// Returns whether the instance has adopted all objects of the store.
    pub fn is_ready(&self) -> bool {
        Kind::ALL.iter().all(|kind| {
            let stored = self.store.of_kind(kind.as_str()).count();
            let set = &self.state.config().set;
            let adopted = match kind {
                Kind::Service => set.services.len(),
                Kind::Team => set.teams.len(),
                Kind::Key => set.keys.len(),
                Kind::Route => set.routes.len(),
                Kind::Pool => set.pools.len(),
            };
            stored == adopted
        })
    }

    /// Advances the clock by one tick, delivers the tick and answers the watches.
    pub fn tick(&mut self) {
        self.now = self.now + state::TICK;
        self.step(Event::Tick);
        self.answer_watches();
    }

    /// Changes the rate of team `number` as an operator does; no effect if the team does not exist.
    pub fn edit(&mut self, number: u64) {
        let (kind, name): (Name, Name) = ("team".into(), format!("team-{number}").into());
        let Some(mut value) = self.store.get(&kind, &name).and_then(|it| it.value.clone()) else {
            return;
        };
        value["rate"] = (RATE - 1 - number).into();
        self.store.call(&Call::Put { kind, name, value, if_version: None });
    }

    fn answer_watches(&mut self) {
        for (tag, kinds, since) in std::mem::take(&mut self.watches) {
            match self.store.events(&kinds, since) {
                Answer::Objects { objects, .. } if objects.is_empty() => {
                    self.watches.push((tag, kinds, since));
                }
                answer => drop(self.step(Event::StoreAnswered { tag, answer })),
            }
        }
    }

    /// Delivers an event, answers the platform calls that follow and returns the other effects.
    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.state.step(self.now, event);
        self.answer(effects)
    }

    /// Answers the platform calls among `effects` and those that follow from the answers, and
    /// returns the other effects. Watches are kept until the next tick.
    pub fn answer(&mut self, effects: Vec<Effect>) -> Vec<Effect> {
        let mut other_effects = Vec::new();
        let mut pending = effects;
        while !pending.is_empty() {
            let mut new_effects = Vec::new();
            for effect in pending {
                match effect {
                    Effect::Store { tag, call: Call::Watch { kinds, since } } => {
                        self.watches.push((tag, kinds, since));
                    }
                    Effect::Store { tag, call } => {
                        let answer = self.store.call(&call);
                        new_effects.extend(
                            self.state.step(self.now, Event::StoreAnswered { tag, answer }),
                        );
                    }
                    other => other_effects.push(other),
                }
            }
            pending = new_effects;
        }
        other_effects
    }
}

fn record(size: &Size, index: usize) -> Record {
    let datacentre = index / size.instances_per_datacentre.max(1) % size.datacentres.max(1);
    Record {
        name: format!("instance-{index}").into(),
        address: format!("10.200.{}.{}:7000", index / 250, index % 250 + 1).into(),
        admin: None,
        datacentre: format!("dc-{datacentre}").into(),
        incarnation: 1,
        state: Status::Live,
    }
}

/// Returns a request for a model with a prompt of 4000 tokens; `number` selects its key and model.
pub fn arrival(size: &Size, number: u64) -> Arrival {
    let key = number as usize % size.keys;
    let name = format!("key-{key}");
    Arrival {
        id: Id(number + 1),
        key: Some(Secret::new(format!("{name}.{}", secret(&name)))),
        target: Target::Model(format!("model-{}", number as usize % size.models).into()),
        idempotency_key: None,
        digest: number,
        prompt_tokens: 4_000,
        max_tokens: 256,
        prefixes: Arc::new([number, number + 1]),
    }
}
