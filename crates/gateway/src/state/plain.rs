//! Processing of a request at the endpoints of a plain service.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::{Failure, Kind as ErrorKind};

use crate::{
    Effect, Instant, call, catalog::Retry, directory::Endpoint, load::Load, plain::View, record,
    request,
};

use super::{
    State,
    job::{Job, Phase, Plan, Proof},
};

/// Share of the latency target after which an idempotent request is hedged to a second endpoint.
const HEDGE_DELAY_SHARE: f64 = 0.6;
/// Retry-after time if the service has no usable endpoint.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);
/// Maximum number of failed connections for one request before it is refused.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

impl State {
    /// Calls `decide` with the inputs of a choice.
    pub(super) fn with_plain_view<T>(
        &self,
        now: Instant,
        job: &Job,
        decide: impl FnOnce(View) -> T,
    ) -> T {
        let service = &job.service.name;
        let unreachable = self.unreachable_datacentres(now, service);
        decide(View {
            now,
            endpoints: self.directory.of_service(service),
            loads: &self.fleet.loads,
            reported_loads: &self.fleet.reported_loads,
            paces: &self.fleet.paces,
            usual: self.usual(job),
            seed: self.settings.incarnation ^ job.id.0,
            news_ages: (self.local_load_age(), self.report_age()),
            health: &self.fleet.health,
            limits: &self.fleet.limits,
            warm_up: &self.fleet.warm_up,
            software: job.software,
            datacentre: &self.settings.datacentre,
            unreachable: &unreachable,
            residency: &job.residency,
        })
    }

    /// Sends a new request to an endpoint, or refuses it if no response is expected before its deadline.
    pub(super) fn admit_plain(&mut self, now: Instant, id: request::Id) {
        match self.plain_refusal(now, id) {
            Some(wait) => self.refuse_plain(now, id, wait),
            None => self.send_plain(now, id),
        }
    }

    /// Sends a request to an endpoint, excluding those already tried, once the start of the endpoint is proven
    /// if a stream goes on there.
    pub(super) fn send_plain(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        let barred = self.barred(job);
        let chosen = self.with_plain_view(now, job, |view| view.choose(&barred));
        let Some(endpoint) = chosen else { return self.no_endpoint(now, id) };
        match job.software.is_some() {
            true => self.prove_start(now, id, Proof { endpoint, source: None }),
            false => self.send_plain_run(now, id, endpoint),
        }
    }

    /// Sends a request to an endpoint.
    pub(super) fn send_plain_run(
        &mut self,
        now: Instant,
        id: request::Id,
        endpoint: Arc<Endpoint>,
    ) {
        let pace = self.stated_pace(now, &endpoint.id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.phase = Phase::Running;
        job.sends += 1;
        job.excluded.push(endpoint.id.clone());
        let hedges = job.route.retry == Retry::Idempotent && job.sends < job.route.attempts;
        job.hedge_at = hedges.then(|| now + job.route.target_latency.mul_f64(HEDGE_DELAY_SHARE));
        let start = job.start();
        let line = job.log_record(record::PLACED, now).with("endpoint", &*endpoint.id);
        let line = line.with("pace", pace);
        self.log(line);
        self.call(
            now,
            id,
            Plan {
                endpoint,
                step: call::Step::Run { hold: None, source: None, start },
                timeout: None,
                load: Load { requests: 1, memory_tokens: 0, prompt_tokens: 0 },
            },
        );
    }

    fn no_endpoint(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        let retry_after = self.shortest_fleet_pause(now, job);
        if job.calls.is_empty() && !self.relay_fallback(now, id) {
            let failure = Failure::not_run(ErrorKind::NoEndpoint)
                .with_retry_after(retry_after.unwrap_or(NO_ENDPOINT_RETRY));
            self.fail(now, id, failure, "no endpoint");
        }
    }

    /// Tries another endpoint after a connection failed before any byte was sent.
    pub(super) fn plain_unsent(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.sends -= 1;
        job.unsent_attempts += 1;
        let may_send = job.unsent_attempts < MAX_UNSENT_ATTEMPTS;
        self.probe_due(now);
        match may_send && !self.is_quarantined(now, id) {
            _ if self.must_wait_for_probes(now) => self.wait_for_probes(id),
            true => self.send_plain(now, id),
            false => self.no_endpoint(now, id),
        }
    }

    /// Tries another endpoint after one refused the request or failed, if the route and the retry
    /// budget allow.
    pub(super) fn plain_failed(&mut self, now: Instant, id: request::Id, reason: &'static str) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (may_send, has_open_calls) = (job.may_send(), !job.calls.is_empty());
        match may_send && self.take_retry(now, id) {
            true => self.send_plain(now, id),
            false if has_open_calls => {}
            false if self.relay_fallback(now, id) => {}
            false => self.fail_exhausted(now, id, reason),
        }
    }

    /// Relays the retained response with an error status; returns whether there was one.
    fn relay_fallback(&mut self, now: Instant, id: request::Id) -> bool {
        let Some(call) = self.jobs.get_mut(&id).and_then(|it| it.fallback.take()) else {
            return false;
        };
        self.answer(now, id, call, None);
        true
    }

    /// Relays a complete response and ends the request.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        id: request::Id,
        call: call::Id,
        status: Option<u16>,
    ) {
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        self.emit(Effect::Relay { request: id, call });
        self.clean_up(now, &mut job);
        let line = job.log_record(record::ANSWERED, now).with("status", status);
        self.log(line);
        self.emit(Effect::Finish(id));
    }

    /// Hedges idempotent requests whose hedge time has passed to a second endpoint.
    pub(super) fn hedge(&mut self, now: Instant) {
        let due = |it: &super::job::Job| it.hedge_at.is_some_and(|at| at <= now);
        let ids: Vec<request::Id> =
            self.jobs.values().filter(|it| due(it)).map(|it| it.id).collect();
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.hedge_at = None;
            }
            if self.take_retry(now, id) {
                self.send_plain(now, id);
            }
        }
    }

    /// Takes a retry from the budget of a request's service; returns whether the budget, the quarantine
    /// and the crashes after runs of the request allow it.
    pub(super) fn take_retry(&mut self, now: Instant, id: request::Id) -> bool {
        if self.is_quarantined(now, id) || self.is_too_suspect(id) {
            return false;
        }
        let slack = self.retry_slack(now);
        let Some(job) = self.jobs.get(&id) else { return false };
        let budget = self.fleet.budgets.entry(job.service.name.clone()).or_default();
        budget.take(now, &self.settings.retries, slack)
    }

    /// Returns this instance's part of the fixed number of retries of a service.
    fn retry_slack(&self, now: Instant) -> f64 {
        let bound = &self.settings.retries;
        let may_have_spent = !self.settings.first_start
            && self.times.started.is_none_or(|it| now.since(it) < bound.window);
        match may_have_spent {
            true => 0.0,
            false => bound.slack / self.fleet.members.len().max(1) as f64,
        }
    }
}
