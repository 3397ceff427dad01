//! The configuration in force: routes, services and teams, validated as a unit.

use std::{sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{
    Name,
    range::{MAX_RATE, MAX_REQUESTS, MAX_SPAN, MAX_TOKENS, MAX_TOTAL, Ranged, clamp, clamp_some},
};

/// Whether and how the requests of a route may be retried.
#[value(id)]
pub enum Retry {
    /// The requests are idempotent.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The response is a stream; a request runs at most once unless the stream is resumable.
    Stream {
        /// Whether another endpoint can continue after the last received event.
        resumable: bool,
    },
}

impl Retry {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Retry::Idempotent | Retry::Stream { resumable: true })
    }
}

/// A service and its share of a route's requests.
#[value]
pub struct Split {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Target and parameters of requests under a host and a path prefix.
#[value]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Value of the `Host` header.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Whether and how requests may be retried.
    pub retry: Retry,
    /// Maximum time until the complete response; the request then fails.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest pause between events of a stream.
    pub target_gap: Option<Duration>,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Priority; 0 goes first.
    pub priority: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that run the requests.
    pub splits: Vec<Split>,
    /// Regions that requests must stay in; empty for no restriction.
    pub regions: Vec<Name>,
}

impl Route {
    /// Returns the service for a request by weight; `draw` must be uniform over requests.
    pub fn pick_service(&self, draw: u64) -> &Name {
        let total: u64 = self.splits.iter().map(|it| u64::from(it.weight)).sum();
        let mut remaining = draw % total.max(1);
        for split in &self.splits {
            match remaining.checked_sub(split.weight.into()) {
                Some(next) => remaining = next,
                None => return &split.service,
            }
        }
        &self.splits[0].service
    }
}

/// Properties of a service's model engines.
#[value]
pub struct Engine {
    /// Maximum number of requests that one engine runs concurrently.
    pub slots: u32,
    /// KV-cache memory of one engine, in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
    /// Maximum time for which a slot can be reserved.
    pub hold_limit: Duration,
    /// Time for which an engine keeps a computed prompt.
    pub handle_retention: Duration,
    /// Time that a change of an engine's stage takes.
    pub reconfigure_time: Duration,
}

/// What the endpoints of a service take while they are cold.
#[value]
pub struct WarmUp {
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold endpoint takes from all instances together.
    pub rate: f64,
}

/// A service that runs requests.
#[value]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Maximum number of connections to one endpoint from the whole fleet.
    pub connection_limit: u32,
    /// Properties of its engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Restriction on cold endpoints; `None` if a start makes no difference.
    pub warm_up: Option<WarmUp>,
}

/// Rate limit of a team over the whole fleet.
#[value]
pub struct Quota {
    /// Units per second.
    pub rate: u64,
    /// Maximum number of units that may be spent at once.
    pub burst: u64,
    /// Whether the units are tokens rather than requests.
    pub in_tokens: bool,
    /// Tokens charged for a request without token counts.
    pub default_tokens: u64,
}

impl Quota {
    /// Returns the cost of a request in units.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.in_tokens {
            true => tokens.unwrap_or(self.default_tokens),
            false => 1,
        }
    }
}

/// A team and its API keys.
#[value]
pub struct Team {
    /// Unique name.
    pub name: Name,
    /// API keys of the team.
    pub keys: Vec<Name>,
    /// Priority of its requests, which takes precedence over the route's; `None` to use the
    /// route's.
    pub priority: Option<u32>,
    /// Rate limit; `None` for no limit.
    pub quota: Option<Quota>,
    /// Regions that its requests must stay in; empty for no restriction.
    pub regions: Vec<Name>,
}

/// Limits on the requests of callers.
#[value]
pub struct Limits {
    /// Maximum size of a head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a head.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// A configuration before validation.
#[value]
pub struct Draft {
    /// Version; increases with each configuration.
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

/// A validation error, with the object and the field that it concerns.
#[value(eq)]
#[derive(thiserror::Error)]
pub enum Problem {
    /// A route refers to a service that does not exist.
    #[error("route {route}: service {service} does not exist")]
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// A route has no service.
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
    /// No data centre has any of a route's regions.
    #[error("route {route}: allowed_regions: no data centre is in any of them")]
    UnknownRegions {
        /// The route.
        route: Name,
    },
    /// An API key belongs to two teams.
    #[error("team {team}: one of its keys belongs to another team as well")]
    SharedKey {
        /// The second of the two teams.
        team: Name,
    },
}

/// A validated configuration.
#[value]
pub struct Catalog {
    /// Version; increases with each configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    hosts: IndexMap<Name, Vec<Arc<Route>>>,
    services: IndexMap<Name, Arc<Service>>,
    resumable_services: IndexSet<Name>,
    teams: IndexMap<Name, Arc<Team>>,
    keys: IndexMap<Name, Arc<Team>>,
}

impl Catalog {
    /// Validates a draft as a unit.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(mut draft: Draft) -> Result<Catalog, Problem> {
        draft.confine();
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
            resumable_services: resumable_services(hosts.values().flatten()),
            hosts,
            services,
            keys: index_keys(&teams)?,
            teams: teams.into_iter().map(|it| (it.name.clone(), it)).collect(),
        })
    }

    /// Returns the route of the host with the longest prefix of the path, if any.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the names of the services that resumable routes have.
    pub fn resumable_services(&self) -> &IndexSet<Name> {
        &self.resumable_services
    }

    /// Returns the team that an API key belongs to.
    pub fn team_of(&self, key: &str) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// Returns the teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.values()
    }

    /// Returns whether requests need an API key unless their route is public; true if there are
    /// teams.
    pub fn requires_keys(&self) -> bool {
        !self.teams.is_empty()
    }
}

fn resumable_services<'a>(routes: impl Iterator<Item = &'a Arc<Route>>) -> IndexSet<Name> {
    let resumable = routes.filter(|it| it.retry == Retry::Stream { resumable: true });
    resumable.flat_map(|it| it.splits.iter().map(|it| it.service.clone())).collect()
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

impl Ranged for Draft {
    fn confine(&mut self) -> bool {
        let mut clamped = false;
        for it in &mut self.routes {
            clamped |= clamp(&mut it.timeout, MAX_SPAN);
            clamped |= clamp(&mut it.target_latency, MAX_SPAN);
            clamped |= clamp_some(&mut it.target_gap, MAX_SPAN);
            clamped |= clamp(&mut it.attempts, MAX_REQUESTS);
            for split in &mut it.splits {
                clamped |= clamp(&mut split.weight, MAX_REQUESTS);
            }
        }
        for it in &mut self.services {
            clamped |= clamp(&mut it.connection_limit, MAX_REQUESTS);
            clamped |= it.engine.as_mut().is_some_and(Ranged::confine);
            if let Some(warm_up) = &mut it.warm_up {
                clamped |= clamp(&mut warm_up.duration, MAX_SPAN);
                clamped |= clamp(&mut warm_up.rate, MAX_RATE as f64);
            }
        }
        for it in self.teams.iter_mut().filter_map(|it| it.quota.as_mut()) {
            clamped |= clamp(&mut it.rate, MAX_TOTAL);
            clamped |= clamp(&mut it.burst, MAX_TOTAL);
            clamped |= clamp(&mut it.default_tokens, MAX_TOKENS);
        }
        let timeouts = [&mut self.limits.head_timeout, &mut self.limits.idle_timeout];
        for it in timeouts {
            clamped |= clamp(it, MAX_SPAN);
        }
        clamped
    }
}

impl Ranged for Engine {
    fn confine(&mut self) -> bool {
        let sizes = clamp(&mut self.slots, MAX_REQUESTS)
            | clamp(&mut self.memory_tokens, MAX_TOTAL)
            | clamp(&mut self.event_tokens, MAX_TOKENS);
        let spans = clamp(&mut self.hold_limit, MAX_SPAN)
            | clamp(&mut self.handle_retention, MAX_SPAN)
            | clamp(&mut self.reconfigure_time, MAX_SPAN);
        sizes | spans
    }
}
