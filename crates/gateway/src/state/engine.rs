//! Processing of a request at model engines: hold, prefill, run. `queue` handles requests that wait.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::{Failure, Kind as ErrorKind, Ran};

use crate::{
    Instant, Name, call,
    catalog::Retry,
    directory::Endpoint,
    engine::{Placement, Spread, View, expected_memory},
    health::Signal,
    load::Load,
    record, request,
};

use super::{
    State,
    job::{Job, Phase, Plan, Proof, Slot},
    prompts::Check,
};

/// Timeout of calls that an endpoint answers without computing anything.
pub(super) const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any event after which a resumable stream is moved to another engine that grants it a place.
const STREAM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Retry-after time for requests that have not run and cannot be sent again.
const EXHAUSTED_RETRY: Duration = Duration::from_millis(200);
/// Time after a reservation for which its engine may still get the run although it has begun to
/// leave; less than leaving endpoints go on serving.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(1);
/// Maximum number of failed reservations before a request is refused.
const MAX_HOLD_ATTEMPTS: u32 = 12;

impl State {
    /// Calls `decide` with the inputs of a placement; returns `None` if the service has no engines.
    pub(super) fn with_view<T>(
        &self,
        now: Instant,
        job: &Job,
        decide: impl FnOnce(View) -> Option<T>,
    ) -> Option<T> {
        let engine = job.service.engine.as_ref()?;
        let forecast = self.fleet.forecasts.get(&job.service.name).cloned().unwrap_or_default();
        let unreachable = self.unreachable_datacentres(now, &job.service.name);
        let reconfiguring: Vec<Name> = self
            .fleet
            .members
            .reconfiguring()
            .chain(self.planner.reconfiguring())
            .cloned()
            .collect();
        decide(View {
            now,
            endpoints: self.directory.of_service(&job.service.name),
            engine,
            loads: &self.fleet.loads,
            health: &self.fleet.health,
            limits: &self.fleet.limits,
            warm_up: &self.fleet.warm_up,
            datacentre: &self.settings.datacentre,
            unreachable: &unreachable,
            reconfiguring: &reconfiguring,
            forecast: &forecast,
            paces: &self.fleet.paces,
            target_gap: job.route.target_gap,
            spread: self.spread(job),
            software: job.software,
            residency: &job.residency,
        })
    }

    fn spread(&self, job: &Job) -> Spread {
        Spread {
            seed: self.settings.incarnation ^ job.id.0,
            local: self.local_load_age(),
            remote: self.remote_load_age(),
        }
    }

    /// Returns the remote data centres of a service's endpoints that have gateway instances, none
    /// of which is reachable.
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

    /// Reserves a slot at a decode engine.
    pub(super) fn reserve_slot(&mut self, now: Instant, id: request::Id, placement: Placement) {
        self.queue.remove(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (Some(tokens), Some(engine)) = (job.tokens, job.service.engine.clone()) else {
            return;
        };
        let needed_tokens = expected_memory(tokens);
        let load = Load { requests: 1, memory_tokens: needed_tokens, prompt_tokens: 0 };
        job.phase = Phase::Holding;
        job.prefill = placement.prefill;
        job.slot =
            Some(Slot { endpoint: placement.decode.clone(), load, reserved_at: now, hold: None });
        self.fleet.loads.add(&placement.decode.id, load);
        self.call(
            now,
            id,
            Plan {
                endpoint: placement.decode,
                step: call::Step::Hold { tokens: needed_tokens, ttl: engine.hold_limit },
                timeout: Some(SHORT_CALL_TIMEOUT),
                load: Load::default(),
            },
        );
    }

    /// Starts the prefill after a slot has been reserved, or the run if the decode engine computes
    /// the prompt itself.
    pub(super) fn hold_granted(&mut self, now: Instant, id: request::Id, hold: Name) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(slot) = &mut job.slot else { return };
        slot.hold = Some(hold);
        let decode = slot.endpoint.clone();
        if self.is_evacuated(&decode) {
            return self.replace_slot(now, id);
        }
        self.replace_evacuated_prefill(now, id, &decode.datacentre);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.times.placed = Some(now);
        let prefill = job.prefill.clone().filter(|_| job.may_prefill());
        let prefill = prefill.and_then(|it| self.callable_prefill(now, id, it, &decode.datacentre));
        let Some(job) = self.jobs.get(&id) else { return };
        let was_computed = job.times.computed.is_some();
        let line = job
            .log_record(record::PLACED, now)
            .with("decode", &*decode.id)
            .with("software", &*decode.version)
            .with("resumes", job.resumes.as_ref().map(|it| it.to_string()))
            .with("pace", self.stated_pace(now, &decode.id))
            .with("decode_tokens", self.fleet.loads.total(&decode.id).memory_tokens)
            .with("prefill", prefill.as_ref().map(|it| it.id.to_string()))
            .with(
                "prefill_backlog",
                prefill.as_ref().map(|it| self.fleet.loads.total(&it.id).prompt_tokens),
            );
        self.log(line);
        match (self.kept_prompt(now, id), prefill) {
            (Some(handle), _) => self.start_run(now, id, Some(handle)),
            // Computing a prompt once more is a retry.
            (None, Some(prefill)) if !was_computed || self.take_retry(now, id) => {
                self.start_prefill(now, id, prefill);
            }
            (None, _) => self.start_run(now, id, None),
        }
    }

    pub(super) fn start_prefill(&mut self, now: Instant, id: request::Id, endpoint: Arc<Endpoint>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let prompt = job.tokens.map_or(0, |it| it.prompt);
        job.phase = Phase::Prefilling;
        job.check = Check::default();
        let backlog = self.fleet.loads.total(&endpoint.id).prompt_tokens;
        let forecast = self.fleet.forecasts.entry(job.service.name.clone()).or_default();
        let pace = self.fleet.paces.pace(now, &endpoint.id).max(1.0);
        let timeout = forecast.prompt_timeout(prompt, backlog).mul_f64(pace);
        self.call(
            now,
            id,
            Plan {
                endpoint,
                step: call::Step::Prefill,
                timeout: Some(timeout),
                load: Load { requests: 1, memory_tokens: 0, prompt_tokens: prompt },
            },
        );
    }

    /// Sends a request to the decode engine at which it has a slot, once the start of the engine is proven if
    /// a stream goes on there.
    pub(super) fn start_run(
        &mut self,
        now: Instant,
        id: request::Id,
        source: Option<call::Handle>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(slot) = &mut job.slot else { return };
        let wants_no_calls = self.fleet.health.backoff(now, &slot.endpoint.id).is_some();
        let may_run = self.fleet.warm_up.may_run(now, &slot.endpoint, id);
        let is_ready = self.directory.get(&slot.endpoint.id).is_some_and(|it| it.is_ready());
        let is_late = now.since(slot.reserved_at) > MAX_LEAVING_TIME;
        let is_evacuated = self.evacuations.contains(&slot.endpoint.datacentre);
        let is_barred =
            job.software.is_some() && self.fleet.journaling.unverified.contains(&slot.endpoint.id);
        if wants_no_calls || !may_run || is_evacuated || is_barred || is_late && !is_ready {
            return self.replace_slot(now, id);
        }
        let endpoint = slot.endpoint.clone();
        match job.software.is_some() {
            true => self.prove_start(now, id, Proof { endpoint, source }),
            false => self.send_run(now, id, source),
        }
    }

    /// Sends a request to the decode engine at which it has a slot.
    pub(super) fn send_run(&mut self, now: Instant, id: request::Id, source: Option<call::Handle>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(slot) = &mut job.slot else { return };
        let (endpoint, hold) = (slot.endpoint.clone(), slot.hold.take());
        let start = job.start();
        job.phase = Phase::Running;
        job.sends += 1;
        let resumable = job.route.retry == Retry::Stream { resumable: true };
        self.call(
            now,
            id,
            Plan {
                endpoint,
                step: call::Step::Run { hold, source, start },
                timeout: resumable.then_some(STREAM_TIMEOUT),
                load: Load::default(),
            },
        );
    }

    /// Queues a request again whose engine has asked for no calls, become cold, begun to leave or been evacuated since
    /// the slot was reserved. A computed prompt is kept for the next one.
    pub(super) fn replace_slot(&mut self, now: Instant, id: request::Id) {
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        self.release_slot(now, &mut job);
        self.jobs.insert(id, job);
        self.enqueue(now, id);
    }

    /// Queues a request again after its reservation was refused or got no response.
    ///
    /// The expected wait is not checked again, since the estimate did not predict the refusal.
    pub(super) fn hold_failed(&mut self, now: Instant, id: request::Id) {
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        self.release_slot(now, &mut job);
        job.unsent_attempts += 1;
        let is_exhausted = job.unsent_attempts >= MAX_HOLD_ATTEMPTS;
        let service = job.service.name.clone();
        let rank = job.rank(now);
        self.jobs.insert(id, job);
        match is_exhausted {
            true => {
                let wait = self.expected_wait(now, &service, rank);
                self.refuse_no_slot(now, id, wait, "no engine has a place");
            }
            false => self.join_queue(now, id),
        }
    }

    /// Tries another prefill engine after one has refused, or else lets the decode engine compute the
    /// prompt.
    ///
    /// The refused call has reached an engine, so that the run is a retry whether or not another
    /// engine computes the prompt before it.
    pub(super) fn prefill_refused(&mut self, now: Instant, id: request::Id) {
        if !self.take_retry(now, id) {
            return self.fail_exhausted(now, id, "refused by the engine");
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let decode = job.slot.as_ref().map(|it| it.endpoint.datacentre.clone());
        let datacentre = decode.unwrap_or_else(|| self.settings.datacentre.clone());
        match self.with_view(now, job, |view| view.prefill(&datacentre, &[])) {
            Some(other) => self.start_prefill(now, id, other),
            None => self.prefill_failed(now, id),
        }
    }

    /// Handles a prefill whose response is incomplete: one that may have reached its engine makes the
    /// run a retry.
    pub(super) fn prefill_broken(&mut self, now: Instant, id: request::Id, sent: bool) {
        if sent {
            self.record_wasted_prompt(now, id, "prefill broke off");
        }
        match sent && !self.take_retry(now, id) {
            true => self.fail_exhausted(now, id, "the prefill broke off"),
            false => self.prefill_failed(now, id),
        }
    }

    /// Starts the run without a computed prompt, so that the decode engine computes it.
    pub(super) fn prefill_failed(&mut self, now: Instant, id: request::Id) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.prefill = None;
        }
        self.start_run(now, id, None);
    }

    /// Sends a refused run once more to the same engine, which then computes the prompt itself, or
    /// refuses the request.
    pub(super) fn run_refused(&mut self, now: Instant, id: request::Id) {
        if self.jobs.get(&id).is_some_and(|it| it.prompt.is_some()) {
            self.record_wasted_prompt(now, id, "run refused");
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let had_prompt = job.prompt.is_some();
        // A refused run with a computed prompt counts against the engine that keeps the prompt, one
        // without against the decode engine.
        match (job.prompt.take(), &job.slot) {
            (Some(prompt), _) => self.fleet.health.record(now, &prompt.endpoint.id, Signal::Error),
            (None, Some(slot)) => {
                self.fleet.health.record(now, &slot.endpoint.id, Signal::Declined);
            }
            (None, None) => {}
        }
        let engine = job.slot.as_ref().map(|it| it.endpoint.clone());
        let may_call = engine.is_some_and(|it| self.pause(now, &it).is_none());
        let may_resend = had_prompt && may_call && self.take_retry(now, id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match may_resend {
            true => {
                job.sends -= 1;
                self.start_run(now, id, None);
            }
            false => {
                let service = job.service.name.clone();
                let rank = job.rank(now);
                let wait = self.expected_wait(now, &service, rank);
                self.refuse_no_slot(now, id, wait, "refused by the engine");
            }
        }
    }

    /// Handles a run whose response is incomplete: queues the request for another engine if the
    /// route and the retry budget allow.
    pub(super) fn run_failed(&mut self, now: Instant, id: request::Id, endpoint: &Name) {
        self.record_wasted_prompt(now, id, "run broke off");
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        self.release_slot(now, &mut job);
        self.free_prompt(now, &mut job);
        job.excluded.push(endpoint.clone());
        let may_send = job.may_send();
        let has_retry = std::mem::take(&mut job.has_retry);
        self.jobs.insert(id, job);
        match may_send && (has_retry || self.take_retry(now, id)) {
            true => self.enqueue(now, id),
            false => self.fail_exhausted(now, id, "the answer broke"),
        }
    }

    /// Fails a request for which no further attempt is possible.
    pub(super) fn fail_exhausted(&mut self, now: Instant, id: request::Id, reason: &'static str) {
        let ran = self.jobs.get(&id).is_some_and(|it| it.may_have_run);
        let failure = match ran {
            true => Failure::not_run(ErrorKind::EndpointFailed).with_ran(Ran::Unknown),
            false => Failure::not_run(ErrorKind::NoEndpoint).with_retry_after(EXHAUSTED_RETRY),
        };
        self.fail(now, id, failure, reason);
    }
}

impl Job {
    /// Returns whether a separate prefill engine may compute the prompt; after the first run this
    /// counts as one more of the route's attempts.
    fn may_prefill(&self) -> bool {
        self.sends == 0 || self.route.attempts > self.sends + 1
    }
}
