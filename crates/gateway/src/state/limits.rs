//! Limits of endpoints on the requests from all instances together, and other pauses that they ask for.

use std::{sync::Arc, time::Duration};

use siskinstile_wire::message::heartbeat::{Heartbeat, Limit as SentLimit};

use crate::{
    Instant,
    call::StatedLimit,
    directory::{Endpoint, Stage},
    limit::Report,
    name_hash::NameHash,
    record::{self, Record},
};

use super::{State, job::Job};

impl State {
    /// Records what an endpoint stated about the requests that it takes.
    pub(super) fn record_limit(
        &mut self,
        now: Instant,
        endpoint: &Arc<Endpoint>,
        stated: StatedLimit,
    ) {
        if !self.fleet.limits.record(now, endpoint, stated) {
            return;
        }
        let rate = match stated {
            StatedLimit::Rate(rate) => Some(rate),
            _ => None,
        };
        self.log_limit(&endpoint.id, rate, None);
        self.announce();
    }

    /// Records what a peer tells of limits.
    pub(super) fn handle_limits(&mut self, now: Instant, heartbeat: &Heartbeat) {
        for report in heartbeat.limits.iter().map(|it| received(now, it)) {
            let (endpoint, rate) = (report.endpoint, report.rate);
            if !self.fleet.limits.record_report(now, report) {
                continue;
            }
            let listed = self.listed.iter().find(|it| NameHash::of(&it.id) == endpoint);
            if let Some(id) = listed.map(|it| it.id.clone()) {
                self.log_limit(&id, rate, Some(&heartbeat.name));
            }
        }
    }

    /// Returns whether an endpoint is known to limit the requests that it takes.
    pub fn is_limited(&self, now: Instant, endpoint: &str) -> bool {
        let endpoint = self.directory.get(endpoint);
        endpoint.is_some_and(|it| self.fleet.limits.is_limited(now, it))
    }

    fn log_limit(&mut self, endpoint: &str, rate: Option<u64>, source: Option<&str>) {
        let line = Record::new(record::ENDPOINT_LIMIT)
            .with("endpoint", endpoint)
            .with("rate", rate.map(|it| it as f64 / 1_000.0))
            .with("source", source);
        self.log(line);
    }

    /// Returns the limits as they are sent to peers.
    pub(super) fn sent_limits(&self, now: Instant) -> Vec<SentLimit> {
        self.fleet.limits.reports(now).iter().map(|it| sent(now, it)).collect()
    }

    /// Returns the time until this instance may call an endpoint, because of its limit, since it is
    /// cold or since it has asked for no calls; `None` if it may now.
    pub(super) fn pause(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let backoff = self.fleet.health.backoff(now, &endpoint.id);
        let limit = self.fleet.limits.wait(now, endpoint);
        backoff.max(limit).max(self.fleet.warm_up.wait(now, endpoint))
    }

    /// Returns the shortest time until this instance may call an endpoint that may run a request;
    /// `None` if it may call one now or none is ready.
    pub(super) fn shortest_pause(&self, now: Instant, job: &Job) -> Option<Duration> {
        self.shortest(job, |it| self.pause(now, it))
    }

    /// Returns the shortest time until an instance of the fleet may call an endpoint that may run a
    /// request; `None` if this one may call one now or none is ready.
    pub(super) fn shortest_fleet_pause(&self, now: Instant, job: &Job) -> Option<Duration> {
        self.shortest(job, |it| {
            let backoff = self.fleet.health.backoff(now, &it.id);
            let limit = self.fleet.limits.fleet_wait(now, it);
            backoff.max(limit).max(self.fleet.warm_up.fleet_wait(now, it))
        })
    }

    fn shortest(
        &self,
        job: &Job,
        pause: impl Fn(&Endpoint) -> Option<Duration>,
    ) -> Option<Duration> {
        let runs_requests = |it: &&Arc<Endpoint>| {
            let is_allowed = job.residency.allows(&it.datacentre);
            it.is_ready() && it.stage != Some(Stage::Prefill) && is_allowed
        };
        let endpoints = self.directory.of_service(&job.service.name).iter().filter(runs_requests);
        // `None` is less than any time.
        endpoints.map(|it| pause(it)).min().flatten()
    }
}

fn received(now: Instant, sent: &SentLimit) -> Report {
    Report {
        endpoint: NameHash(sent.endpoint),
        started_at_ms: sent.started_at_ms,
        rate: sent.rate,
        number: sent.number,
        stated_at: now - Duration::from_millis(sent.age_ms),
    }
}

fn sent(now: Instant, report: &Report) -> SentLimit {
    SentLimit {
        endpoint: report.endpoint.0,
        started_at_ms: report.started_at_ms,
        rate: report.rate,
        number: report.number,
        age_ms: now.since(report.stated_at).as_millis() as u64,
    }
}
