//! Counts of requests that met their objective and of those that did not, by cause.

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{Instant, object::Name};

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

/// Counts of one service and team.
#[value(default)]
struct Count {
    good: u64,
    bad: IndexMap<Cause, u64>,
}

/// The counts by service and team.
#[value(default)]
pub struct Report {
    counts: IndexMap<(Name, Name), Count>,
}

impl Report {
    /// Counts a request that met its objective.
    pub fn good(&mut self, _now: Instant, service: &Name, team: &Name) {
        self.count(service, team).good += 1;
    }

    /// Counts a request that did not.
    pub fn bad(&mut self, _now: Instant, service: &Name, team: &Name, cause: Cause) {
        *self.count(service, team).bad.entry(cause).or_default() += 1;
    }

    fn count(&mut self, service: &Name, team: &Name) -> &mut Count {
        self.counts.entry((service.clone(), team.clone())).or_default()
    }

    /// Returns the report.
    pub fn value(&self) -> Value {
        let rows: Vec<Value> = self
            .counts
            .iter()
            .map(|((service, team), count)| {
                json!({ "service": service, "team": team, "good": count.good, "bad": count.bad })
            })
            .collect();
        json!({ "rows": rows })
    }
}
