//! Small engines on virtual time: prefill with a prefix cache, links, batched decode.
//!
//! A decode engine that is full lets an import wait as long as the prefill result lives, which is
//! kinder to a router without reservation than an engine that answers `full` at once.

mod cache;
mod decode;
mod prefill;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{
    Event, Instant,
    object::{Endpoint, Name, Pool, Role},
    request::{Id, Outcome, Report, Step},
};

use self::{decode::Decode, prefill::Prefill};
use crate::world::{EndpointCall, Endpoints};

pub use self::decode::step_seconds;

/// Tokens in a piece of engine memory.
pub const PIECE_TOKENS: u64 = 2_000;
/// Time for which a prefill result lives.
const RESULT_LIFE: Duration = Duration::from_millis(800);
/// Time after which a call of a dead engine breaks.
const DEAD: Duration = Duration::from_millis(5);
/// Time after which a transfer over a stalled link breaks.
const STALLED: Duration = Duration::from_secs(2);

/// What a request asks of the engines.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Hashes of the prompt's prefixes by piece.
    pub prefixes: Arc<[u64]>,
    /// Most tokens that it may generate.
    pub most: u64,
    /// Tokens that it will generate.
    pub output: u64,
}

/// Identifies an attempt.
pub type Attempt = (Id, u32);

/// What the engines did.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Prompt tokens of the prefills that started.
    pub prompt: u64,
    /// Those of them that were found in a cache.
    pub cached: u64,
    /// Tokens computed by an attempt, and whether a token of its answer came of it.
    pub computed: IndexMap<Attempt, (u64, bool)>,
    /// When the first and the last token of a request came, by the first attempt that got there.
    pub times: IndexMap<Id, (Instant, Option<Instant>)>,
    /// Tokens of each answer that ended.
    pub outputs: IndexMap<Id, u64>,
}

/// Something that is due.
enum Due {
    Report(Name, Report),
    Prefill { engine: Name, version: u64 },
    Decode { engine: Name, version: u64 },
    Evict(Attempt),
}

/// A prefill result.
struct Kv {
    engine: Name,
    expires: Instant,
    taken: bool,
}

/// The engines of a pool.
#[derive(Default)]
pub struct Fleet {
    /// What each request asks for.
    pub demands: IndexMap<Id, Demand>,
    /// What was done.
    pub counts: Counts,
    prefills: IndexMap<Name, Prefill>,
    decodes: IndexMap<Name, Decode>,
    results: IndexMap<Attempt, Kv>,
    dead: Vec<Name>,
    stalled: Vec<Name>,
    agenda: BTreeMap<(Instant, u64), Due>,
    sequence: u64,
}

impl Fleet {
    /// Creates the engines of a pool.
    pub fn new(pool: &Pool) -> Fleet {
        let mut fleet = Fleet::default();
        for endpoint in &pool.endpoints {
            let name = endpoint.name.clone();
            match endpoint.role {
                Role::Prefill => drop(fleet.prefills.insert(name, Prefill::new(pool, endpoint))),
                _ => drop(fleet.decodes.insert(name, Decode::new(endpoint))),
            }
        }
        fleet
    }

    /// Ends an engine; all that it does breaks.
    pub fn kill(&mut self, now: Instant, name: &str) {
        self.dead.push(name.into());
        let mut broken = Vec::new();
        if let Some(engine) = self.prefills.get_mut(name) {
            broken.extend(engine.clear().into_iter().map(|it| (it.instance, it.attempt, 0)));
        }
        if let Some(engine) = self.decodes.get_mut(name) {
            broken.extend(engine.clear(now));
        }
        for (instance, attempt, next_index) in broken {
            self.broken(now + DEAD, instance, attempt, next_index);
        }
    }

    /// Makes an engine slower by a factor.
    pub fn slow(&mut self, now: Instant, name: &str, factor: f64) {
        if let Some(engine) = self.prefills.get_mut(name) {
            engine.slow = factor;
        }
        if let Some(engine) = self.decodes.get_mut(name) {
            engine.advance(now);
            engine.slow = factor;
            self.plan_decode(now, &name.into());
        }
    }

    /// Stalls the link of a prefill engine.
    pub fn stall(&mut self, name: &str) {
        self.stalled.push(name.into());
    }

    /// Mends the link of a prefill engine.
    pub fn mend(&mut self, name: &str) {
        self.stalled.retain(|it| &**it != name);
    }

    /// Returns the load of each engine as it is now.
    pub fn loads(&self) -> Vec<Event> {
        let prefills = self.prefills.iter().map(|(name, it)| (name, it.load()));
        let decodes = self.decodes.iter().map(|(name, it)| (name, it.load()));
        prefills
            .chain(decodes)
            .filter(|(name, _)| !self.dead.contains(name))
            .map(|(name, (running, queued))| Event::Load {
                endpoint: name.clone(),
                running,
                queued,
            })
            .collect()
    }

    fn push(&mut self, at: Instant, due: Due) {
        self.sequence += 1;
        self.agenda.insert((at, self.sequence), due);
    }

    fn report(&mut self, at: Instant, instance: Name, (request, attempt): Attempt, out: Outcome) {
        self.push(at, Due::Report(instance, Report { request, attempt, outcome: out }));
    }

    fn broken(&mut self, at: Instant, instance: Name, attempt: Attempt, next_index: u64) {
        self.report(at, instance, attempt, Outcome::Failed { sent: true, next_index });
    }

    fn plan_prefill(&mut self, now: Instant, name: &Name) {
        let Some(engine) = self.prefills.get_mut(name) else { return };
        let Some(started) = engine.start(now, &self.demands) else { return };
        self.counts.prompt += started.prompt;
        self.counts.cached += started.cached;
        self.counts.computed.insert(started.attempt, (started.prompt - started.cached, false));
        let due = Due::Prefill { engine: name.clone(), version: engine.version };
        self.push(started.ends, due);
    }

    fn plan_decode(&mut self, now: Instant, name: &Name) {
        let Some(engine) = self.decodes.get_mut(name) else { return };
        engine.version += 1;
        let Some(at) = engine.due(now) else { return };
        let due = Due::Decode { engine: name.clone(), version: engine.version };
        self.push(at, due);
    }

    fn prefill_ended(&mut self, now: Instant, name: &Name) {
        let Some((work, cached)) = self.prefills.get_mut(name).and_then(Prefill::end) else {
            return;
        };
        let expires = now + RESULT_LIFE;
        self.results.insert(work.attempt, Kv { engine: name.clone(), expires, taken: false });
        self.push(expires, Due::Evict(work.attempt));
        let kv = Outcome::Computed { kv: "kv".into(), cached };
        self.report(now, work.instance, work.attempt, kv);
        self.plan_prefill(now, name);
    }

    fn import(&mut self, now: Instant, call: EndpointCall) {
        let attempt = (call.request, call.attempt);
        let fresh = self.results.get(&attempt).is_some_and(|it| it.expires > now);
        let Some(demand) = self.demands.get(&call.request).filter(|_| fresh) else {
            return self.report(now, call.instance, attempt, Outcome::Refused { status: 410 });
        };
        let pieces = (demand.prompt + demand.most).div_ceil(PIECE_TOKENS);
        if let Some(engine) = self.decodes.get_mut(&call.endpoint.name) {
            engine.ask(call.instance, attempt, pieces);
        }
        self.take_waiting(now, &call.endpoint.name);
    }

    /// Starts the transfers for which a decode engine has room.
    fn take_waiting(&mut self, now: Instant, name: &Name) {
        while let Some((instance, attempt)) =
            self.decodes.get_mut(name).and_then(Decode::take_waiting)
        {
            self.transfer(now, name, instance, attempt);
        }
    }

    fn transfer(&mut self, now: Instant, name: &Name, instance: Name, attempt: Attempt) {
        let prompt = self.demands.get(&attempt.0).map_or(0, |it| it.prompt);
        let source = self.results.get_mut(&attempt).filter(|it| it.expires > now);
        let Some(kv) = source else {
            self.free(now, name, attempt);
            return self.report(now, instance, attempt, Outcome::Refused { status: 410 });
        };
        if self.stalled.contains(&kv.engine) {
            self.free(now, name, attempt);
            return self.broken(now + STALLED, instance, attempt, 0);
        }
        let Some(source) = self.prefills.get_mut(&kv.engine) else { return };
        match source.transfer(now, kv.expires, prompt) {
            Some(end) => {
                kv.taken = true;
                self.report(end, instance, attempt, Outcome::Imported);
            }
            None => {
                let expires = kv.expires;
                self.free(now, name, attempt);
                self.report(expires, instance, attempt, Outcome::Refused { status: 410 });
            }
        }
    }

    fn free(&mut self, now: Instant, name: &Name, attempt: Attempt) {
        let Some(engine) = self.decodes.get_mut(name) else { return };
        if engine.free(now, attempt) {
            self.plan_decode(now, name);
        }
    }

    fn evict(&mut self, now: Instant, attempt: Attempt) {
        if self.results.swap_remove(&attempt).is_none_or(|it| it.taken) {
            return;
        }
        let waiting: Vec<Name> =
            self.decodes.values_mut().filter_map(|engine| engine.stop_waiting(attempt)).collect();
        for instance in waiting {
            self.report(now, instance, attempt, Outcome::Refused { status: 410 });
        }
    }

    fn decode(&mut self, now: Instant, call: EndpointCall, from_index: u64) {
        let attempt = (call.request, call.attempt);
        let output = self.demands.get(&call.request).map_or(1, |it| it.output);
        let Some(engine) = self.decodes.get_mut(&call.endpoint.name) else { return };
        match engine.stream(now, call.instance.clone(), attempt, from_index, output) {
            true => self.plan_decode(now, &call.endpoint.name),
            false => self.report(now, call.instance, attempt, Outcome::Refused { status: 410 }),
        }
    }

    fn decode_due(&mut self, now: Instant, name: &Name) {
        let Some(engine) = self.decodes.get_mut(name) else { return };
        for told in engine.tell(now) {
            match told.ended {
                Some(tokens) => {
                    let times = self.counts.times.entry(told.attempt.0).or_insert((now, None));
                    times.1.get_or_insert(now);
                    self.counts.outputs.insert(told.attempt.0, tokens);
                    let ended = Outcome::Completed { tokens, answer: None };
                    self.report(now, told.instance, told.attempt, ended);
                }
                None => {
                    self.counts.times.entry(told.attempt.0).or_insert((now, None));
                    if let Some(computed) = self.counts.computed.get_mut(&told.attempt) {
                        computed.1 = true;
                    }
                    self.report(now, told.instance, told.attempt, Outcome::FirstByte);
                }
            }
        }
        self.take_waiting(now, name);
        self.plan_decode(now, name);
    }
}

impl Endpoints for Fleet {
    fn call(&mut self, now: Instant, call: EndpointCall) {
        let attempt = (call.request, call.attempt);
        if self.dead.contains(&call.endpoint.name) {
            return self.broken(now + DEAD, call.instance, attempt, 0);
        }
        match call.step {
            Step::Prefill => {
                let name = call.endpoint.name;
                let taken = self
                    .prefills
                    .get_mut(&name)
                    .is_some_and(|engine| engine.queue(call.instance.clone(), attempt));
                match taken {
                    true => self.plan_prefill(now, &name),
                    false => {
                        let full = Outcome::Refused { status: 409 };
                        self.report(now, call.instance, attempt, full);
                    }
                }
            }
            Step::Import { .. } => self.import(now, call),
            Step::Decode { from_index } => self.decode(now, call, from_index),
            Step::Forward => {}
        }
    }

    fn cancel(&mut self, now: Instant, request: Id, attempt: u32, endpoint: &Endpoint) {
        let attempt = (request, attempt);
        if let Some(engine) = self.prefills.get_mut(&endpoint.name) {
            engine.cancel(attempt);
            self.plan_prefill(now, &endpoint.name);
        }
        if self.decodes.contains_key(&endpoint.name) {
            self.free(now, &endpoint.name, attempt);
            self.take_waiting(now, &endpoint.name);
        }
    }

    fn next_at(&self) -> Option<Instant> {
        self.agenda.first_key_value().map(|(key, _)| key.0)
    }

    fn advance(&mut self, now: Instant) -> Vec<(Name, Report)> {
        let mut out = Vec::new();
        while self.next_at().is_some_and(|at| at <= now) {
            let Some((_, due)) = self.agenda.pop_first() else { break };
            match due {
                Due::Report(name, report) => out.push((name, report)),
                Due::Prefill { engine, version } => {
                    if self.prefills.get(&engine).is_some_and(|it| it.version == version) {
                        self.prefill_ended(now, &engine);
                    }
                }
                Due::Decode { engine, version } => {
                    if self.decodes.get(&engine).is_some_and(|it| it.version == version) {
                        self.decode_due(now, &engine);
                    }
                }
                Due::Evict(attempt) => self.evict(now, attempt),
            }
        }
        out
    }

    fn disconnect(&mut self, _now: Instant, instance: &str) {
        self.agenda.retain(|_, due| !matches!(due, Due::Report(name, _) if &**name == instance));
    }
}
