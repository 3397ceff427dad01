//! Load balancing over the endpoints of a plain service.

mod admission;
mod usual;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use admission::Arrivals;
pub use usual::Usual;

use crate::{
    Instant, Name,
    call::ReportedLoad,
    directory::{Endpoint, Software},
    health::Tracker,
    limit::Limits,
    load::Loads,
    name_hash::NameHash,
    pace::Paces,
    residency::Residency,
    warm_up,
};

/// Assumed cost of a call to another data centre, as a delay: a round trip and the charge for its
/// bytes.
pub const WAY: Duration = Duration::from_millis(20);
const WAY_MS: f64 = WAY.as_millis() as f64;
/// Minimum cost of an endpoint in another data centre, in running requests.
const MIN_REMOTE_COST: f64 = 1.0;
/// Cost of an endpoint in an unreachable data centre, in running requests.
const UNREACHABLE_COST: f64 = 40.0;
/// Cost of an endpoint whose recent calls have all failed, in running requests.
const FAILURE_COST: f64 = 12.0;
/// Time after which a load reported by an endpoint is ignored, in milliseconds; until then its
/// weight decreases linearly.
const REPORT_LIFETIME_MS: f64 = 300.0;
/// Duration of a call before any has been measured, in milliseconds.
const ASSUMED_MS: f64 = 50.0;
/// Cost of an endpoint whose slots are all in use while nothing waits, relative to an idle one.
const OCCUPIED_COST: f64 = 0.25;

/// The inputs of a choice.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Time of the choice.
    pub now: Instant,
    /// The service's endpoints.
    pub endpoints: &'a [Arc<Endpoint>],
    /// Loads of the endpoints over all instances.
    pub loads: &'a Loads,
    /// Loads reported by the endpoints, with the time of the report.
    pub reported_loads: &'a IndexMap<Name, (Instant, ReportedLoad)>,
    /// Paces of the endpoints.
    pub paces: &'a Paces,
    /// Usual duration of a call, if known.
    pub usual: Option<Duration>,
    /// Seed that differs between requests.
    pub seed: u64,
    /// Ages that the known loads of endpoints in the own and in other data centres may have.
    pub news_ages: (Duration, Duration),
    /// Health of the endpoints.
    pub health: &'a Tracker,
    /// Limits of the endpoints.
    pub limits: &'a Limits,
    /// Cold endpoints.
    pub warm_up: &'a warm_up::Tracker,
    /// The version that the endpoint must have, if a stream goes on.
    pub software: Option<Software>,
    /// Data centre of this instance.
    pub datacentre: &'a str,
    /// Data centres that have gateway instances, none of which is reachable.
    pub unreachable: &'a [Name],
    /// Data centres that may process the request.
    pub residency: &'a Residency,
}

impl View<'_> {
    /// Returns a ready endpoint outside of `excluded`; an ejected one only if there is no other, and
    /// none that has asked for no calls, or that its limit or its being cold forbids to call.
    ///
    /// It is the one with the lowest cost, in another data centre only if the wait here costs more than
    /// the way. If endpoints state their paces, it is drawn by the expected times, since other instances
    /// know the same.
    pub fn choose(&self, excluded: &[Name]) -> Option<Arc<Endpoint>> {
        let candidates = self.candidates(excluded);
        let chosen = match candidates.iter().any(|it| self.paces.is_stated(&it.id)) {
            true => self.draw(&candidates),
            false => self.cheapest(&candidates),
        };
        chosen.cloned()
    }

    fn cheapest<'a>(&self, candidates: &[&'a Arc<Endpoint>]) -> Option<&'a Arc<Endpoint>> {
        let by_cost = |a: &&&Arc<Endpoint>, b: &&&Arc<Endpoint>| {
            let cost = |it| self.running_requests(it) + self.fault_cost(it);
            cost(a).total_cmp(&cost(b))
        };
        let cheapest = |is_local| {
            let some = candidates.iter().filter(|it| self.is_local(it) == is_local);
            some.min_by(by_cost).copied()
        };
        match (cheapest(true), cheapest(false)) {
            (Some(here), Some(there)) if self.is_worth_the_way(here, there) => Some(there),
            (here, there) => here.or(there),
        }
    }

    /// Returns whether waiting at an endpoint here costs more than the way to one elsewhere and waiting
    /// there.
    fn is_worth_the_way(&self, here: &Endpoint, there: &Endpoint) -> bool {
        let wait = |it: &Endpoint| {
            let waiting = self.running_requests(it) + 1.0 - self.slots(it);
            waiting.max(0.0) + self.fault_cost(it)
        };
        wait(there) + self.remote_cost(there) < wait(here)
    }

    fn candidates(&self, excluded: &[Name]) -> Vec<&Arc<Endpoint>> {
        let may_call = |it: &Endpoint| {
            it.is_ready()
                && self.software.is_none_or(|version| version == it.software())
                && !excluded.contains(&it.id)
                && self.residency.allows(&it.datacentre)
                && self.health.backoff(self.now, &it.id).is_none()
                && self.limits.wait(self.now, it).is_none()
                && self.warm_up.wait(self.now, it).is_none()
        };
        let ready = || self.endpoints.iter().filter(|it| may_call(it));
        let available = ready().filter(|it| !self.is_ejected(it));
        let available: Vec<&Arc<Endpoint>> = available.collect();
        if available.is_empty() { ready().collect() } else { available }
    }

    /// Returns whether an endpoint is ejected, or on trial with a request of this instance.
    fn is_ejected(&self, endpoint: &Endpoint) -> bool {
        let is_tried = || self.loads.own().contains_key(&NameHash::of(&endpoint.id));
        self.health.is_ejected(self.now, &endpoint.id)
            || self.health.is_on_trial(&endpoint.id) && is_tried()
    }

    /// Returns the time until the response of the endpoint that responds first; `None` if a request
    /// would not wait there, or if the time cannot be estimated.
    pub fn expected(&self, excluded: &[Name]) -> Option<Duration> {
        self.usual?;
        let candidates = self.candidates(excluded);
        let times = candidates.iter().map(|it| {
            let way = if self.is_local(it) { 0.0 } else { WAY_MS };
            let rounds = self.waiting_rounds(it, self.running_requests(it));
            (way + self.usual_ms(it) * (1.0 + rounds), rounds)
        });
        let (shortest, rounds) = times.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (rounds > 0.0).then(|| Duration::from_secs_f64(shortest / 1_000.0))
    }

    fn is_local(&self, endpoint: &Endpoint) -> bool {
        &*endpoint.datacentre == self.datacentre
    }

    /// Returns the present duration of a call that does not wait, in milliseconds.
    fn usual_ms(&self, endpoint: &Endpoint) -> f64 {
        let usual_ms = self.usual.map_or(ASSUMED_MS, |it| it.as_secs_f64() * 1_000.0);
        usual_ms * self.paces.pace(self.now, &endpoint.id)
    }

    fn slots(&self, endpoint: &Endpoint) -> f64 {
        let reported = self.reported_loads.get(&endpoint.id).and_then(|(_, it)| it.slots);
        f64::from(reported.unwrap_or(endpoint.slots).max(1))
    }

    /// Returns for how many calls' time a further request waits behind `requests` others.
    fn waiting_rounds(&self, endpoint: &Endpoint, requests: f64) -> f64 {
        let slots = self.slots(endpoint);
        (requests + 1.0 - slots).max(0.0) / slots
    }

    fn fault_cost(&self, endpoint: &Endpoint) -> f64 {
        let unreachable =
            if self.unreachable.contains(&endpoint.datacentre) { UNREACHABLE_COST } else { 0.0 };
        unreachable + self.health.failure_rate(self.now, &endpoint.id) * FAILURE_COST
    }

    /// Returns the cost of another data centre: the requests that leave an endpoint in the time of
    /// the way.
    fn remote_cost(&self, endpoint: &Endpoint) -> f64 {
        let Some(usual) = self.usual else { return MIN_REMOTE_COST };
        let slots = self.slots(endpoint);
        let usual_ms = (usual.as_secs_f64() * 1_000.0).max(1.0);
        (WAY_MS * slots / usual_ms).clamp(MIN_REMOTE_COST, slots)
    }

    /// Draws an endpoint with a weight of one over the square of its expected time. Those in other data
    /// centres count only as far as the way there is shorter than the wait here.
    fn draw<'a>(&self, candidates: &[&'a Arc<Endpoint>]) -> Option<&'a Arc<Endpoint>> {
        let requests = candidates.iter().map(|it| self.running_requests(it));
        let mean = requests.sum::<f64>() / candidates.len().max(1) as f64;
        let times: Vec<f64> = candidates.iter().map(|it| self.drawn_time(it, mean)).collect();
        let with_times = || candidates.iter().zip(&times);
        let local = with_times().filter(|(it, _)| self.is_local(it)).map(|(_, time)| *time);
        let here = local.min_by(f64::total_cmp).unwrap_or(f64::INFINITY);
        let keys = with_times().map(|(it, time)| {
            let gain = if self.is_local(it) { 1.0 } else { (here / time - 1.0).clamp(0.0, 1.0) };
            // The smallest of exponentially distributed numbers has the probability of its weight.
            (-self.uniform(&it.id).ln() * time * time / gain, *it)
        });
        keys.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, it)| it)
    }

    /// Returns the expected time by which an endpoint is drawn, in milliseconds.
    ///
    /// The requests at an endpoint count less than the mean of all where they change in a shorter time
    /// than the news take.
    fn drawn_time(&self, endpoint: &Endpoint, mean_requests: f64) -> f64 {
        let (usual_ms, slots) = (self.usual_ms(endpoint), self.slots(endpoint));
        let requests = self.running_requests(endpoint);
        let (local_age, remote_age) = self.news_ages;
        let age = if self.is_local(endpoint) { local_age } else { remote_age };
        let turnover_ms = usual_ms * (1.0 + requests / slots);
        let validity = (turnover_ms / (age.as_secs_f64() * 1_000.0).max(1.0)).min(1.0);
        let requests = mean_requests + (requests - mean_requests) * validity;
        let occupied = (requests / slots).min(1.0) * OCCUPIED_COST;
        let way = if self.is_local(endpoint) { 0.0 } else { WAY_MS };
        let rounds = 1.0 + occupied + self.waiting_rounds(endpoint, requests);
        way + usual_ms * (rounds + self.fault_cost(endpoint))
    }

    /// Returns a number above 0 and at most 1 that is uniform over seeds and endpoints.
    fn uniform(&self, endpoint: &str) -> f64 {
        let draw = xxh3_64_with_seed(endpoint.as_bytes(), self.seed) as f64 / u64::MAX as f64;
        draw.max(f64::MIN_POSITIVE)
    }

    /// Returns the number of requests at an endpoint: what it has recently stated together with its
    /// pace, which other data centres tell sooner than their loads; or else the recorded one, or the
    /// recently reported one if that is higher.
    fn running_requests(&self, endpoint: &Endpoint) -> f64 {
        if let Some(stated) = self.paces.queue(self.now, &endpoint.id) {
            let own = self.loads.own().get(&NameHash::of(&endpoint.id));
            return stated.max(own.map_or(0.0, |it| it.requests.into()));
        }
        let recorded = f64::from(self.loads.total(&endpoint.id).requests);
        let Some((time, reported)) = self.reported_loads.get(&endpoint.id) else { return recorded };
        let age = self.now.since(*time).as_secs_f64() * 1_000.0;
        let freshness = (1.0 - age / REPORT_LIFETIME_MS).max(0.0);
        let reported = f64::from(reported.running) + f64::from(reported.waiting);
        recorded.max(reported * freshness)
    }
}
