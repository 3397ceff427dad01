//! Simulated pools and the requests of their callers.

use std::time::Duration;

use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    key,
    object::{self, Policy, Set},
};

use super::{Prefixes, Site};
use crate::policy::engine::{BLOCK_TOKENS, Demand, step_seconds};

/// Slots of a decode engine.
const SLOTS: u64 = 16;
/// Memory of a decode engine, in blocks.
const DECODE_BLOCKS: u64 = 80;
/// Prefix cache memory of a prefill engine, in blocks.
const PREFILL_BLOCKS: u64 = 100;
/// Prefill rate of an engine, in tokens per second.
const PREFILL_RATE: f64 = 20_000.0;
/// Burst of each team, in tokens; so large that no team is rate-limited.
const BURST: u64 = 1_000_000_000;
/// Number of sampled requests from which the capacity is estimated.
const SAMPLES: u64 = 20_000;
/// First-token target of urgent requests.
const URGENT_FIRST_TOKEN: Duration = Duration::from_millis(1_700);
/// First-token target of patient requests.
const PATIENT_FIRST_TOKEN: Duration = Duration::from_secs(20);

/// A team and its share of the demand.
pub(super) struct Team {
    pub(super) name: &'static str,
    weight: u32,
    /// Share of the requests that this team sends.
    demand_share: f64,
}

/// The teams; two of them send 65 % of the requests.
pub(super) const TEAMS: [Team; 5] = [
    Team { name: "north", weight: 4, demand_share: 0.40 },
    Team { name: "south", weight: 3, demand_share: 0.25 },
    Team { name: "east", weight: 1, demand_share: 0.15 },
    Team { name: "west", weight: 1, demand_share: 0.10 },
    Team { name: "hills", weight: 1, demand_share: 0.10 },
];

impl Team {
    /// Returns the share of the pool's capacity that the team's weight entitles it to.
    pub(super) fn weight_share(&self) -> f64 {
        let total: u32 = TEAMS.iter().map(|it| it.weight).sum();
        f64::from(self.weight) / f64::from(total)
    }
}

/// One sampled request.
pub(super) struct Sample {
    pub(super) demand: Demand,
    pub(super) team: usize,
    pub(super) patient: bool,
    pub(super) first_token_target: Duration,
}

/// A pool and its demand.
pub(super) struct Workload {
    prefill_engines: u64,
    decode_engines: u64,
    /// Upper bound, exclusive, of the numbers of the shared prefixes; the lowest number is 1.
    prefix_groups: u64,
    /// Share of the requests that are patient; the others are urgent.
    patient_share: f64,
    /// Share of the requests with a long prompt: 8,000 to 24,000 tokens without a shared prefix.
    long_share: f64,
}

impl Workload {
    pub(super) fn new(site: Site, long_prompts: bool) -> Workload {
        let long_share = if long_prompts { 0.3 } else { 0.03 };
        match site {
            Site::Board => Workload {
                prefill_engines: 3,
                decode_engines: 9,
                prefix_groups: 40,
                patient_share: 0.6,
                long_share,
            },
            Site::Association => Workload {
                prefill_engines: 5,
                decode_engines: 15,
                prefix_groups: 80,
                patient_share: 0.1,
                long_share,
            },
            _ => Workload {
                prefill_engines: 45,
                decode_engines: 145,
                prefix_groups: 600,
                patient_share: 0.5,
                long_share,
            },
        }
    }

    /// Samples a request.
    pub(super) fn sample(&self, rng: &mut impl Rng, id: u64) -> Sample {
        let mut remaining = rng.random::<f64>();
        let team = TEAMS.iter().position(|team| {
            remaining -= team.demand_share;
            remaining < 0.0
        });
        let patient = rng.random_bool(self.patient_share);
        let mean = if patient { 300.0 } else { 150.0 };
        let output_tokens = (mean * log_normal(rng, 0.6)).clamp(8.0, mean * 4.0) as u64;
        let (prompt_tokens, prefixes) = self.prompt(rng, id);
        Sample {
            demand: Demand { prompt_tokens, prefixes, max_tokens: mean as u64 * 4, output_tokens },
            team: team.unwrap_or(TEAMS.len() - 1),
            patient,
            first_token_target: if patient { PATIENT_FIRST_TOKEN } else { URGENT_FIRST_TOKEN },
        }
    }

    /// Samples the length of a prompt and the prefix hash of each of its blocks.
    fn prompt(&self, rng: &mut impl Rng, id: u64) -> (u64, Prefixes) {
        let kind = rng.random::<f64>();
        let unique_tokens = match kind {
            _ if kind < self.long_share => rng.random_range(8_000..24_000),
            _ => 30 + (-(1.0 - rng.random::<f64>()).ln() * 1_200.0).min(6_000.0) as u64,
        };
        let shared_blocks = match kind {
            _ if kind < self.long_share + 0.2 => Vec::new(),
            _ => self.shared_prefix(rng),
        };
        let tokens = shared_blocks.len() as u64 * BLOCK_TOKENS + unique_tokens;
        let unique_blocks =
            (0..unique_tokens / BLOCK_TOKENS).map(|block| hash(u64::MAX - id, block));
        (tokens, shared_blocks.iter().copied().chain(unique_blocks).collect())
    }

    /// Samples the blocks of a shared prefix; a few prefixes are requested much more often than the
    /// others.
    fn shared_prefix(&self, rng: &mut impl Rng) -> Vec<u64> {
        let group = (self.prefix_groups as f64).powf(rng.random::<f64>()) as u64;
        (0..1 + group * 7 % 6).map(|block| hash(group, block)).collect()
    }

    /// Returns the estimated maximum throughput of the pool in requests per second, with every
    /// shared prefix cached.
    pub(super) fn capacity(&self, seed: u64) -> f64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xca9a);
        let (mut uncached, mut output, mut block_use) = (0.0, 0.0, 0.0);
        for id in 0..SAMPLES {
            let demand = self.sample(&mut rng, id).demand;
            let unique_blocks = demand.prefixes.iter().filter(|it| **it >> 63 == 1).count() as u64;
            let shared_tokens = (demand.prefixes.len() as u64 - unique_blocks) * BLOCK_TOKENS;
            uncached += (demand.prompt_tokens - shared_tokens) as f64;
            output += demand.output_tokens as f64;
            let blocks = (demand.prompt_tokens + demand.max_tokens).div_ceil(BLOCK_TOKENS);
            block_use += blocks as f64 * demand.output_tokens as f64;
        }
        let samples = SAMPLES as f64;
        let batch = (DECODE_BLOCKS as f64 * output / block_use).min(SLOTS as f64);
        let decode = self.decode_engines as f64 * batch / (output / samples * step_seconds(batch));
        let prefill = self.prefill_engines as f64 * PREFILL_RATE / (uncached / samples);
        decode.min(prefill)
    }

    /// Returns the configuration objects of the pool, its teams and routes.
    pub(super) fn set(&self, policy: Policy) -> Set {
        let mut set = Set::default();
        let mut add = |kind, value| set.insert(kind, value).expect("the object is well formed");
        use object::Kind::{Key, Pool, Route, Service, Team};
        use serde_json::json;
        let models = ["assist", "review"];
        add(Service, json!({ "name": "service", "workload": "model", "models": models }));
        for team in &TEAMS {
            let (name, weight) = (team.name, team.weight);
            let rate = self.prefill_engines * PREFILL_RATE as u64;
            add(Team, json!({ "name": name, "weight": weight, "rate": rate, "burst": BURST }));
            let salt = [name.as_bytes()[0]; 16];
            let hash = key::hash(&salt, "secret");
            let salt = format!("{:02x}", salt[0]).repeat(salt.len());
            let key = format!("{name}-key");
            add(Key, json!({ "name": key, "team": name, "salt": salt, "hash": hash }));
        }
        for (model, urgency, target) in
            [("assist", "urgent", URGENT_FIRST_TOKEN), ("review", "patient", PATIENT_FIRST_TOKEN)]
        {
            add(
                Route,
                json!({
                    "name": model, "service": "service", "pool": "pool", "model": model,
                    "urgency": urgency, "idempotent": true,
                    "first_token_ms": target.as_millis() as u64,
                }),
            );
        }
        let endpoints: Vec<_> = (0..self.prefill_engines)
            .map(|index| self.endpoint("prefill", index, 4, PREFILL_BLOCKS))
            .chain(
                (0..self.decode_engines)
                    .map(|index| self.endpoint("decode", index, SLOTS, DECODE_BLOCKS)),
            )
            .collect();
        add(
            Pool,
            json!({
                "name": "pool", "service": "service", "endpoints": endpoints,
                "policy": policy, "queue_limit": 32 * self.decode_engines,
            }),
        );
        set
    }

    fn endpoint(&self, role: &str, index: u64, slots: u64, blocks: u64) -> serde_json::Value {
        let port = if role == "prefill" { 10_000 } else { 20_000 } + index;
        serde_json::json!({
            "name": format!("{role}-{index}"), "address": format!("127.0.0.1:{port}"),
            "datacentre": "dc", "role": role, "places": slots,
            "memory": blocks * BLOCK_TOKENS,
        })
    }
}

/// Returns the hash of the prefix that ends with this block. Its highest bit is that of `group`,
/// which is set for blocks that belong to one request only.
fn hash(group: u64, block: u64) -> u64 {
    let unique_bit = group >> 63 << 63;
    let mixed = (group ^ block.rotate_left(40)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    unique_bit | mixed >> 1
}

/// Returns a sample of a log-normal distribution with mean 1.
fn log_normal(rng: &mut impl Rng, sigma: f64) -> f64 {
    let (u, v) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
