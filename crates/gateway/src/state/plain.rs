//! A request's way to an endpoint of a plain service.

use std::time::Duration;

use siskinstile_core::error::{Failure, Kind as Why};

use crate::{
    Effect, Instant, call, call::Start, catalog::Retry, load::Load, plain::View, record, request,
};

use super::{
    State,
    work::{Phase, Plan},
};

/// Part of the latency target after which an idempotent request goes to a second endpoint as well.
const HEDGE_PART: f64 = 0.6;
/// When a caller is to come back whose service has no endpoint.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);
/// Connections that one request tries in vain before it is refused.
const MOST_MISSES: u32 = 4;

impl State {
    /// Sends a request to the endpoint that is best for it.
    pub(super) fn send_plain(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get(&id) else { return };
        let service = work.service.name.clone();
        let unreachable = self.unreachable_datacentres(now, &service);
        let view = View {
            now,
            endpoints: self.directory.of_service(&service),
            loads: &self.fleet.loads,
            reported_loads: &self.fleet.reported_loads,
            health: &self.fleet.health,
            datacentre: &self.settings.datacentre,
            unreachable: &unreachable,
        };
        let Some(endpoint) = view.choose(&work.excluded) else {
            return self.no_endpoint(now, id);
        };
        let Some(work) = self.work.get_mut(&id) else { return };
        work.phase = Phase::Running;
        work.sends += 1;
        work.excluded.push(endpoint.id.clone());
        let hedges = work.route.retry == Retry::Idempotent && work.sends < work.route.attempts;
        work.hedge_at = hedges.then(|| now + work.route.target_latency.mul_f64(HEDGE_PART));
        let line = work.record(record::PLACED, now).with("endpoint", &*endpoint.id);
        self.log(line);
        self.call(
            now,
            id,
            Plan {
                endpoint,
                step: call::Step::Run { hold: None, source: None, start: Start::New },
                limit: None,
                load: Load { requests: 1, memory_tokens: 0, prompt_tokens: 0 },
            },
        );
    }

    fn no_endpoint(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get(&id) else { return };
        if work.calls.is_empty() && !self.relay_spare(now, id) {
            let failure = Failure::not_run(Why::NoEndpoint).with_retry_after(NO_ENDPOINT_RETRY);
            self.fail(now, id, failure, "no endpoint");
        }
    }

    /// A connection failed before a byte left: another endpoint is asked.
    pub(super) fn plain_missed(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.sends -= 1;
        work.misses += 1;
        match work.misses < MOST_MISSES {
            true => self.send_plain(now, id),
            false => self.no_endpoint(now, id),
        }
    }

    /// An endpoint refused, failed or broke off: another is asked if that is allowed.
    pub(super) fn plain_failed(&mut self, now: Instant, id: request::Id, reason: &'static str) {
        let Some(work) = self.work.get(&id) else { return };
        let (may_send, waits) = (work.may_send(), !work.calls.is_empty());
        match may_send && self.take_retry(now, id) {
            true => self.send_plain(now, id),
            false if waits => {}
            false if self.relay_spare(now, id) => {}
            false => self.give_up(now, id, reason),
        }
    }

    /// Relays an answer with an error status that was kept; returns whether there was one.
    fn relay_spare(&mut self, now: Instant, id: request::Id) -> bool {
        let Some(call) = self.work.get_mut(&id).and_then(|it| it.spare.take()) else {
            return false;
        };
        self.answer(now, id, call, None);
        true
    }

    /// Relays a whole answer, which ends the request.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        id: request::Id,
        call: call::Id,
        status: Option<u16>,
    ) {
        let Some(mut work) = self.work.swap_remove(&id) else { return };
        self.emit(Effect::Relay { request: id, call });
        self.clean_up(now, &mut work);
        let line = work.record(record::ANSWERED, now).with("status", status);
        self.log(line);
        self.emit(Effect::Finish(id));
    }

    /// Sends idempotent requests that have waited for long to a second endpoint as well.
    pub(super) fn hedge(&mut self, now: Instant) {
        let due = |it: &super::work::Work| it.hedge_at.is_some_and(|at| at <= now);
        let ids: Vec<request::Id> =
            self.work.values().filter(|it| due(it)).map(|it| it.id).collect();
        for id in ids {
            if let Some(work) = self.work.get_mut(&id) {
                work.hedge_at = None;
            }
            if self.take_retry(now, id) {
                self.send_plain(now, id);
            }
        }
    }

    /// Takes a retry of a request from its service's budget; returns whether there was one.
    pub(super) fn take_retry(&mut self, now: Instant, id: request::Id) -> bool {
        let Some(work) = self.work.get(&id) else { return false };
        let instances = self.fleet.members.len();
        let budget = self.fleet.budgets.entry(work.service.name.clone()).or_default();
        budget.take(now, &self.settings.retries, instances)
    }
}
