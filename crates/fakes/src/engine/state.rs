//! State of an engine: KV caches, slots, memory and counters.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use super::{
    cache::Cache,
    config::{Config, Role},
};

/// An attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize)]
pub(super) struct AttemptId {
    pub(super) request: String,
    pub(super) attempt: u64,
}

/// A shared flag that cancels work once set.
#[derive(Clone, Default)]
pub(super) struct CancelFlag(Arc<AtomicBool>);

impl CancelFlag {
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// The KV cache that a prefill computed for a prompt.
pub(super) struct KvCache {
    pub(super) tokens: u64,
    pub(super) evicted_at: Instant,
}

/// The slot and the memory that an attempt occupies in a decode engine.
pub(super) struct Hold {
    /// Hash of the prompt, with which its output tokens begin.
    pub(super) hash: u16,
    /// Reserved memory, in tokens.
    pub(super) memory: u64,
    pub(super) max_tokens: u64,
    /// Output tokens generated so far.
    pub(super) generated: u64,
    /// When the hold expires; `None` during an import or a stream.
    pub(super) deadline: Option<Instant>,
    /// Whether the import is complete.
    pub(super) imported: bool,
    /// Ends the hold and its stream once set.
    pub(super) cancel: CancelFlag,
    /// Ends the running stream when a later one replaces it; `None` while no stream runs.
    pub(super) stream: Option<CancelFlag>,
}

/// Counters since the engine started.
#[value(default, id)]
pub(super) struct Totals {
    pub(super) prefills: u64,
    pub(super) imports: u64,
    pub(super) cancelled: u64,
    pub(super) decoded: u64,
}

/// The state of one engine.
pub(super) struct State {
    pub(super) config: Config,
    pub(super) role: Role,
    pub(super) models: Vec<String>,
    /// Highest fencing token of the accepted orders.
    pub(super) fence: u64,
    pub(super) cache: Cache,
    pub(super) kv_caches: IndexMap<String, KvCache>,
    pub(super) next_kv_number: u64,
    /// Tickets of the prefills that wait for a slot, in order of arrival.
    pub(super) queue: VecDeque<u64>,
    pub(super) next_ticket: u64,
    /// Waiting and running prefills, by ticket.
    pub(super) prefills: IndexMap<u64, (AttemptId, CancelFlag)>,
    pub(super) holds: IndexMap<AttemptId, Hold>,
    pub(super) totals: Totals,
    /// Loads recorded by `tick`, oldest first.
    load_history: VecDeque<(Instant, Value)>,
}

impl State {
    pub(super) fn new(config: Config) -> State {
        State {
            role: config.role,
            models: config.models.clone(),
            fence: 0,
            cache: Cache::new(config.prefix_memory),
            kv_caches: IndexMap::new(),
            next_kv_number: 0,
            queue: VecDeque::new(),
            next_ticket: 0,
            prefills: IndexMap::new(),
            holds: IndexMap::new(),
            totals: Totals::default(),
            load_history: VecDeque::new(),
            config,
        }
    }

    pub(super) fn has_model(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|it| it == model)
    }

    pub(super) fn running_prefills(&self) -> usize {
        self.prefills.len() - self.queue.len()
    }

    pub(super) fn running_streams(&self) -> usize {
        self.holds.values().filter(|it| it.stream.is_some()).count()
    }

    /// Returns whether a slot and `memory` tokens of memory are free.
    pub(super) fn has_room(&self, memory: u64) -> bool {
        let used: u64 = self.holds.values().map(|it| it.memory).sum();
        self.holds.len() < self.config.slots as usize && used + memory <= self.config.memory
    }

    /// Removes expired KV caches and holds, and records the load.
    pub(super) fn tick(&mut self) {
        let now = Instant::now();
        self.kv_caches.retain(|_, it| it.evicted_at > now);
        self.holds.retain(|_, it| it.deadline.is_none_or(|deadline| deadline > now));
        self.load_history.push_back((now, self.load()));
        let lag = Duration::from_millis(self.config.load_lag_ms);
        while self.load_history.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.load_history.pop_front();
        }
    }

    /// Returns the load, as it was `load_lag_ms` ago.
    pub(super) fn reported_load(&self) -> Value {
        match self.load_history.front() {
            Some((_, load)) if self.config.load_lag_ms > 0 => load.clone(),
            _ => self.load(),
        }
    }

    /// Cancels an attempt of a request, or all its attempts if `attempt` is `None`.
    ///
    /// Returns whether there was any attempt to cancel.
    pub(super) fn cancel(&mut self, request: &str, attempt: Option<u64>) -> bool {
        let matches =
            |id: &AttemptId| id.request == request && attempt.is_none_or(|it| it == id.attempt);
        let mut found = false;
        for (_, cancel) in self.prefills.values().filter(|(id, _)| matches(id)) {
            cancel.set();
            found = true;
        }
        self.holds.retain(|id, hold| {
            let is_cancelled = matches(id);
            if is_cancelled {
                hold.cancel.set();
                found = true;
            }
            !is_cancelled
        });
        self.totals.cancelled += u64::from(found);
        found
    }

    fn load(&self) -> Value {
        let occupied = match self.role {
            Role::Prefill => self.running_prefills(),
            Role::Decode => self.holds.len(),
        };
        let running = match self.role {
            Role::Prefill => occupied,
            Role::Decode => self.running_streams(),
        };
        let reserved: u64 = self.holds.values().map(|it| it.memory).sum();
        let cached: u64 = self.kv_caches.values().map(|it| it.tokens).sum();
        json!({
            "running": running,
            "queued": self.queue.len(),
            "places": self.config.slots,
            "free_places": (self.config.slots as usize).saturating_sub(occupied),
            "memory_used": reserved + cached,
            "holds": self.holds.keys().collect::<Vec<_>>(),
        })
    }
}
