//! Choice of an endpoint of a plain service.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{Instant, Name, call::ReportedLoad, directory::Endpoint, health::Tracker, load::Loads};

/// Cost of another data centre, in requests that run at an endpoint.
const REMOTE_COST: f64 = 1.0;
/// Cost of a data centre that is not heard of, in requests.
const UNREACHABLE_COST: f64 = 40.0;
/// Cost of an endpoint whose recent calls have all failed, in requests.
const FAILURE_COST: f64 = 12.0;
/// Time for which an endpoint's word on its load counts, in milliseconds.
const REPORT_LIFETIME_MS: f64 = 300.0;

/// What a choice is decided on.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The moment.
    pub now: Instant,
    /// The service's endpoints.
    pub endpoints: &'a [Arc<Endpoint>],
    /// What instances have there.
    pub loads: &'a Loads,
    /// What endpoints have said of their load, and when.
    pub reported_loads: &'a IndexMap<Name, (Instant, ReportedLoad)>,
    /// What answers have told.
    pub health: &'a Tracker,
    /// Data centre of this instance.
    pub datacentre: &'a str,
    /// Data centres that have instances, none of which is heard of.
    pub unreachable: &'a [Name],
}

impl View<'_> {
    /// Chooses the endpoint with the least cost; resting ones only where all others are left out.
    pub fn choose(&self, excluded: &[Name]) -> Option<Arc<Endpoint>> {
        let ready =
            || self.endpoints.iter().filter(|it| it.is_ready() && !excluded.contains(&it.id));
        let available = ready().filter(|it| !self.health.is_ejected(self.now, &it.id));
        let least = |a: &&Arc<Endpoint>, b: &&Arc<Endpoint>| self.cost(a).total_cmp(&self.cost(b));
        available.min_by(least).or_else(|| ready().min_by(least)).cloned()
    }

    fn cost(&self, endpoint: &Endpoint) -> f64 {
        let remote = if &*endpoint.datacentre == self.datacentre { 0.0 } else { REMOTE_COST };
        let unreachable =
            if self.unreachable.contains(&endpoint.datacentre) { UNREACHABLE_COST } else { 0.0 };
        let failures = self.health.failure_rate(self.now, &endpoint.id) * FAILURE_COST;
        self.running(endpoint) + remote + unreachable + failures
    }

    /// Returns the requests at an endpoint: those known of, or more where it has just said so.
    fn running(&self, endpoint: &Endpoint) -> f64 {
        let known = f64::from(self.loads.total(&endpoint.id).requests);
        let Some((at, reported)) = self.reported_loads.get(&endpoint.id) else { return known };
        let age = self.now.since(*at).as_secs_f64() * 1_000.0;
        let fresh = (1.0 - age / REPORT_LIFETIME_MS).max(0.0);
        known.max(f64::from(reported.running + reported.waiting) * fresh)
    }
}
