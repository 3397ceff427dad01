//! Placement at model engines: a decode slot is reserved before the prompt is computed.

mod forecast;
mod queue;
mod retry_after;
mod split;
mod spread;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

pub use forecast::Forecast;
pub use queue::{Queue, Rank, Waiting};
pub use retry_after::RetryAfter;
pub use split::Demand;
pub use spread::Spread;

use crate::{
    Instant, Name,
    catalog::Engine,
    directory::{Endpoint, Software, Stage},
    health::Tracker,
    limit::Limits,
    load::Loads,
    pace::Paces,
    request::Tokens,
    residency::Residency,
    warm_up,
};

/// Tokens in one block of KV-cache memory, the unit in which an engine allocates it.
const BLOCK_TOKENS: u64 = 16;
/// Cost of an engine whose memory is fully used, in milliseconds of delay.
const FULL_MEMORY_COST_MS: f64 = 60.0;
/// Cost of a request that runs in another data centre, in milliseconds of delay.
const REMOTE_COST_MS: f64 = 50.0;
/// Cost of a computed prompt's transfer between data centres, in milliseconds of delay; more than that
/// of the request, which has fewer bytes.
const TRANSFER_COST_MS: f64 = 100.0;
/// Cost of an engine in an unreachable data centre, in milliseconds of delay.
const UNREACHABLE_COST_MS: f64 = 2_000.0;
/// Cost of an engine at whose present pace events miss the target for pauses, in milliseconds of
/// delay; that of an engine that fails.
const LATE_EVENT_COST_MS: f64 = 400.0;
/// Cost of an engine whose recent calls have all failed, in milliseconds of delay.
const FAILURE_COST_MS: f64 = 400.0;

/// The engines chosen for a request.
#[value]
pub struct Placement {
    /// The engine that generates its tokens.
    pub decode: Arc<Endpoint>,
    /// The engine that computes its prompt; `None` if the decode engine does.
    pub prefill: Option<Arc<Endpoint>>,
}

/// The inputs of a placement.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Time of the placement.
    pub now: Instant,
    /// The service's endpoints.
    pub endpoints: &'a [Arc<Endpoint>],
    /// Configuration of the service's engines.
    pub engine: &'a Engine,
    /// Loads of the endpoints over all instances.
    pub loads: &'a Loads,
    /// Health of the endpoints.
    pub health: &'a Tracker,
    /// Limits of the endpoints.
    pub limits: &'a Limits,
    /// Cold endpoints.
    pub warm_up: &'a warm_up::Tracker,
    /// Data centre of this instance.
    pub datacentre: &'a str,
    /// Data centres that have gateway instances, none of which is reachable.
    pub unreachable: &'a [Name],
    /// Engines that are changing their stage; they get no requests.
    pub reconfiguring: &'a [Name],
    /// Estimates of the engines' speed.
    pub forecast: &'a Forecast,
    /// Present paces of the engines.
    pub paces: &'a Paces,
    /// Target for the longest pause between events.
    pub target_gap: Option<Duration>,
    /// Randomisation that accounts for the age of the loads.
    pub spread: Spread,
    /// The version that decode engines must have, if a stream goes on.
    pub software: Option<Software>,
    /// Data centres that may process the request.
    pub residency: &'a Residency,
}

/// Returns the memory that a request is expected to need, in tokens, rounded up to whole blocks.
///
/// The expected rather than the maximum length is used: requests end at different times, so those
/// that need more are balanced by others that need less.
pub fn expected_memory(tokens: Tokens) -> u64 {
    tokens.expected_total().next_multiple_of(BLOCK_TOKENS)
}

impl View<'_> {
    /// Chooses engines for a request; `None` if no decode engine has a slot and memory for it.
    pub fn place(&self, tokens: Tokens, excluded: &[Name]) -> Option<Placement> {
        let decode = self.decode(tokens, excluded)?;
        let prefill = self.prefill(&decode.datacentre, excluded);
        Some(Placement { decode, prefill })
    }

    /// Returns the decode engines that are ready for requests and may process this one.
    pub fn decode_engines(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let may_go_on =
            |it: &Endpoint| self.software.is_none_or(|version| version == it.software());
        let is_allowed = |it: &Endpoint| self.residency.allows(&it.datacentre);
        let is_ready = |it: &Endpoint| it.is_ready() && it.stage == Some(Stage::Decode);
        let engines = self.endpoints.iter();
        engines.filter(move |it| is_ready(it) && may_go_on(it) && is_allowed(it))
    }

    fn decode(&self, tokens: Tokens, excluded: &[Name]) -> Option<Arc<Endpoint>> {
        let need = expected_memory(tokens);
        let fits = |it: &&Arc<Endpoint>| {
            let load = self.loads.total(&it.id);
            let has_memory = load.memory_tokens + need <= self.engine.memory_tokens;
            let has_slot =
                load.requests < self.engine.slots && !self.health.is_full(self.now, &it.id);
            has_memory && has_slot && self.is_usable(it) && !excluded.contains(&it.id)
        };
        let mut prefill_waits = None;
        let costs = self.decode_engines().filter(fits).map(|it| {
            let waits = prefill_waits.get_or_insert_with(|| self.prefill_waits(excluded));
            let wait = shortest_wait(waits, &it.datacentre);
            (self.decode_cost(it) + wait, it)
        });
        cheapest(costs)
    }

    fn decode_cost(&self, endpoint: &Endpoint) -> f64 {
        let spread = self.spread_cost(endpoint, self.forecast.mean_stay(), FULL_MEMORY_COST_MS);
        let way = if &*endpoint.datacentre == self.datacentre { 0.0 } else { REMOTE_COST_MS };
        let pace = self.pace_cost(endpoint);
        way + self.common_cost(endpoint) + self.memory_cost(endpoint) + pace + spread
    }

    fn memory_cost(&self, endpoint: &Endpoint) -> f64 {
        let used = self.loads.total(&endpoint.id).memory_tokens as f64;
        used / self.engine.memory_tokens as f64 * FULL_MEMORY_COST_MS
    }

    /// Returns the time by which an event is late at the engine's present pace, and more if it then
    /// misses the target for pauses.
    fn pace_cost(&self, endpoint: &Endpoint) -> f64 {
        let slowdown = self.paces.pace(self.now, &endpoint.id) - 1.0;
        let event_ms = self.forecast.generation_ms(self.engine.event_tokens);
        let target_ms = self.target_gap.map(|it| it.as_secs_f64() * 1_000.0);
        let is_late = target_ms.is_some_and(|it| event_ms * (1.0 + slowdown) > it);
        let late = if slowdown > 0.0 && is_late { LATE_EVENT_COST_MS } else { 0.0 };
        slowdown * event_ms + late
    }

    /// Returns the shortest wait of a prompt in each data centre that has prefill engines, without its
    /// transfer.
    ///
    /// For engines in data centres other than that of this instance, to which all instances may go that
    /// have heard the same, a random part of a mean prompt is added.
    fn prefill_waits(&self, excluded: &[Name]) -> IndexMap<&str, f64> {
        let mean = self.forecast.mean_compute_ms();
        let turnover = Duration::from_secs_f64(mean / 1_000.0);
        let mut waits: IndexMap<&str, f64> = IndexMap::new();
        for it in self.prefill_engines(excluded) {
            let wait = self.prefill_wait_at(it, &it.datacentre);
            let shortest = waits.entry(&it.datacentre).or_insert(f64::INFINITY);
            *shortest = wait.min(*shortest);
        }
        for (datacentre, wait) in &mut waits {
            if *datacentre != self.datacentre {
                *wait += self.spread.cost(datacentre, false, turnover, mean);
            }
        }
        waits
    }

    /// Chooses the engine that computes a prompt for a decode engine in `datacentre`; `None` if no
    /// prefill engine is usable.
    pub fn prefill(&self, datacentre: &str, excluded: &[Name]) -> Option<Arc<Endpoint>> {
        let is_there = |it: &Arc<Endpoint>| &*it.datacentre == datacentre;
        let there = self.prefill_engines(excluded).filter(|it| is_there(it));
        let wait = there.map(|it| self.prefill_wait_at(it, datacentre)).min_by(f64::total_cmp);
        let costs =
            self.prefill_engines(excluded).map(|it| (self.prefill_cost(it, datacentre), it));
        // A prompt is moved only if it would wait for longer, not by the random part of the costs.
        cheapest(costs.filter(|(cost, it)| is_there(it) || wait.is_none_or(|wait| *cost < wait)))
    }

    fn prefill_engines(&self, excluded: &[Name]) -> impl Iterator<Item = &Arc<Endpoint>> {
        let is_prefill = |it: &Endpoint| it.is_ready() && it.stage == Some(Stage::Prefill);
        let engines = self.endpoints.iter().filter(move |it| is_prefill(it) && self.is_usable(it));
        engines.filter(|it| !excluded.contains(&it.id) && self.residency.allows(&it.datacentre))
    }

    fn prefill_cost(&self, endpoint: &Endpoint, datacentre: &str) -> f64 {
        let mean = self.forecast.mean_compute_ms();
        let spread = self.spread_cost(endpoint, Duration::from_secs_f64(mean / 1_000.0), mean);
        self.prefill_wait_at(endpoint, datacentre) + spread
    }

    /// Returns the wait of a prompt at an engine, including the additional time that a mean prompt
    /// takes at its present pace, and the transfer to `datacentre`.
    fn prefill_wait_at(&self, endpoint: &Endpoint, datacentre: &str) -> f64 {
        let backlog = self.forecast.compute_ms(self.loads.total(&endpoint.id).prompt_tokens);
        let transfer = if &*endpoint.datacentre == datacentre { 0.0 } else { TRANSFER_COST_MS };
        let pace = self.paces.pace(self.now, &endpoint.id);
        let slowdown = self.forecast.mean_compute_ms() * (pace - 1.0);
        transfer + self.common_cost(endpoint) + backlog * pace + slowdown
    }

    fn spread_cost(&self, endpoint: &Endpoint, turnover: Duration, max_cost: f64) -> f64 {
        let is_local = &*endpoint.datacentre == self.datacentre;
        self.spread.cost(&endpoint.id, is_local, turnover, max_cost)
    }

    fn is_usable(&self, endpoint: &Endpoint) -> bool {
        !self.health.is_ejected(self.now, &endpoint.id)
            && self.health.backoff(self.now, &endpoint.id).is_none()
            && self.limits.wait(self.now, endpoint).is_none()
            && self.warm_up.wait(self.now, endpoint).is_none()
            && !self.reconfiguring.contains(&endpoint.id)
    }

    fn common_cost(&self, endpoint: &Endpoint) -> f64 {
        let unreachable =
            if self.unreachable.contains(&endpoint.datacentre) { UNREACHABLE_COST_MS } else { 0.0 };
        unreachable + self.health.failure_rate(self.now, &endpoint.id) * FAILURE_COST_MS
    }
}

/// Returns the shortest wait of a prompt that is computed for a decode engine in `datacentre`, by the
/// waits in each data centre, including its transfer.
fn shortest_wait(waits: &IndexMap<&str, f64>, datacentre: &str) -> f64 {
    let transfer = |from: &str| if from == datacentre { 0.0 } else { TRANSFER_COST_MS };
    let waits = waits.iter().map(|(from, wait)| wait + transfer(from));
    waits.min_by(f64::total_cmp).unwrap_or(0.0)
}

fn cheapest<'a>(costs: impl Iterator<Item = (f64, &'a Arc<Endpoint>)>) -> Option<Arc<Endpoint>> {
    let (_, chosen) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
    Some(chosen.clone())
}
