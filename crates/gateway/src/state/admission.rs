//! Admission of arriving requests: route, API key and rate limit.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::{Failure, Kind};

use crate::{
    Catalog, Effect, Instant,
    catalog::{Retry, Route, Service, Team},
    directory::Stage,
    name_hash::NameHash,
    origin,
    quarantine::Subject,
    quota::{Grant, Status},
    record::{self, Record},
    request::{self, Arrival, Tokens},
    residency::Residency,
};

use super::{
    State,
    groups::group_of,
    job::{Job, Phase, Times},
    prompts::Check,
};

/// Retry-after time for requests that arrive before a configuration is in force.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// Retry-after time for requests that a draining instance refuses; others accept them at once.
pub(super) const DRAINING_RETRY: Duration = Duration::from_millis(50);
/// Shortest remaining grace period in which new streams are accepted, and in which those that wait stay.
pub(super) const STREAM_ALLOWANCE: Duration = Duration::from_millis(4_800);
/// Time after the start of a drain during which new streams are accepted: until load balancers have
/// noticed it. How long a stream runs is not known in advance, so some outlast the grace period.
const STREAM_DRAIN: Duration = Duration::from_millis(2_500);
/// Part of a service's capacity in use up to which requests beyond the quotas are admitted.
const MAX_SPARE_USE: f64 = 0.5;
/// Margin between the last possible response of a plain endpoint and the end of the process.
const PLAIN_MARGIN: Duration = Duration::from_millis(500);

impl State {
    /// Admits or refuses a completely received request.
    pub(super) fn handle_arrival(&mut self, now: Instant, arrival: Arrival) {
        match self.admit(now, &arrival) {
            Ok(job) => self.start(now, job),
            Err((failure, reason)) => self.reject(&arrival, failure, reason),
        }
    }

    fn reject(&mut self, arrival: &Arrival, failure: Failure, reason: &'static str) {
        let retry_after_ms = failure.retry_after.map(|it| it.as_millis() as u64);
        let mut line = Record::new(record::REFUSED)
            .for_request(&arrival.request_id)
            .with("kind", failure.kind.as_str())
            .with("reason", reason)
            .with("version", self.catalog.as_ref().map(|it| it.version))
            .with("retry_after_ms", retry_after_ms);
        if failure.kind == Kind::RateLimited
            && let Some((team, status)) = self.quota_status(arrival)
        {
            line = line
                .with("team", &*team.name)
                .with(
                    "units",
                    team.quota.as_ref().map(|it| it.cost(arrival.tokens.map(Tokens::total))),
                )
                .with("level", status.level.round())
                .with("rate", status.rate)
                .with("reach", status.reachable_share);
        }
        if failure.kind == Kind::Quarantined {
            line = line.with("request_hash", self.request_hash(arrival));
            let parts = arrival.shared_parts().iter().map(|it| it.to_string());
            line = line.with("parts", parts.collect::<Vec<_>>());
        }
        self.log(line);
        self.emit(Effect::Fail { request: arrival.id, failure });
    }

    /// Returns the hash by which the quarantine knows a request, as log lines show it.
    fn request_hash(&self, arrival: &Arrival) -> Option<String> {
        let catalog = self.catalog.as_ref()?;
        let route = catalog.route(&arrival.host, &arrival.path)?;
        let team = team_of(catalog, route, arrival).ok()?;
        Some(subjects(arrival, team.as_deref())[0].hash.to_string())
    }

    /// Returns the team of a request and the status of its quota bucket.
    fn quota_status(&self, arrival: &Arrival) -> Option<(&Team, Status)> {
        let team = self.catalog.as_ref()?.team_of(arrival.key.as_ref()?)?;
        Some((team, self.fleet.ledger.status(&team.name)?))
    }

    fn admit(&mut self, now: Instant, arrival: &Arrival) -> Result<Job, (Failure, &'static str)> {
        let Some(catalog) = self.catalog.clone() else {
            let failure = Failure::not_run(Kind::NotReady).with_retry_after(NOT_READY_RETRY);
            return Err((failure, "no configuration"));
        };
        if arrival.handed_over.is_some_and(|it| it > catalog.version) {
            let failure = Failure::not_run(Kind::NotReady).with_retry_after(NOT_READY_RETRY);
            return Err((failure, "older configuration than at the peer"));
        }
        if let Some(retry_after) = self.evacuations.retry_after(now) {
            let failure = Failure::not_run(Kind::NotReady).with_retry_after(retry_after);
            return Err((failure, "evacuations not known"));
        }
        let Some(route) = catalog.route(&arrival.host, &arrival.path) else {
            return Err((Failure::not_run(Kind::NotFound), "no route"));
        };
        let team = team_of(&catalog, route, arrival)?;
        self.check_drain(now, route)?;
        let subjects = subjects(arrival, team.as_deref());
        self.check_quarantine(now, &subjects)?;
        let stream = stream_of(route, arrival, team.as_deref());
        // A stream that is taken up goes on at the service where it began.
        let draw = stream.map_or(arrival.id.0, |it| it.0);
        let service = catalog.service(route.pick_service(draw)).expect("routes are checked");
        let group = group_of(route, service, team.as_deref());
        self.check_group(now, group)?;
        // The peer that takes the request charges it.
        let charged = match self.hands_over(arrival.handed_over.is_some()) {
            true => 0,
            false => self.charge(now, team.as_ref(), service, arrival)?,
        };
        let first_attempt = now - self.time_already_waited(route, arrival.max_wait);
        let wait = arrival.max_wait.map_or(route.timeout, |it| it.min(route.timeout));
        Ok(Job {
            id: arrival.id,
            request_id: arrival.request_id.clone(),
            route: route.clone(),
            service: service.clone(),
            residency: Residency::new(route, team.as_deref(), &self.settings.regions),
            team,
            tokens: arrival.tokens,
            shared_parts: arrival.shared_parts().to_vec(),
            subjects,
            group,
            has_crashed: false,
            charged,
            arrived: now,
            first_attempt,
            deadline: now + wait,
            phase: Phase::Queued,
            calls: Vec::new(),
            sends: 0,
            unsent_attempts: 0,
            has_retry: false,
            proof: None,
            prove_at: None,
            has_awaited_proof: false,
            backup: None,
            excluded: Vec::new(),
            may_have_run: false,
            last_event: arrival.last_event.clone(),
            resumes: arrival.resumes.clone(),
            stream,
            software: None,
            search: None,
            slot: None,
            prefill: None,
            prompt: None,
            check: Check::default(),
            answering_since: None,
            relaying: None,
            fallback: None,
            hedge_at: None,
            handed_over: arrival.handed_over.is_some(),
            times: Times::default(),
        })
    }

    /// Estimates how long a caller has already waited in earlier attempts: the longest maximum wait
    /// seen on the route minus the one that the caller still has.
    fn time_already_waited(&mut self, route: &Route, max_wait: Option<Duration>) -> Duration {
        let Some(max_wait) = max_wait else { return Duration::ZERO };
        let longest = self.fleet.longest_waits.entry(route.name.clone()).or_default();
        *longest = max_wait.max(*longest);
        *longest - max_wait
    }

    /// Refuses a request that could not be completed before the process ends.
    fn check_drain(&self, now: Instant, route: &Route) -> Result<(), (Failure, &'static str)> {
        let Some(drain_start) = self.times.drain_start else { return Ok(()) };
        let elapsed = now.since(drain_start);
        let may_outlast = match route.retry {
            Retry::Stream { .. } => {
                elapsed > STREAM_DRAIN || elapsed + STREAM_ALLOWANCE > self.settings.grace
            }
            _ => elapsed + route.timeout + PLAIN_MARGIN > self.settings.grace,
        };
        match self.stopped || may_outlast {
            true => {
                let failure = Failure::not_run(Kind::Draining).with_retry_after(DRAINING_RETRY);
                Err((failure, "the instance stops"))
            }
            false => Ok(()),
        }
    }

    fn charge(
        &mut self,
        now: Instant,
        team: Option<&Arc<Team>>,
        service: &Service,
        arrival: &Arrival,
    ) -> Result<u64, (Failure, &'static str)> {
        let Some(team) = team else { return Ok(0) };
        let Some(quota) = &team.quota else { return Ok(0) };
        let cost = quota.cost(arrival.tokens.map(|it| it.total()));
        let grant = match self.has_spare_room(now, service) {
            true => Grant::Tolerance,
            false => Grant::Quota,
        };
        match self.fleet.ledger.take(now, &team.name, cost, grant) {
            Ok(()) => Ok(cost),
            Err(retry_after) => {
                let failure = Failure::not_run(Kind::RateLimited).with_retry_after(retry_after);
                Err((failure, "team over its rate"))
            }
        }
    }

    /// Returns whether a service has room for requests beyond the quotas, so that they take nothing
    /// from others: nobody waits and a good part of its endpoints' capacity is free.
    fn has_spare_room(&self, now: Instant, service: &Service) -> bool {
        let endpoints = self.directory.of_service(&service.name).iter();
        let used_shares = endpoints.filter(|it| it.is_ready() && it.stage != Some(Stage::Prefill));
        let used_shares = used_shares.map(|it| {
            let load = self.fleet.loads.total(&it.id);
            match &service.engine {
                Some(engine) => load.memory_tokens as f64 / engine.memory_tokens.max(1) as f64,
                None => f64::from(load.requests) / f64::from(it.slots.max(1)),
            }
        });
        let (sum, count) = used_shares.fold((0.0, 0), |(sum, count), it| (sum + it, count + 1));
        let waits = self.queue.iter().any(|it| it.service == service.name)
            || self.fleet.members.waiting(now, &service.name) > 0;
        !waits && sum <= MAX_SPARE_USE * f64::from(count)
    }

    pub(super) fn start(&mut self, now: Instant, job: Job) {
        if self.hands_over(job.handed_over) {
            return self.hand_over(now, job, Vec::new());
        }
        if self.reach.cut_off_since().is_some() {
            return self.refuse_handover(now, job);
        }
        let (id, service) = (job.id, job.service.clone());
        let streams = matches!(job.route.retry, Retry::Stream { .. });
        let generates = job.generates();
        self.fleet.budgets.entry(service.name.clone()).or_default().record_request(now);
        if let Some(tokens) = job.tokens.filter(|_| generates) {
            self.fleet.forecasts.entry(service.name.clone()).or_default().record_request(tokens);
        }
        let takes_up = streams && job.last_event.is_some();
        self.jobs.insert(id, job);
        match takes_up {
            true => self.locate(now, id),
            false => self.proceed(now, id),
        }
    }

    /// Takes an admitted request to its first step.
    pub(super) fn proceed(&mut self, now: Instant, id: request::Id) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        if self.must_wait_for_probes(now) {
            return self.wait_for_probes(id);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        match job.generates() {
            true => self.enqueue(now, id),
            false => self.admit_plain(now, id),
        }
    }
}

/// Returns how a stream is identified that its caller may take up: the one that it takes up now, or the
/// one that begins with this request.
fn stream_of(route: &Route, arrival: &Arrival, team: Option<&Team>) -> Option<NameHash> {
    let is_resumable = route.retry == Retry::Stream { resumable: true };
    let attempt = match arrival.last_event {
        Some(_) => arrival.resumes.as_ref(),
        None => Some(&arrival.request_id),
    };
    let attempt = attempt.filter(|_| is_resumable)?;
    Some(origin::stream(attempt, team.map(|it| &*it.name)))
}

/// Returns what of a request may be quarantined: the content together with the team, and the parts of
/// its prompt.
fn subjects(arrival: &Arrival, team: Option<&Team>) -> Vec<Subject> {
    let content = arrival.content.0.to_le_bytes();
    let team = team.map_or(&[][..], |it| it.name.as_bytes());
    let request = Subject::request(NameHash::of_all([&content[..], team]));
    std::iter::once(request).chain(Subject::parts(arrival.shared_parts())).collect()
}

fn team_of(
    catalog: &Catalog,
    route: &Route,
    arrival: &Arrival,
) -> Result<Option<Arc<Team>>, (Failure, &'static str)> {
    if route.public || !catalog.requires_keys() {
        return Ok(None);
    }
    match &arrival.key {
        None => Err((Failure::not_run(Kind::Unauthorized), "no key")),
        Some(key) => match catalog.team_of(key) {
            Some(team) => Ok(Some(team.clone())),
            None => Err((Failure::not_run(Kind::Unauthorized), "unknown key")),
        },
    }
}
