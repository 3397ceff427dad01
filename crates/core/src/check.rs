//! Validates a whole set of objects before any of it is published.
//!
//! All violations are reported at once. References between kinds are acyclic (key to team, route to
//! pool and service, pool to service), so objects cannot form a cycle.
//!
//! A team's rate is compared with a simple upper bound: the sum of `prefill_rate` over the prefill
//! endpoints of all pools. A set without prefill endpoints has no such bound. Every team can call
//! every route, so each team's burst has to cover one request of the most expensive plain route
//! that requires a key.

mod pool;
mod problem;
mod route;

use std::collections::HashMap;
use std::{fmt, io};

use serde::Serialize;
use siskinstile_macros::value;

pub use problem::Problem;

use crate::object::{Key, Kind, Name, Role, Route, Service, Set, Team, Workload};

/// Maximum length of a name, in characters.
pub const NAME_MAX: usize = 63;

/// Maximum size of an object's JSON value, in bytes.
pub const VALUE_MAX: usize = 1_000_000;

/// Maximum body limit of a route, in bytes.
pub const BODY_LIMIT_MAX: u64 = 64 << 20;

/// Minimum length of a key's salt, in bytes.
pub const SALT_BYTES_MIN: usize = 16;

/// Length of a key's hash, in bytes.
pub const HASH_BYTES: usize = 32;

const OBJECTIVE_PERCENT_MIN: f64 = 50.0;
const OBJECTIVE_PERCENT_BOUND: f64 = 100.0;

/// One invalid field of an object.
#[value]
pub struct Violation {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: Name,
    /// Field of the object, such as `team` or `endpoints[2].address`.
    pub field: String,
    /// Why the field is invalid.
    pub problem: Problem,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`, {}: {}", self.kind.as_str(), self.name, self.field, self.problem)
    }
}

/// Returns all violations of a set; an empty list if it may be published.
pub fn check(set: &Set) -> Vec<Violation> {
    let mut report = Report::default();
    check_names(set, &mut report);
    check_sizes(set, &mut report);
    check_services(set, &mut report);
    check_teams(set, &mut report);
    check_keys(set, &mut report);
    route::check(set, &mut report);
    pool::check(set, &mut report);
    report.violations
}

/// Collects violations.
#[derive(Default)]
struct Report {
    violations: Vec<Violation>,
}

impl Report {
    fn add(&mut self, kind: Kind, name: &Name, field: &str, problem: Problem) {
        self.violations.push(Violation {
            kind,
            name: name.clone(),
            field: field.to_owned(),
            problem,
        });
    }

    /// Adds a reference to an object that does not exist.
    fn missing(&mut self, kind: Kind, name: &Name, field: &str, to: Kind, target: &Name) {
        self.add(kind, name, field, Problem::Missing { kind: to, name: target.clone() });
    }

    fn check_nonzero(&mut self, kind: Kind, name: &Name, field: &str, number: u64) {
        if number == 0 {
            self.add(kind, name, field, Problem::Zero);
        }
    }

    fn check_name(&mut self, kind: Kind, name: &Name, field: &str, value: &Name) {
        if !is_name(value) {
            self.add(kind, name, field, Problem::InvalidName { name: value.clone() });
        }
    }

    fn check_size(&mut self, kind: Kind, name: &Name, object: &impl Serialize) {
        let bytes = json_size(object);
        if bytes > VALUE_MAX {
            self.add(kind, name, "value", Problem::TooLarge { bytes });
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
    (1..=NAME_MAX).contains(&text.len()) && text.bytes().all(allowed)
}

/// A writer that only counts the bytes written to it.
struct Counter(usize);

impl io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn json_size(object: &impl Serialize) -> usize {
    let mut counter = Counter(0);
    serde_json::to_writer(&mut counter, object).expect("objects have string keys only");
    counter.0
}

fn check_names(set: &Set, report: &mut Report) {
    let services = set.services.keys().map(|name| (Kind::Service, name));
    let teams = set.teams.keys().map(|name| (Kind::Team, name));
    let keys = set.keys.keys().map(|name| (Kind::Key, name));
    let routes = set.routes.keys().map(|name| (Kind::Route, name));
    let pools = set.pools.keys().map(|name| (Kind::Pool, name));
    for (kind, name) in services.chain(teams).chain(keys).chain(routes).chain(pools) {
        report.check_name(kind, name, "name", name);
    }
}

fn check_sizes(set: &Set, report: &mut Report) {
    set.services.iter().for_each(|(name, it)| report.check_size(Kind::Service, name, it));
    set.teams.iter().for_each(|(name, it)| report.check_size(Kind::Team, name, it));
    set.keys.iter().for_each(|(name, it)| report.check_size(Kind::Key, name, it));
    set.routes.iter().for_each(|(name, it)| report.check_size(Kind::Route, name, it));
    set.pools.iter().for_each(|(name, it)| report.check_size(Kind::Pool, name, it));
}

fn check_services(set: &Set, report: &mut Report) {
    for service in set.services.values() {
        check_objective(service, report);
        check_models(service, report);
    }
}

fn check_objective(service: &Service, report: &mut Report) {
    let percent = service.objective_percent;
    if !(OBJECTIVE_PERCENT_MIN..OBJECTIVE_PERCENT_BOUND).contains(&percent) {
        let problem = Problem::ObjectiveOutOfRange { percent };
        report.add(Kind::Service, &service.name, "objective_percent", problem);
    }
}

fn check_models(service: &Service, report: &mut Report) {
    match service.workload {
        Workload::Model if service.models.is_empty() => {
            report.add(Kind::Service, &service.name, "models", Problem::NoModels);
        }
        Workload::Plain if !service.models.is_empty() => {
            report.add(Kind::Service, &service.name, "models", Problem::PlainWithModels);
        }
        _ => {}
    }
    let mut seen = HashMap::new();
    for (index, model) in service.models.iter().enumerate() {
        let field = format!("models[{index}]");
        report.check_name(Kind::Service, &service.name, &field, model);
        if seen.insert(model, index).is_some() {
            let problem = Problem::Duplicate { name: model.clone() };
            report.add(Kind::Service, &service.name, &field, problem);
        }
    }
}

fn check_teams(set: &Set, report: &mut Report) {
    let capacity = prefill_capacity(set);
    let costliest = costliest_route(set);
    for team in set.teams.values() {
        report.check_nonzero(Kind::Team, &team.name, "weight", team.weight.into());
        report.check_nonzero(Kind::Team, &team.name, "rate", team.rate);
        report.check_nonzero(Kind::Team, &team.name, "burst", team.burst);
        check_grace(Kind::Team, &team.name, team.offline_grace_s, report);
        check_rate(team, capacity, report);
        check_burst(team, costliest, report);
    }
}

/// Returns the total prefill rate of all pools, in tokens per second; none without prefill
/// endpoints.
fn prefill_capacity(set: &Set) -> Option<u64> {
    let prefill = |pool: &crate::object::Pool| {
        let count = pool.endpoints.iter().filter(|it| it.role == Role::Prefill).count();
        (count > 0).then(|| pool.prefill_rate.saturating_mul(count as u64))
    };
    set.pools.values().filter_map(prefill).reduce(u64::saturating_add)
}

/// Returns the plain route with the highest cost among those that require a key.
fn costliest_route(set: &Set) -> Option<&Route> {
    let plain = |route: &&Route| {
        let service = set.services.get(&route.service);
        !route.open && service.is_some_and(|it| it.workload == Workload::Plain)
    };
    set.routes.values().filter(plain).max_by_key(|route| route.cost)
}

fn check_rate(team: &Team, capacity: Option<u64>, report: &mut Report) {
    match capacity {
        Some(capacity) if team.rate > capacity => {
            let problem = Problem::RateAboveCapacity { rate: team.rate, capacity };
            report.add(Kind::Team, &team.name, "rate", problem);
        }
        _ => {}
    }
}

fn check_burst(team: &Team, costliest: Option<&Route>, report: &mut Report) {
    match costliest {
        Some(route) if route.cost > team.burst => {
            let (burst, route, cost) = (team.burst, route.name.clone(), route.cost);
            let problem = Problem::BurstBelowCost { burst, route, cost };
            report.add(Kind::Team, &team.name, "burst", problem);
        }
        _ => {}
    }
}

fn check_grace(kind: Kind, name: &Name, seconds: Option<u64>, report: &mut Report) {
    if let Some(seconds) = seconds {
        report.check_nonzero(kind, name, "offline_grace_s", seconds);
    }
}

fn check_keys(set: &Set, report: &mut Report) {
    let mut hashes = HashMap::with_capacity(set.keys.len());
    for key in set.keys.values() {
        if !set.teams.contains_key(&key.team) {
            report.missing(Kind::Key, &key.name, "team", Kind::Team, &key.team);
        }
        check_grace(Kind::Key, &key.name, key.offline_grace_s, report);
        check_hash(key, &mut hashes, report);
    }
}

fn check_hash<'a>(key: &'a Key, hashes: &mut HashMap<Vec<u8>, &'a Name>, report: &mut Report) {
    match hex::decode(&*key.salt) {
        Ok(salt) if salt.len() >= SALT_BYTES_MIN => {}
        _ => report.add(Kind::Key, &key.name, "salt", Problem::InvalidSalt),
    }
    let Some(hash) = hex::decode(&*key.hash).ok().filter(|hash| hash.len() == HASH_BYTES) else {
        return report.add(Kind::Key, &key.name, "hash", Problem::InvalidHash);
    };
    if let Some(other) = hashes.insert(hash, &key.name) {
        let problem = Problem::DuplicateHash { other: other.clone() };
        report.add(Kind::Key, &key.name, "hash", problem);
    }
}
