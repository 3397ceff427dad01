//! A prefill engine: one prompt at a time, a bounded queue, a cache and a link.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    object::{Endpoint, Name, Pool},
    request::Id,
};

use super::{Attempt, Demand, PIECE_TOKENS, cache::Cache};

/// Prompts that may wait.
const QUEUE_LIMIT: usize = 8;

/// A prompt to be computed.
#[derive(Debug, Clone)]
pub(super) struct Work {
    pub(super) instance: Name,
    pub(super) attempt: Attempt,
}

/// A prompt whose computing has started.
pub(super) struct Started {
    pub(super) attempt: Attempt,
    pub(super) prompt: u64,
    pub(super) cached: u64,
    pub(super) ends: Instant,
}

pub(super) struct Prefill {
    pub(super) slow: f64,
    /// Changes when what is running is cancelled.
    pub(super) version: u64,
    /// Tokens a second.
    rate: f64,
    transfer_us: u64,
    queue: VecDeque<Work>,
    running: Option<(Work, u64)>,
    cache: Cache,
    /// When each slot of the link is free.
    slots: Vec<Instant>,
}

impl Prefill {
    pub(super) fn new(pool: &Pool, endpoint: &Endpoint) -> Prefill {
        Prefill {
            slow: 1.0,
            version: 0,
            rate: pool.prefill_rate as f64,
            transfer_us: pool.transfer_ms,
            queue: VecDeque::new(),
            running: None,
            cache: Cache::new((endpoint.memory / PIECE_TOKENS) as usize),
            slots: vec![Instant::default(); pool.link_slots as usize],
        }
    }

    pub(super) fn load(&self) -> (u32, u32) {
        (u32::from(self.running.is_some()), self.queue.len() as u32)
    }

    /// Queues a prompt; returns whether there was room.
    pub(super) fn queue(&mut self, instance: Name, attempt: Attempt) -> bool {
        let room = self.queue.len() < QUEUE_LIMIT;
        if room {
            self.queue.push_back(Work { instance, attempt });
        }
        room
    }

    /// Starts the next prompt if none runs.
    pub(super) fn start(
        &mut self,
        now: Instant,
        demands: &IndexMap<Id, Demand>,
    ) -> Option<Started> {
        if self.running.is_some() {
            return None;
        }
        let work = self.queue.pop_front()?;
        let demand = demands.get(&work.attempt.0)?;
        let cached = self.cache.cached(&demand.prefixes).min(demand.prompt.saturating_sub(1));
        self.cache.insert(&demand.prefixes);
        let seconds = (demand.prompt - cached) as f64 / self.rate * self.slow;
        self.version += 1;
        let attempt = work.attempt;
        self.running = Some((work, cached));
        let ends = now + Duration::from_secs_f64(seconds);
        Some(Started { attempt, prompt: demand.prompt, cached, ends })
    }

    /// Ends the prompt that runs.
    pub(super) fn end(&mut self) -> Option<(Work, u64)> {
        self.running.take()
    }

    pub(super) fn cancel(&mut self, attempt: Attempt) {
        self.queue.retain(|it| it.attempt != attempt);
        if self.running.as_ref().is_some_and(|it| it.0.attempt == attempt) {
            self.running = None;
            self.version += 1;
        }
    }

    pub(super) fn clear(&mut self) -> Vec<Work> {
        self.version += 1;
        self.running.take().map(|it| it.0).into_iter().chain(self.queue.drain(..)).collect()
    }

    /// Takes the slot of the link that is free first and returns when the transfer ends, or none
    /// if it cannot start before the result expires.
    pub(super) fn transfer(
        &mut self,
        now: Instant,
        expires: Instant,
        prompt: u64,
    ) -> Option<Instant> {
        let slot = self.slots.iter_mut().min()?;
        let start = now.max(*slot);
        if start >= expires {
            return None;
        }
        *slot = start + Duration::from_micros(prompt * self.transfer_us);
        Some(*slot)
    }
}
