//! Placement at model engines: a decode place is promised before a prompt is computed.

mod forecast;
mod queue;
mod retry_after;
mod split;
mod spread;

use std::{sync::Arc, time::Duration};

use siskinstile_macros::value;

pub use forecast::Forecast;
pub use queue::{Queue, Rank, Waiting};
pub use retry_after::RetryAfter;
pub use split::Demand;
pub use spread::Spread;

use crate::{
    Instant, Name,
    catalog::Engine,
    directory::{Endpoint, Stage},
    health::Tracker,
    load::Loads,
    request::Tokens,
};

/// Memory of an engine is given out in blocks of this many tokens.
const BLOCK_TOKENS: u64 = 16;
/// Cost of an engine that is completely full, in milliseconds of delay.
const FULLNESS_COST_MS: f64 = 60.0;
/// Cost of a hop to another data centre, in milliseconds of delay.
const REMOTE_COST_MS: f64 = 50.0;
/// Cost of an engine in a data centre that is not heard of.
const UNREACHABLE_COST_MS: f64 = 2_000.0;
/// Cost of an engine whose recent calls have all failed.
const FAILURE_COST_MS: f64 = 400.0;

/// Where a request runs.
#[value]
pub struct Placement {
    /// The engine that generates its tokens.
    pub decode: Arc<Endpoint>,
    /// The engine that computes its prompt; none where the decode engine does.
    pub prefill: Option<Arc<Endpoint>>,
}

/// What a placement is decided on.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The moment.
    pub now: Instant,
    /// The service's endpoints.
    pub endpoints: &'a [Arc<Endpoint>],
    /// Properties of its engines.
    pub engine: &'a Engine,
    /// What instances have there.
    pub loads: &'a Loads,
    /// What answers have told.
    pub health: &'a Tracker,
    /// Data centre of this instance.
    pub datacentre: &'a str,
    /// Data centres that have instances, none of which is heard of.
    pub unreachable: &'a [Name],
    /// Engines that are changing their stage.
    pub reconfiguring: &'a [Name],
    /// What has been learnt of the engines' speed.
    pub forecast: &'a Forecast,
    /// How old loads may be.
    pub spread: Spread,
}

/// Returns the memory that a request is expected to need, in tokens.
///
/// Requests end at different times, so that one which needs more meets others that need less.
pub fn expected_memory(tokens: Tokens) -> u64 {
    tokens.expected_total().next_multiple_of(BLOCK_TOKENS)
}

impl View<'_> {
    /// Chooses engines for a request; none if no decode engine has room for it.
    pub fn place(&self, tokens: Tokens, excluded: &[Name]) -> Option<Placement> {
        let decode = self.decode(tokens, excluded)?;
        let prefill = self.prefill(&decode.datacentre, excluded);
        Some(Placement { decode, prefill })
    }

    /// Returns the decode engines that take requests.
    pub fn decode_engines(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.iter().filter(|it| it.is_ready() && it.stage == Some(Stage::Decode))
    }

    fn decode(&self, tokens: Tokens, excluded: &[Name]) -> Option<Arc<Endpoint>> {
        let need = expected_memory(tokens);
        let fits = |it: &&Arc<Endpoint>| {
            let load = self.loads.total(&it.id);
            let room = load.memory_tokens + need <= self.engine.memory_tokens;
            let free = load.requests < self.engine.slots && !self.health.is_full(self.now, &it.id);
            room && free && self.is_usable(it) && !excluded.contains(&it.id)
        };
        let cost = |it: &Endpoint| {
            let spread = self.spread_cost(it, self.forecast.mean_stay(), FULLNESS_COST_MS);
            self.common_cost(it, self.datacentre) + self.fullness(it) + spread
        };
        cheapest(self.decode_engines().filter(fits), cost)
    }

    fn fullness(&self, endpoint: &Endpoint) -> f64 {
        let used = self.loads.total(&endpoint.id).memory_tokens as f64;
        used / self.engine.memory_tokens as f64 * FULLNESS_COST_MS
    }

    /// Chooses the engine that computes a prompt for a decode engine in a data centre.
    pub fn prefill(&self, datacentre: &str, excluded: &[Name]) -> Option<Arc<Endpoint>> {
        let usable = |it: &&Arc<Endpoint>| {
            let fit = it.is_ready() && it.stage == Some(Stage::Prefill);
            fit && self.is_usable(it) && !excluded.contains(&it.id)
        };
        let mean = self.forecast.mean_compute_ms();
        let cost = |it: &Endpoint| {
            let backlog = self.forecast.compute_ms(self.loads.total(&it.id).prompt_tokens);
            let spread = self.spread_cost(it, Duration::from_secs_f64(mean / 1_000.0), mean);
            self.common_cost(it, datacentre) + backlog + spread
        };
        cheapest(self.endpoints.iter().filter(usable), cost)
    }

    fn spread_cost(&self, endpoint: &Endpoint, turnover: Duration, most: f64) -> f64 {
        let is_local = &*endpoint.datacentre == self.datacentre;
        self.spread.cost(&endpoint.id, is_local, turnover, most)
    }

    fn is_usable(&self, endpoint: &Endpoint) -> bool {
        !self.health.is_ejected(self.now, &endpoint.id)
            && !self.reconfiguring.contains(&endpoint.id)
    }

    fn common_cost(&self, endpoint: &Endpoint, local_datacentre: &str) -> f64 {
        let remote = if &*endpoint.datacentre == local_datacentre { 0.0 } else { REMOTE_COST_MS };
        let unreachable =
            if self.unreachable.contains(&endpoint.datacentre) { UNREACHABLE_COST_MS } else { 0.0 };
        remote + unreachable + self.health.failure_rate(self.now, &endpoint.id) * FAILURE_COST_MS
    }
}

fn cheapest<'a>(
    endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    cost: impl Fn(&Endpoint) -> f64,
) -> Option<Arc<Endpoint>> {
    let costs = endpoints.map(|it| (cost(it), it));
    let (_, chosen) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
    Some(chosen.clone())
}
