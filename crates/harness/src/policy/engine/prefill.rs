//! A prefill engine: one prompt at a time, a bounded queue, a prefix cache and a transfer link.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    object::{Endpoint, Name, Pool},
    request::Id,
};

use super::{Attempt, BLOCK_TOKENS, Demand, cache::Cache};

/// Maximum number of queued prompts.
const QUEUE_LIMIT: usize = 8;

/// A queued or running prefill.
#[derive(Debug, Clone)]
pub(super) struct Work {
    pub(super) instance: Name,
    pub(super) attempt: Attempt,
}

/// A prefill that has just started.
pub(super) struct Started {
    pub(super) attempt: Attempt,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    pub(super) completes_at: Instant,
}

pub(super) struct Prefill {
    pub(super) slowdown: f64,
    /// Incremented when a prefill starts, is cancelled or aborted; scheduled completions of an
    /// older version are ignored.
    pub(super) version: u64,
    tokens_per_second: f64,
    transfer_us_per_token: u64,
    queue: VecDeque<Work>,
    running: Option<(Work, u64)>,
    cache: Cache,
    /// Time at which each slot of the transfer link becomes free.
    link_slots: Vec<Instant>,
}

impl Prefill {
    pub(super) fn new(pool: &Pool, endpoint: &Endpoint) -> Prefill {
        Prefill {
            slowdown: 1.0,
            version: 0,
            tokens_per_second: pool.prefill_rate as f64,
            transfer_us_per_token: pool.transfer_ms,
            queue: VecDeque::new(),
            running: None,
            cache: Cache::new((endpoint.memory / BLOCK_TOKENS) as usize),
            link_slots: vec![Instant::default(); pool.link_slots as usize],
        }
    }

    pub(super) fn load(&self) -> (u32, u32) {
        (u32::from(self.running.is_some()), self.queue.len() as u32)
    }

    /// Queues a prompt; returns false if the queue is full.
    pub(super) fn enqueue(&mut self, instance: Name, attempt: Attempt) -> bool {
        let has_room = self.queue.len() < QUEUE_LIMIT;
        if has_room {
            self.queue.push_back(Work { instance, attempt });
        }
        has_room
    }

    /// Starts the next queued prefill if none is running.
    pub(super) fn start_next(
        &mut self,
        now: Instant,
        demands: &IndexMap<Id, Demand>,
    ) -> Option<Started> {
        if self.running.is_some() {
            return None;
        }
        let work = self.queue.pop_front()?;
        let demand = demands.get(&work.attempt.0)?;
        let cached_tokens =
            self.cache.cached_tokens(&demand.prefixes).min(demand.prompt_tokens.saturating_sub(1));
        self.cache.insert(&demand.prefixes);
        let seconds =
            (demand.prompt_tokens - cached_tokens) as f64 / self.tokens_per_second * self.slowdown;
        self.version += 1;
        let attempt = work.attempt;
        self.running = Some((work, cached_tokens));
        let completes_at = now + Duration::from_secs_f64(seconds);
        Some(Started { attempt, prompt_tokens: demand.prompt_tokens, cached_tokens, completes_at })
    }

    /// Ends the running prefill; returns it with its number of cached tokens.
    pub(super) fn finish(&mut self) -> Option<(Work, u64)> {
        self.running.take()
    }

    pub(super) fn cancel(&mut self, attempt: Attempt) {
        self.queue.retain(|it| it.attempt != attempt);
        if self.running.as_ref().is_some_and(|it| it.0.attempt == attempt) {
            self.running = None;
            self.version += 1;
        }
    }

    /// Drops the running and all queued prefills and returns them.
    pub(super) fn abort_all(&mut self) -> Vec<Work> {
        self.version += 1;
        self.running.take().map(|it| it.0).into_iter().chain(self.queue.drain(..)).collect()
    }

    /// Reserves the link slot that becomes free first and returns when the transfer ends, or `None`
    /// if the transfer cannot start before the prefill result expires.
    pub(super) fn transfer(
        &mut self,
        now: Instant,
        expires: Instant,
        prompt_tokens: u64,
    ) -> Option<Instant> {
        let slot = self.link_slots.iter_mut().min()?;
        let start = now.max(*slot);
        if start >= expires {
            return None;
        }
        *slot = start + Duration::from_micros(prompt_tokens * self.transfer_us_per_token);
        Some(*slot)
    }
}
