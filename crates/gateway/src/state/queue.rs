//! Requests that wait for a slot at a decode engine, and refusals of those that get none in time.

use std::time::Duration;

use siskinstile_core::error::{Failure, Kind as ErrorKind};

use crate::{
    Instant, Name,
    directory::{Endpoint, Stage},
    engine::{Rank, Waiting},
    request,
    residency::Residency,
};

use super::{
    State,
    job::{Job, Phase},
};

/// Part of the latency target reserved for the steps after the prompt has been computed.
const RUN_START_ALLOWANCE: Duration = Duration::from_millis(120);
/// Maximum queueing time of a request that can no longer meet its latency target.
const LATE_MAX_WAIT: Duration = Duration::from_millis(400);
/// Maximum queueing time of a stream that goes on; only endpoints of its version may run it, and callers
/// give a stream up after a gap of two seconds.
const RESUMED_MAX_WAIT: Duration = Duration::from_millis(1_600);

impl State {
    /// Queues a request for a decode slot, or refuses it if none is expected before its deadline.
    pub(super) fn enqueue(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (service, rank) = (job.service.name.clone(), job.rank(now));
        if let Some(reason) = self.lacks_endpoint(job) {
            return self.refuse_version(now, id, reason);
        }
        let expected = self.expected_wait(now, &service, rank);
        let pause = self.shortest_pause(now, job).unwrap_or_default();
        let deadline = self.wait_deadline(now, id);
        match now + expected.max(pause) > deadline && !self.has_room(now, id) {
            true => {
                let pause = self.jobs.get(&id).and_then(|it| self.shortest_fleet_pause(now, it));
                let wait = expected.max(pause.unwrap_or_default());
                self.refuse_no_slot(now, id, wait, "no place in time");
            }
            false => self.join_queue(now, id),
        }
    }

    pub(super) fn join_queue(&mut self, now: Instant, id: request::Id) {
        let deadline = self.wait_deadline(now, id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.phase = Phase::Queued;
        let (service, rank, arrived) = (job.service.name.clone(), job.rank(now), job.arrived);
        self.queue.push(Waiting { request: id, service, rank, arrived, deadline });
    }

    /// Returns the time at which a request that is still waiting for a decode slot is refused.
    fn wait_deadline(&self, now: Instant, id: request::Id) -> Instant {
        let Some(job) = self.jobs.get(&id) else { return now };
        let forecast = self.fleet.forecasts.get(&job.service.name).cloned().unwrap_or_default();
        let prompt = job.tokens.map_or(0, |it| it.prompt);
        let compute = Duration::from_secs_f64(forecast.prompt_latency_ms(prompt) / 1_000.0);
        let target_deadline =
            job.first_attempt + job.route.target_latency - compute - RUN_START_ALLOWANCE;
        match target_deadline > now {
            _ if job.last_event.is_some() => (now + RESUMED_MAX_WAIT).min(job.deadline),
            true => target_deadline,
            false => (now + LATE_MAX_WAIT).min(job.deadline),
        }
    }

    pub(super) fn expected_wait(&self, now: Instant, service: &str, rank: Rank) -> Duration {
        let ahead = self.queue.ahead(service, rank) + self.fleet.members.waiting(now, service);
        let forecast = self.fleet.forecasts.get(service).cloned().unwrap_or_default();
        forecast.queue_wait(ahead, self.running_requests(service, &Residency::default()))
    }

    /// Returns the number of requests at those of a service's endpoints that may process a request, over
    /// all instances; without those in evacuated data centres, whose slots nobody gets.
    fn running_requests(&self, service: &str, residency: &Residency) -> u32 {
        let endpoints = self.directory.of_service(service).iter();
        endpoints
            .filter(|it| residency.allows(&it.datacentre) && !self.is_evacuated(it))
            .map(|it| self.fleet.loads.total(&it.id).requests)
            .sum()
    }

    /// Returns why no endpoint that is ready may process a request, whatever room it has.
    pub(super) fn lacks_endpoint(&self, job: &Job) -> Option<&'static str> {
        match self.has_version(job) {
            false => Some("no endpoint of the stream's version"),
            true if !self.has_resident_engine(job) => Some("no endpoint in the allowed regions"),
            true => None,
        }
    }

    /// Returns whether a decode engine that is ready may process a request, as far as its regions go.
    fn has_resident_engine(&self, job: &Job) -> bool {
        let mut engines = self.directory.of_service(&job.service.name).iter();
        let is_decode = |it: &Endpoint| it.is_ready() && it.stage == Some(Stage::Decode);
        job.residency.is_unrestricted()
            || engines.any(|it| is_decode(it) && job.residency.allows(&it.datacentre))
    }

    fn has_room(&self, now: Instant, id: request::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let Some(tokens) = job.tokens else { return false };
        let rank = job.rank(now);
        let ahead = self.queue.iter().filter(|it| it.rank <= rank);
        let has_predecessors =
            ahead.filter_map(|it| self.jobs.get(&it.request)).any(|it| it.blocks(job));
        !has_predecessors
            && self.with_view(now, job, |view| view.place(tokens, &self.barred(job))).is_some()
    }

    /// Places queued requests in order of rank; one that does not fit blocks those behind it for
    /// the same service, or only those for the same version if it is a stream that goes on, and only
    /// those with the same restriction if it must stay in regions.
    pub(super) fn place_waiting(&mut self, now: Instant) {
        self.times.last_placement = now;
        let mut blocked: Vec<request::Id> = Vec::new();
        let waiting: Vec<request::Id> = self.queue.iter().map(|it| it.request).collect();
        for id in waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            if blocked.iter().filter_map(|it| self.jobs.get(it)).any(|it| it.blocks(job)) {
                continue;
            }
            let Some(tokens) = job.tokens else { continue };
            match self.with_view(now, job, |view| view.place(tokens, &self.barred(job))) {
                Some(placement) => self.reserve_slot(now, id, placement),
                None => blocked.push(id),
            }
        }
    }

    /// Refuses a request for which no decode slot is available before its deadline.
    pub(super) fn refuse_no_slot(
        &mut self,
        now: Instant,
        id: request::Id,
        wait: Duration,
        reason: &'static str,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let service = job.service.name.clone();
        let forecast = self.fleet.forecasts.get(&service).cloned().unwrap_or_default();
        let slot_interval = forecast.slot_interval(self.running_requests(&service, &job.residency))
            * self.fleet.members.len() as u32;
        let retry_after =
            self.fleet.retry_afters.entry(service).or_default().schedule(now, wait, slot_interval);
        let failure = Failure::not_run(ErrorKind::TooLate).with_retry_after(retry_after);
        self.fail(now, id, failure, reason);
    }

    /// Refuses queued requests whose wait deadline has passed.
    pub(super) fn refuse_expired(&mut self, now: Instant) {
        let expired: Vec<(request::Id, Name, Rank)> = self
            .queue
            .iter()
            .filter(|it| it.deadline <= now)
            .map(|it| (it.request, it.service.clone(), it.rank))
            .collect();
        for (id, service, rank) in expired {
            let wait = self.expected_wait(now, &service, rank);
            self.refuse_no_slot(now, id, wait, "waited in vain");
        }
    }
}

impl Job {
    /// Returns whether another request that goes after this one fits nowhere if this one does not: what
    /// fits nowhere fits at no single version, and in no single region, either.
    fn blocks(&self, other: &Job) -> bool {
        let is_version = self.software.is_none() || self.software == other.software;
        let is_region = self.residency.is_unrestricted() || self.residency == other.residency;
        self.service.name == other.service.name && is_version && is_region
    }
}
