//! A request's way through model engines: place, hold, prefill, run.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::{Failure, Kind as Why, Ran};

use crate::{
    Instant, Name, call,
    call::Start,
    catalog::Retry,
    engine::{Placement, Rank, Spread, View, Waiting, expected_memory},
    health::Signal,
    load::Load,
    record, request,
};

use super::{
    State,
    fleet::NEAR_PAUSE,
    work::{Phase, Place, Plan, Work},
};

/// Limit on a call that an endpoint answers at once.
pub(super) const SHORT_CALL: Duration = Duration::from_millis(400);
/// Part of a latency target that is left for the steps after the prompt is computed.
const RUN_START: Duration = Duration::from_millis(120);
/// Longest wait for a place of a request that is past its target already.
const LATE_WAIT: Duration = Duration::from_millis(400);
/// Time without a sign of life after which a stream that can be resumed goes on elsewhere.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);
/// Shortest time after which a refused caller is to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(200);
/// Engines that one request asks for a place before it is refused.
const MOST_HOLDS: u32 = 12;

impl State {
    /// Queues a request for a decode place, or refuses it if none can come in time.
    pub(super) fn enqueue(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get(&id) else { return };
        let (service, rank) = (work.service.name.clone(), work.rank(now));
        let wait = self.expected_wait(now, &service, rank);
        match now + wait > self.patience(now, id) && !self.has_room(now, id) {
            true => self.refuse_full(now, id, wait, "no place in time"),
            false => self.join_queue(now, id),
        }
    }

    fn join_queue(&mut self, now: Instant, id: request::Id) {
        let deadline = self.patience(now, id);
        let Some(work) = self.work.get_mut(&id) else { return };
        work.phase = Phase::Queued;
        let (service, rank, arrived) = (work.service.name.clone(), work.rank(now), work.arrived);
        self.queue.push(Waiting { request: id, service, rank, arrived, deadline });
    }

    /// Returns when a request that waits for a place is refused.
    fn patience(&self, now: Instant, id: request::Id) -> Instant {
        let Some(work) = self.work.get(&id) else { return now };
        let forecast = self.fleet.forecasts.get(&work.service.name).cloned().unwrap_or_default();
        let prompt = work.tokens.map_or(0, |it| it.prompt);
        let compute = Duration::from_secs_f64(forecast.prompt_latency_ms(prompt) / 1_000.0);
        let in_time = work.asked + work.route.target_latency - compute - RUN_START;
        let late = now + LATE_WAIT;
        match in_time > now {
            true => in_time,
            false => late.min(work.deadline),
        }
    }

    fn expected_wait(&self, now: Instant, service: &str, rank: Rank) -> Duration {
        let ahead = self.queue.ahead(service, rank) + self.fleet.members.waiting(now, service);
        let forecast = self.fleet.forecasts.get(service).cloned().unwrap_or_default();
        forecast.queue_wait(ahead, self.running(service))
    }

    /// Returns the requests that run at a service's endpoints.
    fn running(&self, service: &str) -> u32 {
        let endpoints = self.directory.of_service(service);
        endpoints.iter().map(|it| self.fleet.loads.total(&it.id).requests).sum()
    }

    fn has_room(&self, now: Instant, id: request::Id) -> bool {
        let Some(work) = self.work.get(&id) else { return false };
        let Some(tokens) = work.tokens else { return false };
        let behind = self.queue.ahead(&work.service.name, work.rank(now)) > 0;
        !behind && self.view(now, work, |view| view.place(tokens, &work.excluded)).is_some()
    }

    /// Hands what a placement is decided on to `decide`.
    fn view<T>(
        &self,
        now: Instant,
        work: &Work,
        decide: impl FnOnce(View) -> Option<T>,
    ) -> Option<T> {
        let engine = work.service.engine.as_ref()?;
        let forecast = self.fleet.forecasts.get(&work.service.name).cloned().unwrap_or_default();
        let unreachable = self.unreachable_datacentres(now, &work.service.name);
        let reconfiguring: Vec<Name> = self
            .fleet
            .members
            .reconfiguring()
            .chain(self.planner.reconfiguring())
            .cloned()
            .collect();
        decide(View {
            now,
            endpoints: self.directory.of_service(&work.service.name),
            engine,
            loads: &self.fleet.loads,
            health: &self.fleet.health,
            datacentre: &self.settings.datacentre,
            unreachable: &unreachable,
            reconfiguring: &reconfiguring,
            forecast: &forecast,
            spread: self.spread(work),
        })
    }

    fn spread(&self, work: &Work) -> Spread {
        Spread {
            seed: self.settings.incarnation ^ work.id.0,
            local: NEAR_PAUSE,
            remote: self.far_pause(),
        }
    }

    /// Returns the data centres of a service's endpoints that have instances, none of them heard.
    pub(super) fn unreachable_datacentres(&self, now: Instant, service: &str) -> Vec<Name> {
        let mut unreachable: Vec<Name> = Vec::new();
        for endpoint in self.directory.of_service(service) {
            let name = &endpoint.datacentre;
            let own = **name == *self.settings.datacentre;
            if !own
                && !unreachable.contains(name)
                && self.fleet.members.is_datacentre_unreachable(now, name)
            {
                unreachable.push(name.clone());
            }
        }
        unreachable
    }

    /// Places the requests that wait, in their order; one that does not fit holds up those behind it.
    pub(super) fn place_waiting(&mut self, now: Instant) {
        self.times.placed = now;
        let mut stuck: Vec<Name> = Vec::new();
        let waiting: Vec<(request::Id, Name)> =
            self.queue.iter().map(|it| (it.request, it.service.clone())).collect();
        for (id, service) in waiting {
            if stuck.contains(&service) {
                continue;
            }
            let Some(work) = self.work.get(&id) else { continue };
            let Some(tokens) = work.tokens else { continue };
            match self.view(now, work, |view| view.place(tokens, &work.excluded)) {
                Some(placement) => self.hold(now, id, placement),
                None => stuck.push(service),
            }
        }
    }

    /// Reserves a place at a decode engine.
    fn hold(&mut self, now: Instant, id: request::Id, placement: Placement) {
        self.queue.remove(id);
        let Some(work) = self.work.get_mut(&id) else { return };
        let (Some(tokens), Some(engine)) = (work.tokens, work.service.engine.clone()) else {
            return;
        };
        let need = expected_memory(tokens);
        let load = Load { requests: 1, memory_tokens: need, prompt_tokens: 0 };
        work.phase = Phase::Holding;
        work.prefill = placement.prefill;
        work.place =
            Some(Place { endpoint: placement.decode.clone(), load, since: now, hold: None });
        self.fleet.loads.add(&placement.decode.id, load);
        self.call(
            now,
            id,
            Plan {
                endpoint: placement.decode,
                step: call::Step::Hold { tokens: need, ttl: engine.hold_limit },
                limit: Some(SHORT_CALL),
                load: Load::default(),
            },
        );
    }

    /// A place is reserved: has the prompt computed.
    pub(super) fn held(&mut self, now: Instant, id: request::Id, hold: Name) {
        let Some(work) = self.work.get_mut(&id) else { return };
        let Some(place) = &mut work.place else { return };
        place.hold = Some(hold);
        let decode = place.endpoint.clone();
        work.times.placed = Some(now);
        let prefill = work.prefill.clone().filter(|_| work.may_prefill());
        let line = work
            .record(record::PLACED, now)
            .with("decode", &*decode.id)
            .with("decode_tokens", self.fleet.loads.total(&decode.id).memory_tokens)
            .with("prefill", prefill.as_ref().map(|it| it.id.to_string()))
            .with(
                "prefill_backlog",
                prefill.as_ref().map(|it| self.fleet.loads.total(&it.id).prompt_tokens),
            );
        self.log(line);
        match prefill {
            Some(prefill) => self.prefill(now, id, prefill),
            None => self.run(now, id, None),
        }
    }

    fn prefill(
        &mut self,
        now: Instant,
        id: request::Id,
        endpoint: Arc<crate::directory::Endpoint>,
    ) {
        let Some(work) = self.work.get_mut(&id) else { return };
        let prompt = work.tokens.map_or(0, |it| it.prompt);
        work.phase = Phase::Prefilling;
        let backlog = self.fleet.loads.total(&endpoint.id).prompt_tokens;
        let forecast = self.fleet.forecasts.entry(work.service.name.clone()).or_default();
        let limit = forecast.prompt_timeout(prompt, backlog);
        self.call(
            now,
            id,
            Plan {
                endpoint,
                step: call::Step::Prefill,
                limit: Some(limit),
                load: Load { requests: 1, memory_tokens: 0, prompt_tokens: prompt },
            },
        );
    }

    /// Sends a request to the decode engine that has a place for it.
    pub(super) fn run(&mut self, now: Instant, id: request::Id, source: Option<call::Handle>) {
        let Some(work) = self.work.get_mut(&id) else { return };
        let Some(place) = &mut work.place else { return };
        let (endpoint, hold) = (place.endpoint.clone(), place.hold.take());
        let start = work.last_event.clone().map_or(Start::New, Start::After);
        work.phase = Phase::Running;
        work.sends += 1;
        let resumable = work.route.retry == Retry::Stream { resumable: true };
        self.call(
            now,
            id,
            Plan {
                endpoint,
                step: call::Step::Run { hold, source, start },
                limit: resumable.then_some(STREAM_SILENCE),
                load: Load::default(),
            },
        );
    }

    /// A reservation was refused or got no answer: the request waits for a place anew.
    ///
    /// What is expected of the wait does not count any more, since it did not foresee the refusal.
    pub(super) fn hold_failed(&mut self, now: Instant, id: request::Id) {
        let Some(mut work) = self.work.swap_remove(&id) else { return };
        self.leave_place(now, &mut work);
        work.misses += 1;
        let given_up = work.misses >= MOST_HOLDS;
        let service = work.service.name.clone();
        let rank = work.rank(now);
        self.work.insert(id, work);
        match given_up {
            true => {
                let wait = self.expected_wait(now, &service, rank);
                self.refuse_full(now, id, wait, "no engine has a place");
            }
            false => self.join_queue(now, id),
        }
    }

    /// A prefill engine does not compute prompts now: another one is asked.
    pub(super) fn prefill_refused(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get(&id) else { return };
        let decode = work.place.as_ref().map(|it| it.endpoint.datacentre.clone());
        let datacentre = decode.unwrap_or_else(|| self.settings.datacentre.clone());
        let other = self.view(now, work, |view| view.prefill(&datacentre, &[]));
        match other {
            Some(other) if self.take_retry(now, id) => self.prefill(now, id, other),
            _ => self.prefill_failed(now, id),
        }
    }

    /// A prompt was not computed: the decode engine computes it.
    pub(super) fn prefill_failed(&mut self, now: Instant, id: request::Id) {
        if let Some(work) = self.work.get_mut(&id) {
            work.prefill = None;
        }
        self.run(now, id, None);
    }

    /// A run was refused: it is sent once more to the same engine, which computes the prompt.
    pub(super) fn run_refused(&mut self, now: Instant, id: request::Id) {
        let Some(work) = self.work.get_mut(&id) else { return };
        let had_prompt = work.prompt.is_some();
        // The engine that keeps the prompt is to blame first, the one that should run then.
        match (work.prompt.take(), &work.place) {
            (Some(prompt), _) => self.fleet.health.record(now, &prompt.endpoint.id, Signal::Error),
            (None, Some(place)) => {
                self.fleet.health.record(now, &place.endpoint.id, Signal::Declined);
            }
            (None, None) => {}
        }
        let may_again = had_prompt && self.take_retry(now, id);
        let Some(work) = self.work.get_mut(&id) else { return };
        match may_again {
            true => {
                work.sends -= 1;
                self.run(now, id, None);
            }
            false => {
                let service = work.service.name.clone();
                let rank = work.rank(now);
                let wait = self.expected_wait(now, &service, rank);
                self.refuse_full(now, id, wait, "refused by the engine");
            }
        }
    }

    /// A run broke before its answer was whole: a stream that can be resumed goes on elsewhere.
    pub(super) fn run_broken(&mut self, now: Instant, id: request::Id, endpoint: &Name) {
        let Some(mut work) = self.work.swap_remove(&id) else { return };
        self.leave_place(now, &mut work);
        self.free_prompt(now, &mut work);
        work.excluded.push(endpoint.clone());
        let may_send = work.may_send();
        self.work.insert(id, work);
        match may_send && self.take_retry(now, id) {
            true => self.enqueue(now, id),
            false => self.give_up(now, id, "the answer broke"),
        }
    }

    /// Ends a request for which nothing more can be done.
    pub(super) fn give_up(&mut self, now: Instant, id: request::Id, reason: &'static str) {
        let ran = self.work.get(&id).is_some_and(|it| it.may_have_run);
        let failure = match ran {
            true => Failure::not_run(Why::EndpointFailed).with_ran(Ran::Unknown),
            false => Failure::not_run(Why::NoEndpoint).with_retry_after(SHORTEST_RETRY),
        };
        self.fail(now, id, failure, reason);
    }

    /// Refuses a request for which no place can be had in time.
    pub(super) fn refuse_full(
        &mut self,
        now: Instant,
        id: request::Id,
        wait: Duration,
        reason: &'static str,
    ) {
        let Some(work) = self.work.get(&id) else { return };
        let service = work.service.name.clone();
        let forecast = self.fleet.forecasts.get(&service).cloned().unwrap_or_default();
        let each = forecast.slot_interval(self.running(&service)) * self.fleet.members.len() as u32;
        let after = self.fleet.retry_afters.entry(service).or_default().schedule(now, wait, each);
        let failure = Failure::not_run(Why::TooLate).with_retry_after(after);
        self.fail(now, id, failure, reason);
    }

    /// Refuses the requests that have waited for as long as they can.
    pub(super) fn refuse_overdue(&mut self, now: Instant) {
        let overdue: Vec<(request::Id, Name, Rank)> = self
            .queue
            .iter()
            .filter(|it| it.deadline <= now)
            .map(|it| (it.request, it.service.clone(), it.rank))
            .collect();
        for (id, service, rank) in overdue {
            let wait = self.expected_wait(now, &service, rank);
            self.refuse_full(now, id, wait, "waited in vain");
        }
    }
}

impl Work {
    /// Returns whether the prompt may be computed by another engine than the one that decodes.
    fn may_prefill(&self) -> bool {
        self.sends == 0 || self.route.attempts > self.sends + 1
    }
}
