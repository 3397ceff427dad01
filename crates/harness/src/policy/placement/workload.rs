//! Pools and what their callers ask for.

use std::time::Duration;

use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    key,
    object::{self, Set},
    place::Policy,
};

use super::{Prefixes, Site};
use crate::policy::engine::{Demand, PIECE_TOKENS, step_seconds};

/// Places of a decode engine.
const PLACES: u64 = 16;
/// Memory of a decode engine, in pieces.
const DECODE_PIECES: u64 = 80;
/// Memory for prefixes of a prefill engine, in pieces.
const PREFILL_PIECES: u64 = 100;
/// Prefill rate of an engine, in tokens a second.
const PREFILL_RATE: f64 = 20_000.0;
/// Burst of each team, in tokens, so that no rate binds.
const BURST: u64 = 1_000_000_000;
/// Samples from which means are estimated.
const SAMPLES: u64 = 20_000;
/// First-token target of urgent requests.
const URGENT: Duration = Duration::from_millis(1_700);
/// First-token target of patient requests.
const PATIENT: Duration = Duration::from_secs(20);

/// A team.
pub(super) struct Team {
    pub(super) name: &'static str,
    weight: u32,
    /// Part of the demand.
    part: f64,
}

/// The teams: a few large.
pub(super) const TEAMS: [Team; 5] = [
    Team { name: "north", weight: 4, part: 0.40 },
    Team { name: "south", weight: 3, part: 0.25 },
    Team { name: "east", weight: 1, part: 0.15 },
    Team { name: "west", weight: 1, part: 0.10 },
    Team { name: "hills", weight: 1, part: 0.10 },
];

impl Team {
    /// Returns the part of the pool that its weight stands for.
    pub(super) fn share_of_pool(&self) -> f64 {
        let all: u32 = TEAMS.iter().map(|it| it.weight).sum();
        f64::from(self.weight) / f64::from(all)
    }
}

/// One drawn request.
pub(super) struct Draw {
    pub(super) demand: Demand,
    pub(super) team: usize,
    pub(super) patient: bool,
    pub(super) first_token: Duration,
}

/// A pool and its demand.
pub(super) struct Shape {
    prefills: u64,
    decodes: u64,
    groups: u64,
    patient: f64,
    long: f64,
}

impl Shape {
    pub(super) fn new(site: Site, long: bool) -> Shape {
        let long = if long { 0.3 } else { 0.03 };
        match site {
            Site::Board => Shape { prefills: 3, decodes: 9, groups: 40, patient: 0.6, long },
            Site::Association => Shape { prefills: 5, decodes: 15, groups: 80, patient: 0.1, long },
            _ => Shape { prefills: 45, decodes: 145, groups: 600, patient: 0.5, long },
        }
    }

    /// Draws a request.
    pub(super) fn draw(&self, rng: &mut impl Rng, id: u64) -> Draw {
        let mut pick = rng.random::<f64>();
        let team = TEAMS.iter().position(|team| {
            pick -= team.part;
            pick < 0.0
        });
        let patient = rng.random_bool(self.patient);
        let mean = if patient { 300.0 } else { 150.0 };
        let output = (mean * log_normal(rng, 0.6)).clamp(8.0, mean * 4.0) as u64;
        let (prompt, prefixes) = self.prompt(rng, id);
        Draw {
            demand: Demand { prompt, prefixes, most: mean as u64 * 4, output },
            team: team.unwrap_or(TEAMS.len() - 1),
            patient,
            first_token: if patient { PATIENT } else { URGENT },
        }
    }

    fn prompt(&self, rng: &mut impl Rng, id: u64) -> (u64, Prefixes) {
        let kind = rng.random::<f64>();
        let own = match kind {
            _ if kind < self.long => rng.random_range(8_000..24_000),
            _ => 30 + (-(1.0 - rng.random::<f64>()).ln() * 1_200.0).min(6_000.0) as u64,
        };
        let shared = match kind {
            _ if kind < self.long + 0.2 => Vec::new(),
            _ => self.group(rng),
        };
        let tokens = shared.len() as u64 * PIECE_TOKENS + own;
        let owned = (0..own / PIECE_TOKENS).map(|piece| hash(u64::MAX - id, piece));
        (tokens, shared.iter().copied().chain(owned).collect())
    }

    /// Draws the pieces of a shared prefix; few are asked for often.
    fn group(&self, rng: &mut impl Rng) -> Vec<u64> {
        let group = (self.groups as f64).powf(rng.random::<f64>()) as u64;
        (0..1 + group * 7 % 6).map(|piece| hash(group, piece)).collect()
    }

    /// Returns the requests a second that the pool could run at most, each prefix cached.
    pub(super) fn capacity(&self, seed: u64) -> f64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xca9a);
        let (mut fresh, mut output, mut memory) = (0.0, 0.0, 0.0);
        for id in 0..SAMPLES {
            let demand = self.draw(&mut rng, id).demand;
            let own = demand.prefixes.iter().filter(|it| **it >> 63 == 1).count() as u64;
            let shared = (demand.prefixes.len() as u64 - own) * PIECE_TOKENS;
            fresh += (demand.prompt - shared) as f64;
            output += demand.output as f64;
            let pieces = (demand.prompt + demand.most).div_ceil(PIECE_TOKENS);
            memory += pieces as f64 * demand.output as f64;
        }
        let samples = SAMPLES as f64;
        let batch = (DECODE_PIECES as f64 * output / memory).min(PLACES as f64);
        let decode = self.decodes as f64 * batch / (output / samples * step_seconds(batch));
        let prefill = self.prefills as f64 * PREFILL_RATE / (fresh / samples);
        decode.min(prefill)
    }

    /// Returns the objects of the pool.
    pub(super) fn set(&self, policy: Policy) -> Set {
        let mut set = Set::default();
        let mut add = |kind, value| set.insert(kind, value).expect("the object is well formed");
        use object::Kind::{Key, Pool, Route, Service, Team};
        use serde_json::json;
        let models = ["assist", "review"];
        add(Service, json!({ "name": "service", "workload": "model", "models": models }));
        for team in &TEAMS {
            let (name, weight) = (team.name, team.weight);
            let rate = self.prefills * PREFILL_RATE as u64;
            add(Team, json!({ "name": name, "weight": weight, "rate": rate, "burst": BURST }));
            let salt = [name.as_bytes()[0]; 16];
            let hash = key::hash(&salt, "secret");
            let salt = format!("{:02x}", salt[0]).repeat(salt.len());
            let key = format!("{name}-key");
            add(Key, json!({ "name": key, "team": name, "salt": salt, "hash": hash }));
        }
        for (model, urgency, target) in
            [("assist", "urgent", URGENT), ("review", "patient", PATIENT)]
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
        let endpoints: Vec<_> = (0..self.prefills)
            .map(|index| self.endpoint("prefill", index, 4, PREFILL_PIECES))
            .chain(
                (0..self.decodes)
                    .map(|index| self.endpoint("decode", index, PLACES, DECODE_PIECES)),
            )
            .collect();
        add(
            Pool,
            json!({
                "name": "pool", "service": "service", "endpoints": endpoints,
                "policy": policy, "queue_limit": 32 * self.decodes,
            }),
        );
        set
    }

    fn endpoint(&self, role: &str, index: u64, places: u64, pieces: u64) -> serde_json::Value {
        let port = if role == "prefill" { 10_000 } else { 20_000 } + index;
        serde_json::json!({
            "name": format!("{role}-{index}"), "address": format!("127.0.0.1:{port}"),
            "datacentre": "dc", "role": role, "places": places,
            "memory": pieces * PIECE_TOKENS,
        })
    }
}

/// Returns a prefix hash; those of no group have the highest bit set.
fn hash(group: u64, piece: u64) -> u64 {
    let own = group >> 63 << 63;
    let mixed = (group ^ piece.rotate_left(40)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    own | mixed >> 1
}

fn log_normal(rng: &mut impl Rng, sigma: f64) -> f64 {
    let (u, v) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
