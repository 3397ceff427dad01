//! The choice of endpoints for queued requests.
//!
//! Each pool has a [`Scheduler`]: a fair queue, the dispatcher's own record of what it has placed
//! at each endpoint, and a [`Policy`]. A request leaves the queue only with endpoints for all its
//! steps. Load reports come late and only correct the own record.

mod baseline;
mod cache;
mod endpoint;
mod health;
mod learn;
mod observe;
mod plan;
mod policy;
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

pub use policy::Policy;
pub use scheduler::Scheduler;

/// Tokens in a block of engine memory.
pub const BLOCK_TOKENS: u64 = 2_000;

/// A request that waits for endpoints.
#[value]
pub struct Job {
    /// The request.
    pub request: request::Id,
    /// Name of its pool.
    pub pool: Name,
    /// Name of its route.
    pub route: Name,
    /// Name of its team; empty on an open route without a key.
    pub team: Name,
    /// Weight of its team.
    pub weight: u32,
    /// How long it may wait.
    pub urgency: Urgency,
    /// When it arrived.
    pub arrived: Instant,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that it may generate.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes by block.
    pub prefixes: Arc<[u64]>,
    /// Target for the first token.
    pub first_token: Duration,
    /// Target for the mean time between tokens.
    pub between_tokens: Duration,
    /// Endpoints not to be tried first.
    pub excluded: Vec<Name>,
    /// Whether an attempt of it has been made, so that it may have run and is not refused.
    pub is_retry: bool,
}

impl Job {
    /// Returns the moment by which its first token is wanted.
    pub fn deadline(&self) -> Instant {
        self.arrived + self.first_token
    }

    /// Returns the blocks of engine memory that it may come to need.
    pub fn blocks(&self) -> u64 {
        (self.prompt_tokens + self.max_tokens).div_ceil(BLOCK_TOKENS)
    }
}

/// A request that runs.
#[value]
pub struct Running {
    /// What it asked for.
    pub job: Job,
    /// Name of its prefill endpoint.
    pub prefill: Option<Name>,
    /// Name of its decode or plain endpoint.
    pub run: Name,
}

/// The dispatcher's answer on a job.
#[value]
pub enum Decision {
    /// The job runs at these endpoints.
    Placed {
        /// The request.
        request: request::Id,
        /// The endpoints.
        placement: Placement,
        /// Why these.
        reason: String,
    },
    /// The job gets no endpoints.
    Refused {
        /// The request.
        request: request::Id,
        /// What the caller hears.
        failure: Failure,
        /// Why.
        reason: String,
    },
}

/// The schedulers of all pools.
#[value(default)]
pub struct Dispatcher {
    pools: IndexMap<Name, Scheduler>,
    /// Pool of each request that waits or runs.
    owners: IndexMap<request::Id, Name>,
}

impl Dispatcher {
    /// Queues a job.
    ///
    /// # Errors
    ///
    /// Returns what the caller hears if the queue is full or the targets cannot be met.
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
        self.owners.insert(request, pool.name.clone());
        Ok(())
    }

    /// Takes over the record of a request that another dispatcher placed.
    pub fn adopt(&mut self, now: Instant, pool: &Arc<Pool>, datacentre: &str, running: Running) {
        let request = running.job.request;
        if self.owners.contains_key(&request) {
            return;
        }
        let scheduler = self.pools.entry(pool.name.clone()).or_default();
        scheduler.update(pool, datacentre);
        if scheduler.adopt(now, running) {
            self.owners.insert(request, pool.name.clone());
        }
    }

    /// Sets among how many instances the places of a pool are split while there is no dispatcher.
    pub fn split(&mut self, pool: &str, parts: u32) {
        if let Some(scheduler) = self.pools.get_mut(pool) {
            scheduler.split(parts);
        }
    }

    /// Removes a job that nobody waits for.
    pub fn remove(&mut self, request: request::Id) {
        let waiting = self.scheduler(request).is_some_and(|it| it.remove(request));
        if waiting {
            self.owners.swap_remove(&request);
        }
    }

    /// Frees what an attempt of a request took.
    pub fn release(&mut self, request: request::Id) {
        if let Some(scheduler) = self.scheduler(request) {
            scheduler.release(request);
        }
        self.owners.swap_remove(&request);
    }

    /// Takes notice of what became of a step.
    pub fn observe(&mut self, now: Instant, request: request::Id, outcome: &Outcome) {
        if let Some(scheduler) = self.scheduler(request) {
            scheduler.observe(now, request, outcome);
        }
    }

    /// Moves the decode part of an attempt to another endpoint, if this instance placed it and one
    /// has room.
    pub fn move_decode(&mut self, now: Instant, request: request::Id) -> Option<Arc<Endpoint>> {
        self.scheduler(request)?.move_decode(now, request)
    }

    /// Takes an endpoint's report of its load, as it was some time ago.
    pub fn load(&mut self, endpoint: &str, running: u32, queued: u32) {
        for scheduler in self.pools.values_mut() {
            scheduler.load(endpoint, running, queued);
        }
    }

    /// Takes a late report that an endpoint has dropped a prefix from its cache.
    pub fn evicted(&mut self, endpoint: &str, prefix: u64) {
        for scheduler in self.pools.values_mut() {
            scheduler.evicted(endpoint, prefix);
        }
    }

    /// Takes the passing of time into account.
    pub fn tick(&mut self, now: Instant) {
        self.pools.values_mut().for_each(|it| it.tick(now));
    }

    /// Places the jobs that can be placed now and refuses those that are too late.
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
                self.owners.swap_remove(request);
            }
        }
        out
    }

    fn scheduler(&mut self, request: request::Id) -> Option<&mut Scheduler> {
        self.pools.get_mut(self.owners.get(&request)?)
    }

    /// Returns the scheduler of a pool.
    pub fn pool(&self, name: &str) -> Option<&Scheduler> {
        self.pools.get(name)
    }
}
