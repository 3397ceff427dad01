//! Simulated engines on virtual time: prefill with a prefix cache, links, batched decode.
//!
//! A full decode engine queues an import until the prefill result expires. With such an engine,
//! routers that reserve no capacity perform better than with one that answers `full` at once.

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

/// Tokens per block of KV-cache memory.
pub const BLOCK_TOKENS: u64 = 2_000;
/// Time after which a prefill result expires.
const RESULT_TTL: Duration = Duration::from_millis(800);
/// Time after which a call to a dead engine fails.
const FAILURE_DELAY: Duration = Duration::from_millis(5);
/// Time after which a transfer over a stalled link fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Resources that a request needs from the engines.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Hash of the prompt's prefix at the end of each block.
    pub prefixes: Arc<[u64]>,
    /// Maximum number of tokens that it may generate.
    pub max_tokens: u64,
    /// Number of tokens that it will generate.
    pub output_tokens: u64,
}

/// Identifies an attempt: the request and the number of the attempt.
pub type Attempt = (Id, u32);

/// Measurements of the engines over a run.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Prompt tokens of the prefills that were started.
    pub prompt_tokens: u64,
    /// Tokens of these prompts that were found in a prefix cache.
    pub cached_tokens: u64,
    /// Uncached prompt tokens of each attempt, counted in full when its prefill starts, and whether
    /// the attempt produced an output token.
    pub prefilled: IndexMap<Attempt, (u64, bool)>,
    /// Times of the first and the last output token of each request, each taken from the first
    /// attempt that reached it.
    pub token_times: IndexMap<Id, (Instant, Option<Instant>)>,
    /// Output length of each completed request, in tokens.
    pub output_lengths: IndexMap<Id, u64>,
}

/// An action scheduled on the timeline.
enum Scheduled {
    Report(Name, Report),
    Prefill { engine: Name, version: u64 },
    Decode { engine: Name, version: u64 },
    Evict(Attempt),
}

/// A prefill result that is kept for transfer to a decode engine.
struct PrefillResult {
    engine: Name,
    expires: Instant,
    transferred: bool,
}

/// The simulated engines of a pool.
#[derive(Default)]
pub struct Engines {
    /// Demand of each request; a request has to be added before it is sent.
    pub demands: IndexMap<Id, Demand>,
    /// Measurements so far.
    pub counts: Counts,
    prefills: IndexMap<Name, Prefill>,
    decodes: IndexMap<Name, Decode>,
    results: IndexMap<Attempt, PrefillResult>,
    dead: Vec<Name>,
    stalled_links: Vec<Name>,
    timeline: BTreeMap<(Instant, u64), Scheduled>,
    sequence: u64,
}

impl Engines {
    /// Creates the engines of a pool.
    pub fn new(pool: &Pool) -> Engines {
        let mut engines = Engines::default();
        for endpoint in &pool.endpoints {
            let name = endpoint.name.clone();
            match endpoint.role {
                Role::Prefill => drop(engines.prefills.insert(name, Prefill::new(pool, endpoint))),
                _ => drop(engines.decodes.insert(name, Decode::new(endpoint))),
            }
        }
        engines
    }

    /// Kills an engine; all its queued and running attempts fail.
    pub fn kill(&mut self, now: Instant, name: &str) {
        self.dead.push(name.into());
        let mut failed = Vec::new();
        if let Some(engine) = self.prefills.get_mut(name) {
            failed.extend(engine.abort_all().into_iter().map(|it| (it.instance, it.attempt, 0)));
        }
        if let Some(engine) = self.decodes.get_mut(name) {
            failed.extend(engine.abort_all(now));
        }
        for (instance, attempt, next_index) in failed {
            self.report_failure(now + FAILURE_DELAY, instance, attempt, next_index);
        }
    }

    /// Multiplies the normal prefill time or decode step duration of an engine by `factor`. A
    /// prefill that is already running is not affected.
    pub fn slow_down(&mut self, now: Instant, name: &str, factor: f64) {
        if let Some(engine) = self.prefills.get_mut(name) {
            engine.slowdown = factor;
        }
        if let Some(engine) = self.decodes.get_mut(name) {
            engine.advance(now);
            engine.slowdown = factor;
            self.schedule_decode(now, &name.into());
        }
    }

    /// Stalls the link of a prefill engine; transfers that start over it fail after 2 s.
    pub fn stall_link(&mut self, name: &str) {
        self.stalled_links.push(name.into());
    }

    /// Restores the stalled link of a prefill engine.
    pub fn restore_link(&mut self, name: &str) {
        self.stalled_links.retain(|it| &**it != name);
    }

    /// Returns one event with the current load for each engine that is alive.
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

    fn schedule(&mut self, at: Instant, item: Scheduled) {
        self.sequence += 1;
        self.timeline.insert((at, self.sequence), item);
    }

    fn report(&mut self, at: Instant, instance: Name, (request, attempt): Attempt, out: Outcome) {
        self.schedule(at, Scheduled::Report(instance, Report { request, attempt, outcome: out }));
    }

    fn report_failure(&mut self, at: Instant, instance: Name, attempt: Attempt, next_index: u64) {
        self.report(
            at,
            instance,
            attempt,
            Outcome::Failed { sent: true, next_index, ended: false },
        );
    }

    fn schedule_prefill(&mut self, now: Instant, name: &Name) {
        let Some(engine) = self.prefills.get_mut(name) else { return };
        let Some(started) = engine.start_next(now, &self.demands) else { return };
        self.counts.prompt_tokens += started.prompt_tokens;
        self.counts.cached_tokens += started.cached_tokens;
        self.counts
            .prefilled
            .insert(started.attempt, (started.prompt_tokens - started.cached_tokens, false));
        let item = Scheduled::Prefill { engine: name.clone(), version: engine.version };
        self.schedule(started.completes_at, item);
    }

    fn schedule_decode(&mut self, now: Instant, name: &Name) {
        let Some(engine) = self.decodes.get_mut(name) else { return };
        engine.version += 1;
        let Some(at) = engine.next_report_at(now) else { return };
        let item = Scheduled::Decode { engine: name.clone(), version: engine.version };
        self.schedule(at, item);
    }

    fn finish_prefill(&mut self, now: Instant, name: &Name) {
        let Some((work, cached_tokens)) = self.prefills.get_mut(name).and_then(Prefill::finish)
        else {
            return;
        };
        let expires = now + RESULT_TTL;
        self.results.insert(
            work.attempt,
            PrefillResult { engine: name.clone(), expires, transferred: false },
        );
        self.schedule(expires, Scheduled::Evict(work.attempt));
        let computed = Outcome::Computed { kv: "kv".into(), cached: cached_tokens };
        self.report(now, work.instance, work.attempt, computed);
        self.schedule_prefill(now, name);
    }

    fn import(&mut self, now: Instant, call: EndpointCall) {
        let attempt = (call.request, call.attempt);
        let valid = self.results.get(&attempt).is_some_and(|it| it.expires > now);
        let Some(demand) = self.demands.get(&call.request).filter(|_| valid) else {
            return self.report(now, call.instance, attempt, Outcome::Refused { status: 410 });
        };
        let blocks = (demand.prompt_tokens + demand.max_tokens).div_ceil(BLOCK_TOKENS);
        if let Some(engine) = self.decodes.get_mut(&call.endpoint.name) {
            engine.enqueue(call.instance, attempt, blocks);
        }
        self.admit_waiting(now, &call.endpoint.name);
    }

    /// Starts the queued transfers for which a decode engine has a slot and memory.
    fn admit_waiting(&mut self, now: Instant, name: &Name) {
        while let Some((instance, attempt)) =
            self.decodes.get_mut(name).and_then(Decode::admit_next)
        {
            self.transfer(now, name, instance, attempt);
        }
    }

    fn transfer(&mut self, now: Instant, name: &Name, instance: Name, attempt: Attempt) {
        let prompt_tokens = self.demands.get(&attempt.0).map_or(0, |it| it.prompt_tokens);
        let source = self.results.get_mut(&attempt).filter(|it| it.expires > now);
        let Some(result) = source else {
            self.release(now, name, attempt);
            return self.report(now, instance, attempt, Outcome::Refused { status: 410 });
        };
        if self.stalled_links.contains(&result.engine) {
            self.release(now, name, attempt);
            return self.report_failure(now + STALL_TIMEOUT, instance, attempt, 0);
        }
        let Some(source) = self.prefills.get_mut(&result.engine) else { return };
        match source.transfer(now, result.expires, prompt_tokens) {
            Some(end) => {
                result.transferred = true;
                self.report(end, instance, attempt, Outcome::Imported);
            }
            None => {
                let expires = result.expires;
                self.release(now, name, attempt);
                self.report(expires, instance, attempt, Outcome::Refused { status: 410 });
            }
        }
    }

    fn release(&mut self, now: Instant, name: &Name, attempt: Attempt) {
        let Some(engine) = self.decodes.get_mut(name) else { return };
        if engine.release(now, attempt) {
            self.schedule_decode(now, name);
        }
    }

    fn evict(&mut self, now: Instant, attempt: Attempt) {
        if self.results.swap_remove(&attempt).is_none_or(|it| it.transferred) {
            return;
        }
        let waiting: Vec<Name> =
            self.decodes.values_mut().filter_map(|engine| engine.remove_waiting(attempt)).collect();
        for instance in waiting {
            self.report(now, instance, attempt, Outcome::Refused { status: 410 });
        }
    }

    fn decode(&mut self, now: Instant, call: EndpointCall, from_index: u64) {
        let attempt = (call.request, call.attempt);
        let output_tokens = self.demands.get(&call.request).map_or(1, |it| it.output_tokens);
        let Some(engine) = self.decodes.get_mut(&call.endpoint.name) else { return };
        match engine.stream(now, call.instance.clone(), attempt, from_index, output_tokens) {
            true => self.schedule_decode(now, &call.endpoint.name),
            false => self.report(now, call.instance, attempt, Outcome::Refused { status: 410 }),
        }
    }

    fn report_decode_progress(&mut self, now: Instant, name: &Name) {
        let Some(engine) = self.decodes.get_mut(name) else { return };
        for progress in engine.take_progress(now) {
            match progress.completed {
                Some(tokens) => {
                    let token_times =
                        self.counts.token_times.entry(progress.attempt.0).or_insert((now, None));
                    token_times.1.get_or_insert(now);
                    self.counts.output_lengths.insert(progress.attempt.0, tokens);
                    let completed = Outcome::Completed { tokens, answer: None };
                    self.report(now, progress.instance, progress.attempt, completed);
                }
                None => {
                    self.counts.token_times.entry(progress.attempt.0).or_insert((now, None));
                    if let Some(prefilled) = self.counts.prefilled.get_mut(&progress.attempt) {
                        prefilled.1 = true;
                    }
                    self.report(now, progress.instance, progress.attempt, Outcome::FirstByte);
                }
            }
        }
        self.admit_waiting(now, name);
        self.schedule_decode(now, name);
    }
}

impl Endpoints for Engines {
    fn call(&mut self, now: Instant, call: EndpointCall) {
        let attempt = (call.request, call.attempt);
        if self.dead.contains(&call.endpoint.name) {
            return self.report_failure(now + FAILURE_DELAY, call.instance, attempt, 0);
        }
        match call.step {
            Step::Prefill => {
                let name = call.endpoint.name;
                let accepted = self
                    .prefills
                    .get_mut(&name)
                    .is_some_and(|engine| engine.enqueue(call.instance.clone(), attempt));
                match accepted {
                    true => self.schedule_prefill(now, &name),
                    false => {
                        let refused = Outcome::Refused { status: 409 };
                        self.report(now, call.instance, attempt, refused);
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
            self.schedule_prefill(now, &endpoint.name);
        }
        if self.decodes.contains_key(&endpoint.name) {
            self.release(now, &endpoint.name, attempt);
            self.admit_waiting(now, &endpoint.name);
        }
    }

    fn next_at(&self) -> Option<Instant> {
        self.timeline.first_key_value().map(|(key, _)| key.0)
    }

    fn advance(&mut self, now: Instant) -> Vec<(Name, Report)> {
        let mut out = Vec::new();
        while self.next_at().is_some_and(|at| at <= now) {
            let Some((_, item)) = self.timeline.pop_first() else { break };
            match item {
                Scheduled::Report(name, report) => out.push((name, report)),
                Scheduled::Prefill { engine, version } => {
                    if self.prefills.get(&engine).is_some_and(|it| it.version == version) {
                        self.finish_prefill(now, &engine);
                    }
                }
                Scheduled::Decode { engine, version } => {
                    if self.decodes.get(&engine).is_some_and(|it| it.version == version) {
                        self.report_decode_progress(now, &engine);
                    }
                }
                Scheduled::Evict(attempt) => self.evict(now, attempt),
            }
        }
        out
    }

    fn disconnect(&mut self, _now: Instant, instance: &str) {
        self.timeline
            .retain(|_, item| !matches!(item, Scheduled::Report(name, _) if &**name == instance));
    }
}
