//! The choice of endpoints for queued requests.
//!
//! The dispatcher knows its own placements exactly. A request leaves the queue only when a prefill
//! endpoint and a decode place are free for it together.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Config,
    object::{Endpoint, Name, Pool, Role},
    request::{self, Placement},
};

/// A request that waits for endpoints.
#[value]
pub struct Job {
    /// The request.
    pub request: request::Id,
    /// Name of its pool.
    pub pool: Name,
    /// Endpoints not to be tried first.
    pub avoid: Vec<Name>,
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
    },
}

/// The queues of all pools and the places taken at their endpoints.
#[value(default)]
pub struct Dispatcher {
    queues: IndexMap<Name, VecDeque<Job>>,
    used: IndexMap<Name, u32>,
}

impl Dispatcher {
    /// Queues a job.
    ///
    /// # Errors
    ///
    /// Gives the job back if the queue of its pool is full.
    pub fn submit(&mut self, pool: &Pool, job: Job) -> Result<(), Job> {
        let queue = self.queues.entry(pool.name.clone()).or_default();
        if queue.len() >= pool.queue_limit as usize {
            return Err(job);
        }
        queue.push_back(job);
        Ok(())
    }

    /// Removes a job that nobody waits for.
    pub fn remove(&mut self, request: request::Id) {
        for queue in self.queues.values_mut() {
            queue.retain(|job| job.request != request);
        }
    }

    /// Frees the places of an attempt.
    pub fn release(&mut self, endpoint: &Endpoint) {
        if let Some(used) = self.used.get_mut(&endpoint.name) {
            *used = used.saturating_sub(1);
        }
    }

    /// Moves the decode part of an attempt to another endpoint, if one has a place.
    pub fn move_run(
        &mut self,
        pool: &Pool,
        datacentre: &str,
        from: &Endpoint,
    ) -> Option<Arc<Endpoint>> {
        let to = self.pick(pool, from.role, datacentre, std::slice::from_ref(&from.name))?;
        if to.name == from.name {
            return None;
        }
        self.release(from);
        *self.used.entry(to.name.clone()).or_default() += 1;
        Some(to)
    }

    /// Places the jobs that can be placed now.
    pub fn poll(&mut self, config: &Config, datacentre: &str) -> Vec<Decision> {
        let mut out = Vec::new();
        let pools: Vec<Name> = self.queues.keys().cloned().collect();
        for name in pools {
            let Some(pool) = config.pool(&name).cloned() else { continue };
            while let Some(decision) = self.place_next(&pool, datacentre) {
                out.push(decision);
            }
        }
        out
    }

    fn place_next(&mut self, pool: &Pool, datacentre: &str) -> Option<Decision> {
        let job = self.queues.get(&pool.name)?.front()?.clone();
        let plain = pool.endpoints.iter().any(|it| it.role == Role::Plain);
        let run_role = if plain { Role::Plain } else { Role::Decode };
        let run = self.pick(pool, run_role, datacentre, &job.avoid)?;
        let prefill = match plain {
            true => None,
            false => Some(self.pick(pool, Role::Prefill, datacentre, &job.avoid)?),
        };
        for endpoint in prefill.iter().chain([&run]) {
            *self.used.entry(endpoint.name.clone()).or_default() += 1;
        }
        self.queues.get_mut(&pool.name)?.pop_front();
        Some(Decision::Placed { request: job.request, placement: Placement { prefill, run } })
    }

    /// Returns the endpoint with the smallest part of its places taken.
    fn pick(
        &self,
        pool: &Pool,
        role: Role,
        datacentre: &str,
        avoid: &[Name],
    ) -> Option<Arc<Endpoint>> {
        pool.endpoints
            .iter()
            .filter(|it| it.role == role && !it.leaving && self.taken(it) < it.places)
            .min_by_key(|it| {
                let part = u64::from(self.taken(it)) * 1_000 / u64::from(it.places.max(1));
                (avoid.contains(&it.name), &*it.datacentre != datacentre, part)
            })
            .cloned()
            .map(Arc::new)
    }

    fn taken(&self, endpoint: &Endpoint) -> u32 {
        self.used.get(&endpoint.name).copied().unwrap_or(0)
    }
}
