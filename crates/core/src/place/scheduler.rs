//! One pool's queue, own record and decisions.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::{
    Decision, Job, Policy, Running, cache::Index, endpoint::Record, learn::Learn, plan::Plan,
    score::Blocked,
};
use crate::{
    Instant,
    error::{Failure, Kind},
    fair,
    object::{Name, Pool, Role, Urgency},
    request::{Id, Placement},
};

/// Least time after which a refused request is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(500);

/// Where a placed request stands.
#[value(id)]
pub(super) enum Stage {
    Prefill,
    Import { begun: Instant, overdue: bool },
    Run { begun: Instant, first: Option<Instant> },
}

/// What a placed request was promised.
#[value]
pub(super) struct Grant {
    pub(super) job: Job,
    pub(super) prefill: Option<Name>,
    pub(super) run: Name,
    pub(super) blocks: u64,
    /// Tokens of output that were expected.
    pub(super) expected: u64,
    pub(super) stage: Stage,
}

/// One pool's scheduler.
#[value(default)]
pub struct Scheduler {
    pub(super) pool: Option<Arc<Pool>>,
    pub(super) queue: fair::Queue,
    pub(super) jobs: IndexMap<Id, Job>,
    pub(super) grants: IndexMap<Id, Grant>,
    pub(super) prefills: IndexMap<Name, Record>,
    pub(super) runs: IndexMap<Name, Record>,
    pub(super) numbers: u32,
    pub(super) cache: Index,
    pub(super) learn: Learn,
    pub(super) turn: usize,
    /// Whether anything has changed since the last look at the queue.
    pub(super) changed: bool,
    pub(super) now: Instant,
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
            let records = match endpoint.role {
                Role::Prefill => &mut self.prefills,
                Role::Decode | Role::Plain => &mut self.runs,
            };
            match records.get_mut(&endpoint.name) {
                Some(record) => record.endpoint = Arc::new(endpoint.clone()),
                None => {
                    let record =
                        Record::new(endpoint.clone(), self.numbers, local, pool.prefill_rate);
                    self.numbers += 1;
                    records.insert(endpoint.name.clone(), record);
                }
            }
        }
        let listed = |record: &Record| {
            let endpoint = &record.endpoint;
            pool.endpoints.iter().any(|it| it.name == endpoint.name && it.role == endpoint.role)
        };
        for record in self.prefills.values().filter(|it| !listed(it)) {
            self.cache.remove_endpoint(record.number);
        }
        self.prefills.retain(|_, record| listed(record));
        self.runs.retain(|_, record| listed(record));
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
        if self.queue.len() >= limit && !job.is_retry {
            return Err(Failure::not_run(Kind::QueueFull).with_retry_after(wait.max(LEAST_RETRY)));
        }
        if self.policy().promises() && !job.is_retry && now + wait > latest(&job) {
            let detail = format!("the wait would be {} ms", wait.as_millis());
            return Err(Failure::not_run(Kind::TooLate)
                .with_retry_after(wait.max(LEAST_RETRY))
                .with_detail(detail));
        }
        let expected = self.learn.output(&job.route, &job.team, job.max_tokens);
        self.queue.push(fair::Item {
            request: job.request,
            team: job.team.clone(),
            weight: job.weight,
            urgency: job.urgency,
            arrived: aged_from(&job),
            cost: job.prompt_tokens + expected,
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

    /// Takes over the record of a request that another dispatcher placed; returns whether its
    /// endpoint is known.
    pub(super) fn adopt(&mut self, now: Instant, running: Running) -> bool {
        let blocks = running.job.blocks();
        let Some(record) = self.runs.get_mut(&running.run) else { return false };
        record.take(now, blocks);
        let grant = Grant {
            prefill: None,
            run: running.run,
            blocks,
            expected: self.learn.output(
                &running.job.route,
                &running.job.team,
                running.job.max_tokens,
            ),
            stage: Stage::Run { begun: now, first: None },
            job: running.job,
        };
        self.grants.insert(grant.job.request, grant);
        true
    }

    /// Sets among how many instances the slots are split.
    pub(super) fn split(&mut self, parts: u32) {
        self.runs.values_mut().for_each(|it| it.parts = parts.max(1));
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
        if let Some(record) = self.runs.get_mut(&grant.run) {
            record.free(grant.blocks);
        }
        if let Some(record) = grant.prefill.as_ref().and_then(|it| self.prefills.get_mut(it)) {
            record.dropped(now, request);
            record.transfers.retain(|it| it.0 != request);
            record.used =
                record.used.saturating_sub(u32::from(!matches!(grant.stage, Stage::Run { .. })));
        }
    }

    /// Takes an endpoint's late report of its load.
    pub(super) fn load(&mut self, endpoint: &str, running: u32, queued: u32) {
        for records in [&mut self.prefills, &mut self.runs] {
            if let Some(record) = records.get_mut(endpoint) {
                record.report(running + queued);
                self.changed = true;
            }
        }
    }

    /// Corrects the record of an endpoint's prefix cache by a late event.
    pub(super) fn evicted(&mut self, endpoint: &str, prefix: u64) {
        if let Some(record) = self.prefills.get(endpoint) {
            self.cache.evicted(record.number, prefix);
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.now = now;
        self.changed = true;
        self.learn.expire(now);
        self.find_overdue(now);
        let records = self.prefills.values_mut().chain(self.runs.values_mut());
        records.for_each(|it| it.tick(now));
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

    fn grant(&mut self, now: Instant, request: Id, plan: Plan) -> Option<Decision> {
        let job = self.jobs.swap_remove(&request)?;
        let blocks = job.blocks();
        self.turn += 1;
        self.learn.placed(now, &job.team, job.urgency);
        let run = self.runs.get_mut(&plan.run)?;
        run.take(now, blocks);
        let run_endpoint = run.endpoint.clone();
        let mut prefill = None;
        if let Some(found) = &plan.prefill {
            let record = self.prefills.get_mut(&found.name)?;
            record.used += 1;
            record.sent(now, request, found.tokens);
            record.transfers.push((request, found.ready));
            let limit = record.memory() as usize;
            self.cache.insert(record.number, &job.prefixes, limit);
            prefill = Some(record.endpoint.clone());
        }
        let expected = self.learn.output(&job.route, &job.team, job.max_tokens);
        let grant = Grant {
            prefill: plan.prefill.map(|it| it.name),
            run: plan.run,
            blocks,
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

    /// Iterates over the decode or plain endpoints with their slots and memory in blocks, taken
    /// and all.
    pub fn usage(&self) -> impl Iterator<Item = (&Name, [u64; 4])> {
        self.runs.iter().map(|(name, record)| {
            let slots = u64::from(record.endpoint.slots);
            (name, [record.used.into(), slots, record.blocks, record.memory()])
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
