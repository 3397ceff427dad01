//! SLO accounting: requests that met or missed their objective, and the causes of misses.
//!
//! For each service and team, a report keeps the counts of the windows of [`window::WINDOWS`] and
//! decayed counts by cause; for each service, it also keeps latency histograms. Reports of several
//! instances are merged by addition. Nothing is stored on disk: an instance that leaves sends its
//! counts to a peer of its data centre, and the counts of one that fails are lost.

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

/// Largest number of series in one message, which keeps it far below the frame limit.
pub const SERIES_PER_MESSAGE: usize = 200;

/// Cause to which a missed objective is attributed.
#[value(id, serde)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// Waiting for a slot.
    Queue,
    /// Computation of the prompt.
    Prefill,
    /// Transfer of the KV cache.
    Transfer,
    /// Generation of tokens.
    Decode,
    /// Refusal by the instance.
    Refusal,
    /// Failure of an endpoint.
    Endpoint,
    /// Calls to the platform.
    Platform,
}

impl Cause {
    /// Every cause, in the order of the counts in messages.
    pub const ALL: [Cause; 7] = [
        Cause::Queue,
        Cause::Prefill,
        Cause::Transfer,
        Cause::Decode,
        Cause::Refusal,
        Cause::Endpoint,
        Cause::Platform,
    ];

    /// Returns the name used in reports.
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

/// Counts and latencies recorded by one instance.
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

    /// Counts a request that missed its objective.
    pub fn record_bad(&mut self, now: Instant, service: &Name, team: &Name, cause: Cause) {
        self.series(service, team).count(now, Some(cause));
    }

    /// Records the time to the first token and the mean time between tokens of an answered request,
    /// in milliseconds.
    pub fn record_latency(&mut self, now: Instant, service: &Name, first_ms: u64, between_ms: u64) {
        let latency = self.latency.entry(service.clone()).or_default();
        latency.record(now, first_ms, between_ms);
    }

    fn series(&mut self, service: &Name, team: &Name) -> &mut Series {
        self.series.entry((service.clone(), team.clone())).or_default()
    }

    /// Drops services and teams that are no longer configured.
    pub fn retain(&mut self, set: &Set) {
        self.series.retain(|(service, team), _| {
            set.services.contains_key(service) && set.teams.contains_key(team)
        });
        self.latency.retain(|service, _| set.services.contains_key(service));
    }

    /// Exports the counts as messages of at most [`SERIES_PER_MESSAGE`] series each. Latencies are
    /// not exported.
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
        let to_message = |chunk: &[message::Series]| message::Message { series: chunk.to_vec() };
        all.chunks(SERIES_PER_MESSAGE).map(to_message).collect()
    }

    /// Adds the counts exported by a leaving instance.
    pub fn import(&mut self, now: Instant, message: &message::Message) {
        for exported in &message.series {
            let (service, team) = (exported.service.as_str().into(), exported.team.as_str().into());
            self.series(&service, &team).import(now, &exported.slots, &exported.causes);
        }
    }

    /// Returns the report as of `now`, with the objectives configured in `set`.
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

/// Objective assumed for a service that is no longer configured, in percent.
const DEFAULT_OBJECTIVE_PERCENT: f64 = 95.0;

/// A report at one time, of one instance or merged over several.
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
    /// Name of the service.
    pub service: Name,
    /// Fraction of requests that should meet the targets, in percent.
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

/// Counts of one service and team.
#[value(serde)]
pub struct Row {
    /// Name of the service.
    pub service: Name,
    /// Name of the team.
    pub team: Name,
    /// Counts by window, in the order of [`window::WINDOWS`].
    pub windows: Vec<Count>,
    /// Requests that missed the objective, by cause, decayed with a time constant of six hours.
    pub causes: IndexMap<Cause, f64>,
}

/// Request counts in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Count {
    /// All requests.
    pub total: u64,
    /// Requests that missed the objective.
    pub bad: u64,
}

impl Count {
    /// Returns the burn rate: the fraction of bad requests over the fraction that the objective
    /// allows.
    pub fn burn_rate(self, objective_percent: f64) -> f64 {
        let allowed = (100.0 - objective_percent) / 100.0;
        match self.total {
            0 => 0.0,
            total => self.bad as f64 / total as f64 / allowed.max(f64::EPSILON),
        }
    }

    /// Returns the remaining fraction of the error budget; negative when it is overspent.
    pub fn budget_remaining(self, objective_percent: f64) -> f64 {
        1.0 - self.burn_rate(objective_percent)
    }
}

impl Snapshot {
    /// Adds the report of another instance.
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

    /// Returns the counts of a service, added up over all teams.
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
        for (own, theirs) in self.windows.iter_mut().zip(&other.windows) {
            own.total += theirs.total;
            own.bad += theirs.bad;
        }
        for (cause, count) in &other.causes {
            *self.causes.entry(*cause).or_default() += count;
        }
    }
}
