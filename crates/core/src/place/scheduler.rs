//! Queue, endpoint records and placement decisions of one pool.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::{
    Decision, Job, Running, cache::Index, endpoint::Record, estimate::Estimates, plan::Plan,
    score::Blocked,
};
use crate::{
    Instant,
    error::{Failure, Kind},
    fair,
    object::{Name, Policy, Pool, Role, Urgency},
    request::{Id, Placement},
};

/// Smallest retry delay given to a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Current step of a placed request.
#[value(id)]
pub(super) enum Stage {
    Prefill,
    Import { started: Instant, overdue: bool },
    Run { started: Instant, first_token: Option<Instant> },
}

/// Slots and memory reserved for a placed request.
#[value]
pub(super) struct Reservation {
    pub(super) job: Job,
    pub(super) prefill: Option<Name>,
    pub(super) run: Name,
    pub(super) blocks: u64,
    /// Expected output length, in tokens.
    pub(super) expected: u64,
    pub(super) stage: Stage,
}

/// Scheduler of one pool.
#[value(default)]
pub struct Scheduler {
    pub(super) pool: Option<Arc<Pool>>,
    pub(super) queue: fair::Queue,
    pub(super) jobs: IndexMap<Id, Job>,
    pub(super) reservations: IndexMap<Id, Reservation>,
    pub(super) prefills: IndexMap<Name, Record>,
    pub(super) runs: IndexMap<Name, Record>,
    pub(super) next_index: u32,
    pub(super) cache: Index,
    pub(super) estimates: Estimates,
    pub(super) rotation: usize,
    /// Whether anything has changed since the queue was last polled.
    pub(super) dirty: bool,
    pub(super) now: Instant,
}

impl Scheduler {
    /// Applies the configured endpoints of the pool.
    pub(super) fn update(&mut self, pool: &Arc<Pool>, datacentre: &str) {
        if self.pool.as_ref().is_some_and(|it| Arc::ptr_eq(it, pool)) {
            return;
        }
        self.dirty = true;
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
                        Record::new(endpoint.clone(), self.next_index, local, pool.prefill_rate);
                    self.next_index += 1;
                    records.insert(endpoint.name.clone(), record);
                }
            }
        }
        let listed = |record: &Record| {
            let endpoint = &record.endpoint;
            pool.endpoints.iter().any(|it| it.name == endpoint.name && it.role == endpoint.role)
        };
        for record in self.prefills.values().filter(|it| !listed(it)) {
            self.cache.remove_endpoint(record.index);
        }
        self.prefills.retain(|_, record| listed(record));
        self.runs.retain(|_, record| listed(record));
        self.pool = Some(pool.clone());
    }

    fn policy(&self) -> Policy {
        self.pool.as_ref().map_or(Policy::default(), |it| it.policy)
    }

    /// Queues a job, unless the queue is full or its targets cannot be met. A job that is already
    /// waiting is left unchanged.
    pub(super) fn submit(&mut self, now: Instant, job: Job) -> Result<(), Failure> {
        if self.jobs.contains_key(&job.request) {
            return Ok(());
        }
        let limit = self.pool.as_ref().map_or(0, |it| it.queue_limit as usize);
        let wait = self.expected_wait(&job);
        if self.queue.len() >= limit && !job.is_retry {
            return Err(
                Failure::not_run(Kind::QueueFull).with_retry_after(wait.max(MIN_RETRY_AFTER))
            );
        }
        if self.policy().reserves() && !job.is_retry && now + wait > latest_start(&job) {
            let detail = format!("the wait would be {} ms", wait.as_millis());
            return Err(Failure::not_run(Kind::TooLate)
                .with_retry_after(wait.max(MIN_RETRY_AFTER))
                .with_detail(detail));
        }
        let expected = self.estimates.expected_output(&job.route, &job.team, job.max_tokens);
        self.queue.push(fair::Item {
            request: job.request,
            team: job.team.clone(),
            weight: job.weight,
            urgency: job.urgency,
            arrived: ageing_start(&job),
            cost: job.prompt_tokens + expected,
        });
        self.jobs.insert(job.request, job);
        self.dirty = true;
        Ok(())
    }

    /// Returns how long a job would wait behind the queued jobs of its team and class, at their
    /// current placement rate.
    fn expected_wait(&self, job: &Job) -> Duration {
        let same = |it: &&fair::Item| it.team == job.team && it.urgency == job.urgency;
        let ahead = self.queue.iter().filter(same).count();
        match self.estimates.placement_rate(&job.team, job.urgency) {
            Some(rate) if ahead > 0 => Duration::from_secs_f64(ahead as f64 / rate),
            _ => Duration::ZERO,
        }
    }

    /// Adopts a request that another dispatcher placed. Returns whether its endpoint is known.
    pub(super) fn adopt(&mut self, now: Instant, running: Running) -> bool {
        let blocks = running.job.blocks();
        let Some(record) = self.runs.get_mut(&running.run) else { return false };
        record.reserve(now, blocks);
        let reservation = Reservation {
            prefill: None,
            run: running.run,
            blocks,
            expected: self.estimates.expected_output(
                &running.job.route,
                &running.job.team,
                running.job.max_tokens,
            ),
            stage: Stage::Run { started: now, first_token: None },
            job: running.job,
        };
        self.reservations.insert(reservation.job.request, reservation);
        true
    }

    /// Sets the number of instances among which the slots are divided.
    pub(super) fn split_slots(&mut self, split_among: u32) {
        self.runs.values_mut().for_each(|it| it.split_among = split_among.max(1));
    }

    /// Removes a waiting job. Returns whether it was waiting.
    pub(super) fn remove(&mut self, request: Id) -> bool {
        self.jobs.swap_remove(&request);
        self.queue.remove(request)
    }

    /// Releases what is reserved for a request.
    pub(super) fn release(&mut self, request: Id) {
        let now = self.now;
        let Some(reservation) = self.reservations.swap_remove(&request) else { return };
        self.dirty = true;
        if let Some(record) = self.runs.get_mut(&reservation.run) {
            record.release(reservation.blocks);
        }
        if let Some(record) = reservation.prefill.as_ref().and_then(|it| self.prefills.get_mut(it))
        {
            record.drop_prefill(now, request);
            record.transfers.retain(|it| it.0 != request);
            record.used = record
                .used
                .saturating_sub(u32::from(!matches!(reservation.stage, Stage::Run { .. })));
        }
    }

    /// Applies an endpoint's load report.
    pub(super) fn record_load(&mut self, endpoint: &str, running: u32, queued: u32) {
        for records in [&mut self.prefills, &mut self.runs] {
            if let Some(record) = records.get_mut(endpoint) {
                record.apply_report(running + queued);
                self.dirty = true;
            }
        }
    }

    /// Removes an evicted prefix from the cache index.
    pub(super) fn drop_prefix(&mut self, endpoint: &str, prefix: u64) {
        if let Some(record) = self.prefills.get(endpoint) {
            self.cache.drop_prefix(record.index, prefix);
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.now = now;
        self.dirty = true;
        self.estimates.expire(now);
        self.detect_overdue_transfers(now);
        let records = self.prefills.values_mut().chain(self.runs.values_mut());
        records.for_each(|it| it.tick(now));
    }

    /// Places or refuses waiting jobs until none of them can be placed or refused now.
    pub(super) fn poll(&mut self, now: Instant, out: &mut Vec<Decision>) {
        self.now = now;
        if !std::mem::take(&mut self.dirty) {
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
                (Some(item), Some(plan)) => out.extend(self.place(now, item.request, plan)),
                _ if late.is_empty() => return,
                _ => {}
            }
            for request in late {
                out.extend(self.refuse_late(request));
            }
        }
    }

    fn place(&mut self, now: Instant, request: Id, plan: Plan) -> Option<Decision> {
        let job = self.jobs.swap_remove(&request)?;
        let blocks = job.blocks();
        self.rotation += 1;
        self.estimates.record_placement(now, &job.team, job.urgency);
        let run = self.runs.get_mut(&plan.run)?;
        run.reserve(now, blocks);
        let run_endpoint = run.endpoint.clone();
        let mut prefill = None;
        if let Some(found) = &plan.prefill {
            let record = self.prefills.get_mut(&found.name)?;
            record.used += 1;
            record.enqueue_prefill(now, request, found.tokens);
            record.transfers.push((request, found.ready));
            let limit = record.memory() as usize;
            self.cache.insert(record.index, &job.prefixes, limit);
            prefill = Some(record.endpoint.clone());
        }
        let expected = self.estimates.expected_output(&job.route, &job.team, job.max_tokens);
        let reservation = Reservation {
            prefill: plan.prefill.map(|it| it.name),
            run: plan.run,
            blocks,
            expected,
            stage: if prefill.is_some() {
                Stage::Prefill
            } else {
                Stage::Run { started: now, first_token: None }
            },
            job,
        };
        self.reservations.insert(request, reservation);
        let placement = Placement { prefill, run: run_endpoint };
        Some(Decision::Placed { request, placement, reason: plan.reason })
    }

    fn refuse_late(&mut self, request: Id) -> Option<Decision> {
        self.queue.remove(request);
        let job = self.jobs.swap_remove(&request)?;
        let wait = self.expected_wait(&job).max(MIN_RETRY_AFTER);
        let failure = Failure::not_run(Kind::TooLate).with_retry_after(wait);
        let reason =
            format!("no endpoint gives a first token in {} ms", job.first_token.as_millis());
        Some(Decision::Refused { request, failure, reason })
    }

    /// Returns the numbers of waiting and of placed requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.reservations.len())
    }

    /// Iterates over the decode or plain endpoints with used slots, all slots, used blocks and all
    /// blocks of memory.
    pub fn usage(&self) -> impl Iterator<Item = (&Name, [u64; 4])> {
        self.runs.iter().map(|(name, record)| {
            let slots = u64::from(record.endpoint.slots);
            (name, [record.used.into(), slots, record.blocks, record.memory()])
        })
    }
}

/// Returns the latest time at which a job may be placed. A patient job keeps a quarter of its
/// target in reserve for estimation errors.
fn latest_start(job: &Job) -> Instant {
    match job.urgency {
        Urgency::Urgent => job.deadline(),
        Urgency::Patient => job.arrived + job.first_token * 3 / 4,
    }
}

/// Returns the time from which the age of a job counts. A patient job gets precedence over urgent
/// ones only when its own target is near.
fn ageing_start(job: &Job) -> Instant {
    match job.urgency {
        Urgency::Urgent => job.arrived,
        Urgency::Patient => job.arrived + (job.first_token * 9 / 10).saturating_sub(fair::AGEING),
    }
}
