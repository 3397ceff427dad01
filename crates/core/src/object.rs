//! The named objects that operators edit.
//!
//! Objects refer to one another by name. On the platform each is one JSON value under its kind and
//! name; in files they are arrays of tables in TOML. A [`Set`] holds all of them and is checked as
//! a unit before any of it is in force.

use std::sync::Arc;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::place::Policy;

/// A shared immutable name.
pub type Name = Arc<str>;

/// What a service runs.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Workload {
    /// Language models behind separate prefill and decode endpoints.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A service that callers reach through routes.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// What it runs.
    pub workload: Workload,
    /// Names of the models it serves; empty for a plain service.
    #[serde(default)]
    pub models: Vec<Name>,
    /// Share of requests, in percent, that should meet the route's latency targets.
    #[serde(default = "default_objective")]
    pub objective_percent: f64,
}

fn default_objective() -> f64 {
    95.0
}

/// A tenant with a share of the fleet.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: Name,
    /// Weight in the fair share of a pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rate over the whole fleet, in tokens (prompt and output) a second.
    pub rate: u64,
    /// Burst over the whole fleet, in tokens.
    pub burst: u64,
    /// Seconds without the platform after which the team's keys are refused; none for never.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offline_grace_s: Option<u64>,
}

fn default_weight() -> u32 {
    1
}

/// A caller's key, of which only a salted hash is kept.
///
/// The key that a caller presents is `NAME.SECRET`.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Unique name, the public part of the key.
    pub name: Name,
    /// Name of the team that it speaks for.
    pub team: Name,
    /// Salt, in hexadecimal digits.
    pub salt: Arc<str>,
    /// SHA-256 of salt and secret, in hexadecimal digits.
    pub hash: Arc<str>,
    /// Whether it has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
    /// Seconds without the platform after which it is refused; none for the team's setting.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offline_grace_s: Option<u64>,
}

/// How long a route's requests may wait.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Worth nothing when late: refused early when it cannot meet its targets.
    Urgent,
    /// Waits for its turn.
    Patient,
}

/// Maps requests of callers to a pool.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Name of the service.
    pub service: Name,
    /// Name of the pool that runs the requests.
    pub pool: Name,
    /// Model that the route is for; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// HTTP method of a plain route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<Name>,
    /// Path prefix of a plain route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<Name>,
    /// How long requests may wait.
    pub urgency: Urgency,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Largest body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: u64,
    /// Target for the first token, or a plain service's answer, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    #[serde(default = "default_between_tokens")]
    pub between_tokens_ms: u64,
    /// Cost of a plain request against the team's rate, in tokens.
    #[serde(default = "default_cost")]
    pub cost: u64,
}

fn default_body_limit() -> u64 {
    1 << 20
}

fn default_between_tokens() -> u64 {
    45
}

fn default_cost() -> u64 {
    1
}

/// What an endpoint does.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Answers plain requests.
    Plain,
}

/// One worker that a pool sends requests to.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name.
    pub name: Name,
    /// Address, `IP:PORT`.
    pub address: Name,
    /// Name of its data centre.
    pub datacentre: Name,
    /// What it does.
    pub role: Role,
    /// Requests that it runs at once.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Engine memory, in tokens.
    #[serde(default)]
    pub memory: u64,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fences: bool,
    /// Whether it is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Endpoints that run the requests of routes.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: Name,
    /// Name of the service that its endpoints run.
    pub service: Name,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Prefill rate of one endpoint, in tokens a second; used until it has been learned.
    #[serde(default = "default_prefill_rate")]
    pub prefill_rate: u64,
    /// KV transfers that one prefill endpoint's link carries at once.
    #[serde(default = "default_link_slots")]
    pub link_slots: u32,
    /// Time of a transfer, in milliseconds for each 1,000 tokens; used until it has been learned.
    #[serde(default = "default_transfer_ms")]
    pub transfer_ms: u64,
    /// Requests that may wait in one data centre.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// How endpoints are chosen.
    #[serde(default)]
    pub policy: Policy,
}

fn default_prefill_rate() -> u64 {
    20_000
}

fn default_link_slots() -> u32 {
    4
}

fn default_transfer_ms() -> u64 {
    10
}

fn default_queue_limit() -> u32 {
    256
}

/// Every object of a configuration, by kind and name.
#[value(serde, default)]
pub struct Set {
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Teams by name.
    pub teams: IndexMap<Name, Team>,
    /// Keys by name.
    pub keys: IndexMap<Name, Key>,
    /// Routes by name.
    pub routes: IndexMap<Name, Route>,
    /// Pools by name.
    pub pools: IndexMap<Name, Pool>,
}

/// The kind of an object.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A [`Service`].
    Service,
    /// A [`Team`].
    Team,
    /// A [`Key`].
    Key,
    /// A [`Route`].
    Route,
    /// A [`Pool`].
    Pool,
}

impl Kind {
    /// Every kind, in the order in which a set lists them.
    pub const ALL: [Kind; 5] = [Kind::Service, Kind::Team, Kind::Key, Kind::Route, Kind::Pool];

    /// Returns the word that the platform and the files use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Service => "service",
            Kind::Team => "team",
            Kind::Key => "key",
            Kind::Route => "route",
            Kind::Pool => "pool",
        }
    }

    /// Returns the kind that `word` stands for.
    pub fn parse(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

impl Set {
    /// Adds an object from its JSON value.
    ///
    /// # Errors
    ///
    /// Returns the decoder's message if the value is not an object of that kind.
    pub fn insert(
        &mut self,
        kind: Kind,
        value: serde_json::Value,
    ) -> Result<(), serde_json::Error> {
        match kind {
            Kind::Service => add(&mut self.services, value, |it: &Service| it.name.clone()),
            Kind::Team => add(&mut self.teams, value, |it: &Team| it.name.clone()),
            Kind::Key => add(&mut self.keys, value, |it: &Key| it.name.clone()),
            Kind::Route => add(&mut self.routes, value, |it: &Route| it.name.clone()),
            Kind::Pool => add(&mut self.pools, value, |it: &Pool| it.name.clone()),
        }
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Service => drop(self.services.swap_remove(name)),
            Kind::Team => drop(self.teams.swap_remove(name)),
            Kind::Key => drop(self.keys.swap_remove(name)),
            Kind::Route => drop(self.routes.swap_remove(name)),
            Kind::Pool => drop(self.pools.swap_remove(name)),
        }
    }

    /// Iterates over the names of the objects of a kind.
    pub fn names(&self, kind: Kind) -> Box<dyn Iterator<Item = &Name> + '_> {
        match kind {
            Kind::Service => Box::new(self.services.keys()),
            Kind::Team => Box::new(self.teams.keys()),
            Kind::Key => Box::new(self.keys.keys()),
            Kind::Route => Box::new(self.routes.keys()),
            Kind::Pool => Box::new(self.pools.keys()),
        }
    }

    /// Returns an object as JSON text.
    pub fn json(&self, kind: Kind, name: &str) -> Option<String> {
        let json = match kind {
            Kind::Service => serde_json::to_string(self.services.get(name)?),
            Kind::Team => serde_json::to_string(self.teams.get(name)?),
            Kind::Key => serde_json::to_string(self.keys.get(name)?),
            Kind::Route => serde_json::to_string(self.routes.get(name)?),
            Kind::Pool => serde_json::to_string(self.pools.get(name)?),
        };
        Some(json.expect("objects have string keys only"))
    }

    /// Returns the JSON value of each object with its kind and name.
    pub fn values(&self) -> Vec<(Kind, Name, serde_json::Value)> {
        let mut out = Vec::new();
        collect(&mut out, Kind::Service, &self.services);
        collect(&mut out, Kind::Team, &self.teams);
        collect(&mut out, Kind::Key, &self.keys);
        collect(&mut out, Kind::Route, &self.routes);
        collect(&mut out, Kind::Pool, &self.pools);
        out
    }
}

fn add<T: serde::de::DeserializeOwned>(
    map: &mut IndexMap<Name, T>,
    value: serde_json::Value,
    name: impl Fn(&T) -> Name,
) -> Result<(), serde_json::Error> {
    let object: T = serde_json::from_value(value)?;
    map.insert(name(&object), object);
    Ok(())
}

fn collect<T: serde::Serialize>(
    out: &mut Vec<(Kind, Name, serde_json::Value)>,
    kind: Kind,
    map: &IndexMap<Name, T>,
) {
    for (name, object) in map {
        let value = serde_json::to_value(object).expect("objects have string keys only");
        out.push((kind, name.clone(), value));
    }
}
