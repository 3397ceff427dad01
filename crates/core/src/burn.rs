//! How service levels burn: requests that met their objective, and what the others were burned by.
//!
//! For each service and team the report keeps the windows of [`window::WINDOWS`], a decayed count
//! by cause, and, for each service, histograms of latency. Reports of several instances are merged
//! by adding. Nothing is kept on disk: an instance that leaves hands its counts to a peer of its data
//! centre, one that dies takes them along.

pub mod latency;
pub mod series;
pub mod window;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use siskinstile_macros::value;
use siskinstile_wire::message::burn as message;

use crate::{Instant, Set, object::Name};

pub use latency::Latency;
pub use series::Series;

/// Series of one message, so that it stays far below the largest frame.
pub const SERIES_PER_MESSAGE: usize = 200;

/// What burned a request's part of the error budget.
#[value(id, serde)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// The wait for a place.
    Queue,
    /// The computation of the prompt.
    Prefill,
    /// The transfer of the KV cache.
    Transfer,
    /// The generation of tokens.
    Decode,
    /// A refusal.
    Refusal,
    /// A failure of an endpoint.
    Endpoint,
    /// The platform.
    Platform,
}

impl Cause {
    /// Every cause.
    pub const ALL: [Cause; 7] = [
        Cause::Queue,
        Cause::Prefill,
        Cause::Transfer,
        Cause::Decode,
        Cause::Refusal,
        Cause::Endpoint,
        Cause::Platform,
    ];

    /// Returns the word that reports use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::Queue => "queue",
            Cause::Prefill => "prefill",
            Cause::Transfer => "transfer",
            Cause::Decode => "decode",
            Cause::Refusal => "refusal",
            Cause::Endpoint => "endpoint",
            Cause::Platform => "platform",
        }
    }
}

/// What one instance has counted.
#[value(default)]
pub struct Report {
    series: IndexMap<(Name, Name), Series>,
    latency: IndexMap<Name, Latency>,
}

impl Report {
    /// Counts a request that met its objective.
    pub fn record_good(&mut self, now: Instant, service: &Name, team: &Name) {
        self.series(service, team).count(now, None);
    }

    /// Counts a request that did not.
    pub fn record_bad(&mut self, now: Instant, service: &Name, team: &Name, cause: Cause) {
        self.series(service, team).count(now, Some(cause));
    }

    /// Counts the latencies of an answered request, in milliseconds.
    pub fn record_latency(&mut self, now: Instant, service: &Name, first_ms: u64, between_ms: u64) {
        let latency = self.latency.entry(service.clone()).or_default();
        latency.record(now, first_ms, between_ms);
    }

    fn series(&mut self, service: &Name, team: &Name) -> &mut Series {
        self.series.entry((service.clone(), team.clone())).or_default()
    }

    /// Drops what belongs to services and teams that are no longer configured.
    pub fn retain(&mut self, set: &Set) {
        self.series.retain(|(service, team), _| {
            set.services.contains_key(service) && set.teams.contains_key(team)
        });
        self.latency.retain(|service, _| set.services.contains_key(service));
    }

    /// Returns the counts as messages of at most [`SERIES_PER_MESSAGE`] series each.
    pub fn export(&self, now: Instant) -> Vec<message::Message> {
        let all: Vec<message::Series> = self
            .series
            .iter()
            .map(|((service, team), series)| {
                let (slots, causes) = series.export(now);
                let (service, team) = (service.to_string(), team.to_string());
                message::Series { service, team, slots, causes }
            })
            .collect();
        let part = |part: &[message::Series]| message::Message { series: part.to_vec() };
        all.chunks(SERIES_PER_MESSAGE).map(part).collect()
    }

    /// Adds the counts that a leaving instance has handed over.
    pub fn import(&mut self, now: Instant, message: &message::Message) {
        for part in &message.series {
            let (service, team) = (part.service.as_str().into(), part.team.as_str().into());
            self.series(&service, &team).import(now, &part.slots, &part.causes);
        }
    }

    /// Returns the report as of `now`.
    pub fn snapshot(&self, now: Instant, set: &Set) -> Snapshot {
        let row = |((service, team), series): (&(Name, Name), &Series)| Row {
            service: service.clone(),
            team: team.clone(),
            windows: series.windows(now),
            causes: series.causes(now),
        };
        let objective = |service: &Name| {
            set.services.get(service).map_or(DEFAULT_OBJECTIVE_PERCENT, |it| it.objective_percent)
        };
        let service = |(name, latency): (&Name, &Latency)| Service {
            service: name.clone(),
            objective_percent: objective(name),
            first_token: latency.first_token(now),
            between_tokens: latency.between_tokens(now),
        };
        let mut services: Vec<Service> = self.latency.iter().map(service).collect();
        for (name, _) in self.series.keys() {
            if !services.iter().any(|it| it.service == *name) {
                services.push(Service::without_latency(name, objective(name)));
            }
        }
        Snapshot { services, rows: self.series.iter().map(row).collect() }
    }
}

/// Objective of a service that is no longer configured, in percent.
const DEFAULT_OBJECTIVE_PERCENT: f64 = 95.0;

/// A report at one moment, of one instance or merged over several.
#[value(serde, default)]
pub struct Snapshot {
    /// Objective and latency by service.
    pub services: Vec<Service>,
    /// Counts by service and team.
    pub rows: Vec<Row>,
}

/// Objective and latency of a service.
#[value(serde)]
pub struct Service {
    /// Its name.
    pub service: Name,
    /// Share of requests that should be answered within the targets, in percent.
    pub objective_percent: f64,
    /// Histogram of the time to the first token, in milliseconds.
    pub first_token: latency::Encoded,
    /// Histogram of the mean time between tokens, in milliseconds.
    pub between_tokens: latency::Encoded,
}

impl Service {
    fn without_latency(name: &Name, objective_percent: f64) -> Service {
        Service {
            service: name.clone(),
            objective_percent,
            first_token: latency::Encoded::default(),
            between_tokens: latency::Encoded::default(),
        }
    }
}

/// Counts of a service and team.
#[value(serde)]
pub struct Row {
    /// Name of the service.
    pub service: Name,
    /// Name of the team.
    pub team: Name,
    /// Counts by window, in the order of [`window::WINDOWS`].
    pub windows: Vec<Count>,
    /// Requests that burned the budget, by cause, decayed over six hours.
    pub causes: IndexMap<Cause, f64>,
}

/// Requests in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Count {
    /// All requests.
    pub total: u64,
    /// Those that missed the objective.
    pub bad: u64,
}

impl Count {
    /// Returns the burn rate: the share of bad requests over the share that the objective allows.
    pub fn burn_rate(self, objective_percent: f64) -> f64 {
        let allowed = (100.0 - objective_percent) / 100.0;
        match self.total {
            0 => 0.0,
            total => self.bad as f64 / total as f64 / allowed.max(f64::EPSILON),
        }
    }

    /// Returns the share of the error budget that is left, below zero when it is overspent.
    pub fn budget_remaining(self, objective_percent: f64) -> f64 {
        1.0 - self.burn_rate(objective_percent)
    }
}

impl Snapshot {
    /// Adds another instance's report.
    pub fn merge(&mut self, other: &Snapshot) {
        for service in &other.services {
            match self.services.iter_mut().find(|it| it.service == service.service) {
                Some(own) => {
                    own.first_token.merge(&service.first_token);
                    own.between_tokens.merge(&service.between_tokens);
                }
                None => self.services.push(service.clone()),
            }
        }
        for row in &other.rows {
            let same = |it: &&mut Row| it.service == row.service && it.team == row.team;
            match self.rows.iter_mut().find(same) {
                Some(own) => own.merge(row),
                None => self.rows.push(row.clone()),
            }
        }
    }

    /// Returns the counts of a service over all teams.
    pub fn total(&self, service: &str) -> Row {
        let mut total = Row {
            service: service.into(),
            team: "all".into(),
            windows: vec![Count::default(); window::WINDOWS.len()],
            causes: IndexMap::new(),
        };
        self.rows.iter().filter(|it| &*it.service == service).for_each(|row| total.merge(row));
        total
    }
}

impl Row {
    fn merge(&mut self, other: &Row) {
        for (own, more) in self.windows.iter_mut().zip(&other.windows) {
            own.total += more.total;
            own.bad += more.bad;
        }
        for (cause, count) in &other.causes {
            *self.causes.entry(*cause).or_default() += count;
        }
    }
}
