//! The configuration in force: routes, services and teams, checked as a unit.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::Name;

/// What may be repeated of a route's requests.
#[value(id)]
pub enum Retry {
    /// The requests are idempotent.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream; a request runs at most once unless the stream can be resumed.
    Stream {
        /// Whether another endpoint can go on after the last event that was received.
        resumable: bool,
    },
}

impl Retry {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Retry::Idempotent | Retry::Stream { resumable: true })
    }
}

/// A service with its share of a route's requests.
#[value]
pub struct Split {
    /// Name of the service.
    pub service: Name,
    /// Relative weight.
    pub weight: u32,
}

/// Where requests under a host and a path prefix go.
#[value]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub retry: Retry,
    /// Longest time until the answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest pause between events of a stream that is on time.
    pub target_gap: Option<Duration>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that run the requests.
    pub splits: Vec<Split>,
}

impl Route {
    /// Returns the service for a request, by a number that is uniform over requests.
    pub fn pick_service(&self, draw: u64) -> &Name {
        let total: u64 = self.splits.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = draw % total.max(1);
        for split in &self.splits {
            match left.checked_sub(split.weight.into()) {
                Some(rest) => left = rest,
                None => return &split.service,
            }
        }
        &self.splits[0].service
    }
}

/// What a service's model engines offer.
#[value]
pub struct Engine {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Memory of one engine, in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
    /// Longest time for which a place can be held.
    pub hold_limit: Duration,
    /// Time for which a computed prompt is kept.
    pub handle_retention: Duration,
    /// Time that a change of stage takes.
    pub reconfigure_time: Duration,
}

/// A service that runs requests.
#[value]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Most connections that one endpoint takes from all callers together.
    pub connection_limit: u32,
    /// Its engines' properties; none for a plain service.
    pub engine: Option<Engine>,
}

/// A team's rate and burst over the whole fleet.
#[value]
pub struct Quota {
    /// Units a second.
    pub rate: u64,
    /// Units that may be spent at once.
    pub burst: u64,
    /// Whether the units are tokens; else they are requests.
    pub in_tokens: bool,
    /// Tokens that a request without counts stands for.
    pub default_tokens: u64,
}

impl Quota {
    /// Returns what a request costs.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.in_tokens {
            true => tokens.unwrap_or(self.default_tokens),
            false => 1,
        }
    }
}

/// A team and its keys.
#[value]
pub struct Team {
    /// Unique name.
    pub name: Name,
    /// Keys that speak for it.
    pub keys: Vec<Name>,
    /// Rank that goes before a route's.
    pub priority: Option<u32>,
    /// Rate and burst; none for no limit.
    pub quota: Option<Quota>,
}

/// Limits on what a caller may send.
#[value]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// The parts of a configuration before they are checked.
#[value]
pub struct Draft {
    /// Version; grows with each configuration.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Limits on callers.
    pub limits: Limits,
}

/// A fault of a configuration, with the object and the field that it is in.
#[value(eq)]
#[derive(thiserror::Error)]
pub enum Problem {
    /// A route names a service that is not there.
    #[error("route {route}: service {service} does not exist")]
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// A route names no service.
    #[error("route {route}: no service")]
    NoService {
        /// The route.
        route: Name,
    },
    /// A prefix does not begin and end with a slash.
    #[error("route {route}: path prefix {prefix} does not begin and end with a slash")]
    Prefix {
        /// The route.
        route: Name,
        /// The prefix.
        prefix: Name,
    },
    /// A key belongs to two teams.
    #[error("team {team}: one of its keys belongs to another team as well")]
    SharedKey {
        /// The later of the teams.
        team: Name,
    },
}

/// A checked configuration.
#[value]
pub struct Catalog {
    /// Version; grows with each configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    hosts: IndexMap<Name, Vec<Arc<Route>>>,
    services: IndexMap<Name, Arc<Service>>,
    teams: IndexMap<Name, Arc<Team>>,
    keys: IndexMap<Name, Arc<Team>>,
}

impl Catalog {
    /// Checks a draft as a unit.
    pub fn check(draft: Draft) -> Result<Catalog, Problem> {
        let services: IndexMap<Name, Arc<Service>> =
            draft.services.into_iter().map(|it| (it.name.clone(), Arc::new(it))).collect();
        let mut hosts: IndexMap<Name, Vec<Arc<Route>>> = IndexMap::new();
        for route in draft.routes {
            check_route(&route, &services)?;
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let teams: Vec<Arc<Team>> = draft.teams.into_iter().map(Arc::new).collect();
        Ok(Catalog {
            version: draft.version,
            limits: draft.limits,
            hosts,
            services,
            keys: index_keys(&teams)?,
            teams: teams.into_iter().map(|it| (it.name.clone(), it)).collect(),
        })
    }

    /// Returns the route of a request: the one of its host with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the team that a key speaks for.
    pub fn team_of(&self, key: &str) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// Returns the teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.values()
    }

    /// Returns whether requests need a key unless their route is open.
    pub fn requires_keys(&self) -> bool {
        !self.teams.is_empty()
    }
}

fn check_route(route: &Route, services: &IndexMap<Name, Arc<Service>>) -> Result<(), Problem> {
    let name = || route.name.clone();
    if route.splits.is_empty() {
        return Err(Problem::NoService { route: name() });
    }
    if let Some(split) = route.splits.iter().find(|it| !services.contains_key(&it.service)) {
        return Err(Problem::UnknownService { route: name(), service: split.service.clone() });
    }
    match route.prefix.starts_with('/') && route.prefix.ends_with('/') {
        true => Ok(()),
        false => Err(Problem::Prefix { route: name(), prefix: route.prefix.clone() }),
    }
}

fn index_keys(teams: &[Arc<Team>]) -> Result<IndexMap<Name, Arc<Team>>, Problem> {
    let mut keys = IndexMap::new();
    for team in teams {
        for key in &team.keys {
            match keys.insert(key.clone(), team.clone()) {
                Some(other) if other.name != team.name => {
                    return Err(Problem::SharedKey { team: team.name.clone() });
                }
                _ => {}
            }
        }
    }
    Ok(keys)
}
