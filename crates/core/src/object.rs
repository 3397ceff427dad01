//! The named configuration objects that operators edit.
//!
//! Objects refer to one another by name. On the platform, each object is one JSON value under its
//! kind and name; in files, the objects of a kind are an array of tables in TOML. A [`Set`]
//! contains all objects of a configuration and is validated as a unit before it is put in force.

mod policy;

use std::sync::Arc;

use indexmap::IndexMap;
use siskinstile_macros::value;

pub use policy::Policy;

/// A shared immutable name.
pub type Name = Arc<str>;

/// The type of a service's requests.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Workload {
    /// Completions of language models on separate prefill and decode endpoints.
    Model,
    /// Plain HTTP requests.
    Plain,
}

/// A service that callers access through routes.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Type of its requests.
    pub workload: Workload,
    /// Names of the models that it serves; empty for a plain service.
    #[serde(default)]
    pub models: Vec<Name>,
    /// Service-level objective: percentage of requests that should meet their route's latency
    /// targets.
    #[serde(default = "default_objective")]
    pub objective_percent: f64,
}

fn default_objective() -> f64 {
    95.0
}

/// A tenant with its rate limit and its share of the fleet.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: Name,
    /// Weight in the weighted fair queueing of a pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rate limit over the whole fleet, in tokens (prompt and output) per second.
    pub rate: u64,
    /// Burst over the whole fleet, in tokens: capacity of the token bucket.
    pub burst: u64,
    /// Seconds without contact with the platform after which the team's keys are refused; if
    /// none, they are never refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offline_grace_s: Option<u64>,
}

fn default_weight() -> u32 {
    1
}

/// A caller's key, of which only a salted hash is stored.
///
/// The key that a caller presents is `NAME.SECRET`.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Unique name; the public part of the key.
    pub name: Name,
    /// Name of the team whose requests it authenticates.
    pub team: Name,
    /// Salt, in hexadecimal digits.
    pub salt: Arc<str>,
    /// SHA-256 of salt and secret, in hexadecimal digits.
    pub hash: Arc<str>,
    /// Whether the key has been revoked.
    #[serde(default)]
    pub withdrawn: bool,
    /// Seconds without contact with the platform after which the key is refused; if none,
    /// the team's setting applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offline_grace_s: Option<u64>,
}

/// How long a route's requests may wait.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Refused, also while queued, once the first token would miss its target, since a late answer
    /// is of no use.
    Urgent,
    /// Refused on arrival if the expected wait exceeds three quarters of the target for the first
    /// token; once queued, waits even if the target cannot be met.
    Patient,
}

/// Maps callers' requests to a pool.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Name of the service.
    pub service: Name,
    /// Name of the pool that runs the requests.
    pub pool: Name,
    /// Model whose requests the route matches; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// HTTP method that a plain route matches; none for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<Name>,
    /// Path prefix that a plain route matches, by whole segments.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<Name>,
    /// How long requests may wait.
    pub urgency: Urgency,
    /// Whether a request may be executed more than once, so that failed attempts can be retried.
    pub idempotent: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: u64,
    /// Latency target for the first token, or for the answer of a plain service, in milliseconds.
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

/// The kind of work that an endpoint runs.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Runs plain requests.
    Plain,
}

/// One server of a pool.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name.
    pub name: Name,
    /// Address, `IP:PORT`.
    pub address: Name,
    /// Name of its data centre.
    pub datacentre: Name,
    /// Kind of work that it runs.
    pub role: Role,
    /// Maximum number of requests that it runs concurrently.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Engine memory for KV caches, in tokens.
    #[serde(default)]
    pub memory: u64,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub fences: bool,
    /// Whether it is being taken out of service and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A group of endpoints that run the requests of routes.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: Name,
    /// Name of the service that its endpoints run.
    pub service: Name,
    /// Endpoints in all data centres.
    pub endpoints: Vec<Endpoint>,
    /// Prefill rate of one endpoint, in tokens per second; the initial estimate until it has been
    /// measured.
    #[serde(default = "default_prefill_rate")]
    pub prefill_rate: u64,
    /// Maximum number of concurrent KV-cache transfers over one prefill endpoint's link.
    #[serde(default = "default_link_slots")]
    pub link_slots: u32,
    /// Duration of a KV-cache transfer, in milliseconds per 1,000 tokens; the initial estimate
    /// until it has been measured.
    #[serde(default = "default_transfer_ms")]
    pub transfer_ms: u64,
    /// Maximum number of requests that wait for the pool in one data centre.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Policy by which endpoints are selected.
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

    /// Returns the name of the kind on the platform and in files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Service => "service",
            Kind::Team => "team",
            Kind::Key => "key",
            Kind::Route => "route",
            Kind::Pool => "pool",
        }
    }

    /// Returns the kind named `name`; none if there is no such kind.
    pub fn parse(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}

impl Set {
    /// Adds an object from its JSON value; replaces one of the same name.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the value is not a valid object of that kind.
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

    /// Removes an object; does nothing if it does not exist.
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

    /// Returns an object as JSON text; none if it does not exist.
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

    /// Returns every object as its kind, name and JSON value.
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
