//! Configuration objects, instance settings and simulated endpoints of the run with six instances.

use std::{collections::BTreeMap, time::Duration};

use serde_json::json;
use siskinstile_core::{
    Instant, key,
    object::{Endpoint, Kind, Name, Set, Team},
    request::{Id, Outcome, Report, Step},
    state::Settings,
};

use crate::world::{EndpointCall, Endpoints};

pub(super) const INSTANCES: usize = 6;
pub(super) const DATACENTRES: usize = 3;
/// The secret of every key; each key has the name of its team.
pub(super) const SECRET: &str = "secret";
pub(super) const MODEL: &str = "assistant-1";
/// Slots of each endpoint; high enough that only the rate limits apply.
const SLOTS: u32 = 100_000;
/// Duration of each step of a request.
const STEP_DURATION: Duration = Duration::from_millis(50);

/// The teams of the association example: name, rate in tokens per second and burst in tokens.
const TEAMS: [(&str, u64, u64); 5] = [
    ("member-staff", 8_000, 64_000),
    ("wash-bays", 6_000, 48_000),
    ("disputes", 2_000, 16_000),
    ("back-office", 1_000, 8_000),
    ("trial-members", 50, 200),
];

pub(super) fn datacentre(index: usize) -> usize {
    index % DATACENTRES
}

pub(super) fn instance(index: usize) -> Name {
    format!("instance-{index}").into()
}

pub(super) fn instance_index(instance: &str) -> usize {
    instance.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}

pub(super) fn settings(index: usize) -> Settings {
    Settings {
        name: instance(index),
        incarnation: 1,
        datacentre: format!("hr-kontinent-{}", datacentre(index)).into(),
        fleet_size: INSTANCES as u64,
        balancer_lag: Duration::from_secs(1),
    }
}

/// Returns the minimum and maximum cost of a team's requests, in tokens.
pub(super) fn costs(team: &Team) -> (u64, u64) {
    (team.burst / 40, team.burst / 8)
}

/// Returns how many of the tokens charged for a request remain unused.
pub(super) fn unused_tokens(request: Id, tokens: u64) -> u64 {
    tokens.saturating_sub(tokens / 2 + generated_tokens(request))
}

/// Returns the number of output tokens that the endpoints report for a request: 0 to 199, not
/// capped at the maximum that the request sets.
fn generated_tokens(request: Id) -> u64 {
    request.0 * 37 % 200
}

pub(super) fn set() -> anyhow::Result<Set> {
    let mut set = Set::default();
    set.insert(
        Kind::Service,
        json!({ "name": "assistant", "workload": "model", "models": [MODEL] }),
    )?;
    set.insert(
        Kind::Route,
        json!({
            "name": "assistant", "service": "assistant", "pool": "assistant", "model": MODEL,
            "urgency": "patient", "idempotent": true, "first_token_ms": 1_500,
        }),
    )?;
    let endpoints: Vec<_> = (0..DATACENTRES)
        .flat_map(|it| [("prefill", 7_000 + it), ("decode", 7_100 + it)].map(|role| (it, role)))
        .map(|(it, (role, port))| {
            json!({
                "name": format!("{role}-{it}"), "address": format!("127.0.0.1:{port}"),
                "datacentre": format!("hr-kontinent-{it}"), "role": role, "places": SLOTS,
                "memory": 1_000_000_000,
            })
        })
        .collect();
    set.insert(
        Kind::Pool,
        json!({
            "name": "assistant", "service": "assistant", "endpoints": endpoints,
            "queue_limit": SLOTS, "link_slots": SLOTS,
        }),
    )?;
    for (name, rate, burst) in TEAMS {
        set.insert(Kind::Team, json!({ "name": name, "rate": rate, "burst": burst }))?;
        let salt_hex = format!("{rate:032x}");
        let salt: Vec<u8> = (0..16)
            .map(|it| u8::from_str_radix(&salt_hex[it * 2..it * 2 + 2], 16).unwrap_or(0))
            .collect();
        let hash = key::hash(&salt, SECRET);
        let object = json!({ "name": name, "team": name, "salt": salt_hex, "hash": hash });
        set.insert(Kind::Key, object)?;
    }
    let violations = siskinstile_core::check::check(&set);
    anyhow::ensure!(violations.is_empty(), "the objects have errors: {violations:?}");
    Ok(set)
}

/// Endpoints that complete each step after [`STEP_DURATION`] and usually generate only part of the
/// requested output.
pub(super) struct Engine {
    sequence: u64,
    scheduled: BTreeMap<(Instant, u64), (Name, Report)>,
    seed: u64,
}

impl Engine {
    pub(super) fn new(seed: u64) -> Engine {
        Engine { sequence: seed, scheduled: BTreeMap::new(), seed }
    }
}

impl Endpoints for Engine {
    fn call(&mut self, now: Instant, call: EndpointCall) {
        let outcome = match call.step {
            Step::Prefill => {
                Outcome::Computed { kv: format!("kv-{}", self.seed).into(), cached: 0 }
            }
            Step::Import { .. } => Outcome::Imported,
            Step::Decode { .. } | Step::Forward => {
                Outcome::Completed { tokens: generated_tokens(call.request), answer: None }
            }
        };
        let report = Report { request: call.request, attempt: call.attempt, outcome };
        self.sequence += 1;
        self.scheduled.insert((now + STEP_DURATION, self.sequence), (call.instance, report));
    }

    fn cancel(&mut self, _now: Instant, _request: Id, _attempt: u32, _endpoint: &Endpoint) {}

    fn next_at(&self) -> Option<Instant> {
        self.scheduled.keys().next().map(|it| it.0)
    }

    fn advance(&mut self, now: Instant) -> Vec<(Name, Report)> {
        let later = self.scheduled.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.scheduled, later).into_values().collect()
    }

    fn disconnect(&mut self, _now: Instant, instance: &str) {
        self.scheduled.retain(|_, (name, _)| &**name != instance);
    }
}
