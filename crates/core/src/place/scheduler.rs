//! One pool's queue, own record and decisions.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::{
    Decision, Job, Policy, baseline,
    cache::Index,
    endpoint::Slot,
    learn::Learn,
    score::{self, Blocked},
};
use crate::{
    Instant,
    error::{Failure, Kind},
    fair,
    object::{Name, Pool, Role, Urgency},
    request::{Id, Outcome, Placement},
};

/// Least time after which a refused request is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(500);

/// Time by which a transfer may be longer than usual.
const TRANSFER_SLACK: Duration = Duration::from_millis(300);

/// Where a placed request stands.
#[value(id)]
enum Stage {
    Prefill,
    Import { begun: Instant, overdue: bool },
    Run { begun: Instant, first: Option<Instant> },
}

/// What a placed request was promised.
#[value]
struct Grant {
    job: Job,
    prefill: Option<Name>,
    run: Name,
    pieces: u64,
    /// Prompt tokens to be computed.
    tokens: u64,
    /// Tokens of output that were expected.
    expected: u64,
    stage: Stage,
}

/// One pool's scheduler.
#[value(default)]
pub struct Scheduler {
    pool: Option<Arc<Pool>>,
    queue: fair::Queue,
    jobs: IndexMap<Id, Job>,
    grants: IndexMap<Id, Grant>,
    prefills: IndexMap<Name, Slot>,
    runs: IndexMap<Name, Slot>,
    numbers: u32,
    cache: Index,
    learn: Learn,
    turn: usize,
    /// Whether anything has changed since the last look at the queue.
    changed: bool,
    now: Instant,
}

impl Scheduler {
    /// Takes the endpoints of a pool as they are configured.
    pub(super) fn update(&mut self, pool: &Arc<Pool>, datacentre: &str) {
        if self.pool.as_ref().is_some_and(|it| Arc::ptr_eq(it, pool)) {
            return;
        }
        self.changed = true;
        for endpoint in &pool.endpoints {
            let local = &*endpoint.datacentre == datacentre;
            let slots = match endpoint.role {
                Role::Prefill => &mut self.prefills,
                Role::Decode | Role::Plain => &mut self.runs,
            };
            match slots.get_mut(&endpoint.name) {
                Some(slot) => slot.endpoint = Arc::new(endpoint.clone()),
                None => {
                    let slot = Slot::new(endpoint.clone(), self.numbers, local, pool.prefill_rate);
                    self.numbers += 1;
                    slots.insert(endpoint.name.clone(), slot);
                }
            }
        }
        let listed = |slot: &Slot| {
            let endpoint = &slot.endpoint;
            pool.endpoints.iter().any(|it| it.name == endpoint.name && it.role == endpoint.role)
        };
        for slot in self.prefills.values().filter(|it| !listed(it)) {
            self.cache.forget(slot.number);
        }
        self.prefills.retain(|_, slot| listed(slot));
        self.runs.retain(|_, slot| listed(slot));
        self.pool = Some(pool.clone());
    }

    fn policy(&self) -> Policy {
        self.pool.as_ref().map_or(Policy::default(), |it| it.policy)
    }

    /// Queues a job, unless the queue is full or its targets cannot be met; one that waits already
    /// is left as it is.
    pub(super) fn submit(&mut self, now: Instant, job: Job) -> Result<(), Failure> {
        if self.jobs.contains_key(&job.request) {
            return Ok(());
        }
        let limit = self.pool.as_ref().map_or(0, |it| it.queue_limit as usize);
        let wait = self.wait(&job);
        if self.queue.len() >= limit && !job.again {
            return Err(Failure::not_run(Kind::QueueFull).with_retry_after(wait.max(LEAST_RETRY)));
        }
        if self.policy().promises() && !job.again && now + wait > latest(&job) {
            let detail = format!("the wait would be {} ms", wait.as_millis());
            return Err(Failure::not_run(Kind::TooLate)
                .with_retry_after(wait.max(LEAST_RETRY))
                .with_detail(detail));
        }
        let expected = self.learn.output(&job.route, &job.team, job.most);
        self.queue.push(fair::Item {
            request: job.request,
            team: job.team.clone(),
            weight: job.weight,
            urgency: job.urgency,
            arrived: aged_from(&job),
            cost: job.prompt + expected,
        });
        self.jobs.insert(job.request, job);
        self.changed = true;
        Ok(())
    }

    /// Returns how long a job would wait behind those of its team and urgency, at the rate at which
    /// these are placed now.
    fn wait(&self, job: &Job) -> Duration {
        let same = |it: &&fair::Item| it.team == job.team && it.urgency == job.urgency;
        let ahead = self.queue.iter().filter(same).count();
        match self.learn.rate(&job.team, job.urgency) {
            Some(rate) if ahead > 0 => Duration::from_secs_f64(ahead as f64 / rate),
            _ => Duration::ZERO,
        }
    }

    /// Removes a waiting job; returns whether it was there.
    pub(super) fn remove(&mut self, request: Id) -> bool {
        self.jobs.swap_remove(&request);
        self.queue.remove(request)
    }

    /// Frees what a request was promised.
    pub(super) fn release(&mut self, request: Id) {
        let now = self.now;
        let Some(grant) = self.grants.swap_remove(&request) else { return };
        self.changed = true;
        if let Some(slot) = self.runs.get_mut(&grant.run) {
            slot.free(grant.pieces);
        }
        if let Some(slot) = grant.prefill.as_ref().and_then(|it| self.prefills.get_mut(it)) {
            slot.dropped(now, request);
            slot.transfers.retain(|it| it.0 != request);
            slot.used =
                slot.used.saturating_sub(u32::from(!matches!(grant.stage, Stage::Run { .. })));
        }
    }

    /// Takes notice of what became of a step.
    pub(super) fn observe(&mut self, now: Instant, request: Id, outcome: &Outcome) {
        self.now = now;
        let Some(grant) = self.grants.get_mut(&request) else { return };
        let prefill = grant.prefill.as_ref().and_then(|it| self.prefills.get_mut(it));
        let run = self.runs.get_mut(&grant.run);
        match (outcome, grant.stage) {
            (Outcome::Computed { cached, .. }, Stage::Prefill) => {
                grant.stage = Stage::Import { begun: now, overdue: false };
                let Some(slot) = prefill else { return };
                slot.computed(now, request, grant.job.prompt.saturating_sub(*cached));
                self.changed = true;
            }
            (Outcome::Imported, _) => {
                grant.stage = Stage::Run { begun: now, first: None };
                let Some(slot) = prefill else { return };
                slot.transferred(true);
                slot.used = slot.used.saturating_sub(1);
                slot.health.succeeded(slot.endpoint.places);
                run.into_iter().for_each(|it| it.transferred(true));
                slot.transfers.retain(|it| it.0 != request);
                self.changed = true;
            }
            (Outcome::First, Stage::Run { begun, .. }) => {
                grant.stage = Stage::Run { begun, first: Some(now) };
                let Some(slot) = run else { return };
                slot.health.step(now.since(begun).as_micros() as f64);
                slot.health.succeeded(slot.endpoint.places);
            }
            (Outcome::Ended { tokens, .. }, Stage::Run { first, .. }) => {
                if let (Some(slot), Some(first)) = (run, first)
                    && *tokens > 1
                {
                    let us = now.since(first).as_micros() as f64;
                    slot.health.step(us / (*tokens - 1) as f64);
                }
                let job = &grant.job;
                self.learn.ended(&job.route, &job.team, *tokens);
                let above = *tokens as i64 - grant.expected as i64;
                self.queue.correct(&job.team, job.weight, above);
            }
            (Outcome::Broken { .. }, Stage::Prefill) => {
                let name = grant.prefill.clone();
                name.into_iter().for_each(|it| self.fail(now, &it));
            }
            (Outcome::Broken { .. }, Stage::Import { overdue: false, .. }) => {
                self.transfer_failed(now, request);
            }
            (Outcome::Broken { .. }, Stage::Run { .. }) => {
                let name = grant.run.clone();
                self.fail(now, &name);
            }
            _ => {}
        }
    }

    /// Lets one end of a failed transfer rest: the one with which fewer have succeeded of late.
    fn transfer_failed(&mut self, now: Instant, request: Id) {
        let Some(grant) = self.grants.get(&request) else { return };
        let (Some(source), run) = (grant.prefill.clone(), grant.run.clone()) else { return };
        let ends = (self.prefills.get_mut(&source), self.runs.get_mut(&run));
        let (Some(prefill), Some(decode)) = ends else { return };
        prefill.transferred(false);
        decode.transferred(false);
        let guilty = if prefill.transferred <= decode.transferred { source } else { run };
        self.fail(now, &guilty);
    }

    /// Takes notice of transfers that take far longer than they should, before they break.
    fn find_overdue(&mut self, now: Instant) {
        let Some(pool) = self.pool.clone() else { return };
        let mut found = Vec::new();
        for (id, grant) in &mut self.grants {
            let Stage::Import { begun, overdue } = &mut grant.stage else { continue };
            let usual = Duration::from_micros(grant.job.prompt * pool.transfer_ms);
            if !*overdue && now.since(*begun) > usual + TRANSFER_SLACK {
                *overdue = true;
                found.push(*id);
            }
        }
        for id in found {
            self.transfer_failed(now, id);
        }
    }

    /// Lets a failing endpoint rest, unless half of its role rest already.
    fn fail(&mut self, now: Instant, name: &Name) {
        for slots in [&mut self.prefills, &mut self.runs] {
            let resting = slots.values().filter(|it| it.health.rests(now)).count();
            let may_rest = (resting + 1) * 2 <= slots.len();
            if let Some(slot) = slots.get_mut(name) {
                slot.health.failed(now, may_rest);
            }
        }
    }

    /// Takes an endpoint's late report of its load.
    pub(super) fn load(&mut self, endpoint: &str, running: u32, queued: u32) {
        for slots in [&mut self.prefills, &mut self.runs] {
            if let Some(slot) = slots.get_mut(endpoint) {
                slot.report(running + queued);
                self.changed = true;
            }
        }
    }

    /// Corrects the record of an endpoint's prefix cache by a late event.
    pub(super) fn evicted(&mut self, endpoint: &str, prefix: u64) {
        if let Some(slot) = self.prefills.get(endpoint) {
            self.cache.gone(slot.number, prefix);
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.now = now;
        self.changed = true;
        self.learn.expire(now);
        self.find_overdue(now);
        let slots = self.prefills.values_mut().chain(self.runs.values_mut());
        slots.for_each(|it| it.tick(now));
    }

    /// Places or refuses waiting jobs until the next one has to wait.
    pub(super) fn poll(&mut self, now: Instant, out: &mut Vec<Decision>) {
        self.now = now;
        if !std::mem::take(&mut self.changed) {
            return;
        }
        while !self.queue.is_empty() {
            let mut late = Vec::new();
            let mut queue = std::mem::take(&mut self.queue);
            let mut plan = None;
            let item = queue.pop_where(now, |item| match self.plan(now, item.request) {
                Ok(found) => {
                    plan = Some(found);
                    true
                }
                Err(blocked) => {
                    if blocked == Blocked::Late {
                        late.push(item.request);
                    }
                    false
                }
            });
            self.queue = queue;
            match (item, plan) {
                (Some(item), Some(plan)) => out.extend(self.grant(now, item.request, plan)),
                _ if late.is_empty() => return,
                _ => {}
            }
            for request in late {
                out.extend(self.refuse(request));
            }
        }
    }

    fn plan(&self, now: Instant, request: Id) -> Result<Plan, Blocked> {
        let (Some(job), Some(pool)) = (self.jobs.get(&request), &self.pool) else {
            return Err(Blocked::Full);
        };
        match pool.policy.promises() {
            true => match self.promise(now, pool, job, false) {
                Err(blocked) if self.has_remote() => {
                    self.promise(now, pool, job, true).map_err(|_| blocked)
                }
                local => local,
            },
            false => self.simple(pool, job),
        }
    }

    fn has_remote(&self) -> bool {
        self.runs.values().any(|it| !it.local)
    }

    /// Finds a prefill endpoint with a link slot and a decode place with its memory.
    fn promise(
        &self,
        now: Instant,
        pool: &Pool,
        job: &Job,
        may_spill: bool,
    ) -> Result<Plan, Blocked> {
        if self.prefills.is_empty() {
            let run = score::run(now, self.runs.values(), job, may_spill)?;
            let reason =
                format!("{} with {} running, of {} with room", run.name, run.used, run.candidates);
            return Ok(Plan { prefill: None, run: run.name, reason });
        }
        let cache = (&self.cache, self.numbers);
        let prefill = score::prefill(now, pool, self.prefills.values(), cache, job, may_spill)?;
        if job.urgency == Urgency::Urgent && score::late(job, prefill.ready) {
            return Err(Blocked::Late);
        }
        let run = score::run(now, self.runs.values(), job, may_spill)?;
        let reason = format!(
            "{} of {} prefill, {} tokens to compute, at hand in {} ms; {} with {} running, of {} with room",
            prefill.name,
            prefill.candidates,
            prefill.tokens,
            prefill.ready.since(now).as_millis(),
            run.name,
            run.used,
            run.candidates,
        );
        Ok(Plan { run: run.name.clone(), prefill: Some(prefill), reason })
    }

    fn simple(&self, pool: &Pool, job: &Job) -> Result<Plan, Blocked> {
        let run = baseline::pick(pool.policy, self.runs.values(), job, self.turn, false);
        let run = run.ok_or(Blocked::Full)?;
        let reason = format!("{:?}", pool.policy);
        if self.prefills.is_empty() {
            return Ok(Plan { prefill: None, run, reason });
        }
        let name = baseline::pick(pool.policy, self.prefills.values(), job, self.turn, true);
        let name = name.ok_or(Blocked::Full)?;
        let now = self.now;
        let prefill =
            score::Prefill { name, tokens: job.prompt, start: now, ready: now, candidates: 0 };
        Ok(Plan { prefill: Some(prefill), run, reason })
    }

    fn grant(&mut self, now: Instant, request: Id, plan: Plan) -> Option<Decision> {
        let job = self.jobs.swap_remove(&request)?;
        let pieces = job.pieces();
        self.turn += 1;
        self.learn.placed(now, &job.team, job.urgency);
        let run = self.runs.get_mut(&plan.run)?;
        run.take(now, pieces);
        let run_endpoint = run.endpoint.clone();
        let mut tokens = 0;
        let mut prefill = None;
        if let Some(found) = &plan.prefill {
            let slot = self.prefills.get_mut(&found.name)?;
            tokens = found.tokens;
            slot.used += 1;
            slot.sent(now, request, tokens);
            slot.transfers.push((request, found.ready));
            let limit = slot.memory() as usize;
            self.cache.sent(slot.number, &job.prefixes, limit);
            prefill = Some(slot.endpoint.clone());
        }
        let expected = self.learn.output(&job.route, &job.team, job.most);
        let grant = Grant {
            prefill: plan.prefill.map(|it| it.name),
            run: plan.run,
            pieces,
            tokens,
            expected,
            stage: if prefill.is_some() {
                Stage::Prefill
            } else {
                Stage::Run { begun: now, first: None }
            },
            job,
        };
        self.grants.insert(request, grant);
        let placement = Placement { prefill, run: run_endpoint };
        Some(Decision::Placed { request, placement, reason: plan.reason })
    }

    fn refuse(&mut self, request: Id) -> Option<Decision> {
        self.queue.remove(request);
        let job = self.jobs.swap_remove(&request)?;
        let wait = self.wait(&job).max(LEAST_RETRY);
        let failure = Failure::not_run(Kind::TooLate).with_retry_after(wait);
        let reason =
            format!("no endpoint gives a first token in {} ms", job.first_token.as_millis());
        Some(Decision::Refused { request, failure, reason })
    }

    /// Returns the number of waiting and of placed requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.grants.len())
    }

    /// Iterates over the decode or plain endpoints with their places and memory in pieces, taken
    /// and all.
    pub fn usage(&self) -> impl Iterator<Item = (&Name, [u64; 4])> {
        self.runs.iter().map(|(name, slot)| {
            let places = u64::from(slot.endpoint.places);
            (name, [slot.used.into(), places, slot.pieces, slot.memory()])
        })
    }
}

/// Returns the moment past which waiting makes no sense: a patient job keeps a quarter of its
/// target for an estimate that is wrong.
fn latest(job: &Job) -> Instant {
    match job.urgency {
        Urgency::Urgent => job.deadline(),
        Urgency::Patient => job.arrived + job.first_token * 3 / 4,
    }
}

/// Returns the moment from which the age of a job counts, such that a patient one goes before
/// urgent ones only when its own target is near.
fn aged_from(job: &Job) -> Instant {
    match job.urgency {
        Urgency::Urgent => job.arrived,
        Urgency::Patient => job.arrived + (job.first_token * 9 / 10).saturating_sub(fair::AGEING),
    }
}

/// Endpoints for a job.
struct Plan {
    prefill: Option<score::Prefill>,
    run: Name,
    reason: String,
}
