//! Placement: the choice of endpoints for queued requests.
//!
//! Each pool has a [`Scheduler`] with a fair queue, the dispatcher's own record of what it has
//! placed at each endpoint, and a [`Policy`](crate::object::Policy). A request leaves the queue
//! only when endpoints for all of its steps are chosen. Load reports arrive late, so they only
//! correct the dispatcher's record.

mod baseline;
mod cache;
mod endpoint;
mod estimate;
mod health;
mod observe;
mod plan;
mod relocate;
mod scheduler;
mod score;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Config, Instant,
    error::Failure,
    object::{Endpoint, Name, Pool, Urgency},
    request::{self, Outcome, Placement},
};

pub use scheduler::Scheduler;

/// Tokens in a block of KV-cache memory.
pub const BLOCK_TOKENS: u64 = 2_000;

/// A request that waits for endpoints.
#[value]
pub struct Job {
    /// Identifier of the request.
    pub request: request::Id,
    /// Name of its pool.
    pub pool: Name,
    /// Name of its route.
    pub route: Name,
    /// Name of its team; empty on an open route without a key.
    pub team: Name,
    /// Weight of its team.
    pub weight: u32,
    /// Latency class of its route.
    pub urgency: Urgency,
    /// When it arrived.
    pub arrived: Instant,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Largest number of tokens that it may generate.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes, one for each full block.
    pub prefixes: Arc<[u64]>,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the mean time between tokens.
    pub between_tokens: Duration,
    /// Endpoints at which earlier attempts failed; decode and plain ones of them are ranked last.
    pub excluded: Vec<Name>,
    /// Whether an earlier attempt was made. Such a request may have been executed already, so it is
    /// not refused.
    pub is_retry: bool,
}

impl Job {
    /// Returns the time by which its first token is due.
    pub fn deadline(&self) -> Instant {
        self.arrived + self.first_token
    }

    /// Returns the maximum number of blocks of KV-cache memory that it needs.
    pub fn blocks(&self) -> u64 {
        (self.prompt_tokens + self.max_tokens).div_ceil(BLOCK_TOKENS)
    }
}

/// A placed request.
#[value]
pub struct Running {
    /// The job as submitted.
    pub job: Job,
    /// Name of its prefill endpoint.
    pub prefill: Option<Name>,
    /// Name of its decode or plain endpoint.
    pub run: Name,
}

/// A decision on a job.
#[value]
pub enum Decision {
    /// The job is placed.
    Placed {
        /// Identifier of the request.
        request: request::Id,
        /// The chosen endpoints.
        placement: Placement,
        /// Reason for the choice, for the request's trace.
        reason: String,
    },
    /// The job is refused.
    Refused {
        /// Identifier of the request.
        request: request::Id,
        /// The failure to report to the caller.
        failure: Failure,
        /// Reason for the refusal, for the request's trace.
        reason: String,
    },
}

/// The schedulers of all pools.
#[value(default)]
pub struct Dispatcher {
    pools: IndexMap<Name, Scheduler>,
    /// Pool of each waiting or placed request.
    pools_by_request: IndexMap<request::Id, Name>,
}

impl Dispatcher {
    /// Queues a job.
    ///
    /// # Errors
    ///
    /// Returns the failure for the caller if the queue is full or the targets cannot be met.
    pub fn submit(
        &mut self,
        now: Instant,
        pool: &Arc<Pool>,
        datacentre: &str,
        job: Job,
    ) -> Result<(), Failure> {
        let request = job.request;
        let scheduler = self.pools.entry(pool.name.clone()).or_default();
        scheduler.update(pool, datacentre);
        scheduler.submit(now, job)?;
        self.pools_by_request.insert(request, pool.name.clone());
        Ok(())
    }

    /// Adopts a request that another dispatcher placed. Ignored if the request is known or its
    /// endpoint is not.
    pub fn adopt(&mut self, now: Instant, pool: &Arc<Pool>, datacentre: &str, running: Running) {
        let request = running.job.request;
        if self.pools_by_request.contains_key(&request) {
            return;
        }
        let scheduler = self.pools.entry(pool.name.clone()).or_default();
        scheduler.update(pool, datacentre);
        if scheduler.adopt(now, running) {
            self.pools_by_request.insert(request, pool.name.clone());
        }
    }

    /// Sets the number of instances among which the slots of a pool are divided while they have no
    /// common dispatcher.
    pub fn split_slots(&mut self, pool: &str, split_among: u32) {
        if let Some(scheduler) = self.pools.get_mut(pool) {
            scheduler.split_slots(split_among);
        }
    }

    /// Removes a waiting job.
    pub fn remove(&mut self, request: request::Id) {
        let waiting = self.scheduler(request).is_some_and(|it| it.remove(request));
        if waiting {
            self.pools_by_request.swap_remove(&request);
        }
    }

    /// Releases the slots and memory that an attempt of a request had reserved.
    pub fn release(&mut self, request: request::Id) {
        if let Some(scheduler) = self.scheduler(request) {
            scheduler.release(request);
        }
        self.pools_by_request.swap_remove(&request);
    }

    /// Records the outcome of a step of a placed request.
    pub fn observe(&mut self, now: Instant, request: request::Id, outcome: &Outcome) {
        if let Some(scheduler) = self.scheduler(request) {
            scheduler.observe(now, request, outcome);
        }
    }

    /// Moves the decode part of a request to another endpoint. Returns none if this instance did
    /// not place the request or no other endpoint has capacity.
    pub fn move_decode(&mut self, now: Instant, request: request::Id) -> Option<Arc<Endpoint>> {
        self.scheduler(request)?.move_decode(now, request)
    }

    /// Records an endpoint's load report, which describes a past state.
    pub fn record_load(&mut self, endpoint: &str, running: u32, queued: u32) {
        for scheduler in self.pools.values_mut() {
            scheduler.record_load(endpoint, running, queued);
        }
    }

    /// Records that an endpoint has evicted a prefix from its cache; the event may be late.
    pub fn drop_prefix(&mut self, endpoint: &str, prefix: u64) {
        for scheduler in self.pools.values_mut() {
            scheduler.drop_prefix(endpoint, prefix);
        }
    }

    /// Expires old samples and detects overdue transfers; to be called at each tick.
    pub fn tick(&mut self, now: Instant) {
        self.pools.values_mut().for_each(|it| it.tick(now));
    }

    /// Places the jobs that can be placed now and refuses those that can no longer meet their
    /// targets.
    pub fn poll(&mut self, now: Instant, config: &Config, datacentre: &str) -> Vec<Decision> {
        let mut out = Vec::new();
        for (name, scheduler) in &mut self.pools {
            if let Some(pool) = config.pool(name) {
                scheduler.update(pool, datacentre);
                scheduler.poll(now, &mut out);
            }
        }
        for decision in &out {
            if let Decision::Refused { request, .. } = decision {
                self.pools_by_request.swap_remove(request);
            }
        }
        out
    }

    fn scheduler(&mut self, request: request::Id) -> Option<&mut Scheduler> {
        self.pools.get_mut(self.pools_by_request.get(&request)?)
    }

    /// Returns the scheduler of a pool, or none if the pool has had no requests.
    pub fn pool(&self, name: &str) -> Option<&Scheduler> {
        self.pools.get(name)
    }
}
