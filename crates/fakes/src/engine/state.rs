//! What an engine holds: KV caches, places, memory and counters.

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

/// A request and its attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize)]
pub(super) struct Id {
    pub(super) request: String,
    pub(super) attempt: u64,
}

/// A mark that ends the work of one attempt.
#[derive(Clone, Default)]
pub(super) struct Cancel(Arc<AtomicBool>);

impl Cancel {
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// The computed KV cache of a prompt.
pub(super) struct Kv {
    pub(super) tokens: u64,
    pub(super) evicted_at: Instant,
}

/// A place and memory that an attempt has in a decode engine.
pub(super) struct Hold {
    pub(super) hash: u16,
    pub(super) memory: u64,
    pub(super) max_tokens: u64,
    /// Output tokens generated so far.
    pub(super) generated: u64,
    /// When it ends; none during an import or a stream.
    pub(super) deadline: Option<Instant>,
    /// Whether the import is complete.
    pub(super) imported: bool,
    /// Ends the hold and its stream.
    pub(super) cancel: Cancel,
    /// Ends the stream that runs, in favour of a later one.
    pub(super) stream: Option<Cancel>,
}

/// Numbers since the start.
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
    pub(super) fence: u64,
    pub(super) cache: Cache,
    pub(super) kvs: IndexMap<String, Kv>,
    pub(super) next_kv: u64,
    /// Prefills that wait for a place, in order.
    pub(super) queue: VecDeque<u64>,
    pub(super) next_ticket: u64,
    /// Prefills that wait or run, by ticket.
    pub(super) prefills: IndexMap<u64, (Id, Cancel)>,
    pub(super) holds: IndexMap<Id, Hold>,
    pub(super) totals: Totals,
    loads: VecDeque<(Instant, Value)>,
}

impl State {
    pub(super) fn new(config: Config) -> State {
        State {
            role: config.role,
            models: config.models.clone(),
            fence: 0,
            cache: Cache::new(config.prefix_memory),
            kvs: IndexMap::new(),
            next_kv: 0,
            queue: VecDeque::new(),
            next_ticket: 0,
            prefills: IndexMap::new(),
            holds: IndexMap::new(),
            totals: Totals::default(),
            loads: VecDeque::new(),
            config,
        }
    }

    pub(super) fn has_model(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|it| it == model)
    }

    pub(super) fn prefilling(&self) -> usize {
        self.prefills.len() - self.queue.len()
    }

    pub(super) fn streaming(&self) -> usize {
        self.holds.values().filter(|it| it.stream.is_some()).count()
    }

    /// Returns whether another request with this memory finds room.
    pub(super) fn has_room(&self, memory: u64) -> bool {
        let used: u64 = self.holds.values().map(|it| it.memory).sum();
        self.holds.len() < self.config.slots as usize && used + memory <= self.config.memory
    }

    /// Removes what has reached its end and notes the load.
    pub(super) fn tick(&mut self) {
        let now = Instant::now();
        self.kvs.retain(|_, it| it.evicted_at > now);
        self.holds.retain(|_, it| it.deadline.is_none_or(|deadline| deadline > now));
        self.loads.push_back((now, self.load()));
        let lag = Duration::from_millis(self.config.load_lag_ms);
        while self.loads.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.loads.pop_front();
        }
    }

    /// Returns the load as of the configured time ago.
    pub(super) fn late_load(&self) -> Value {
        match self.loads.front() {
            Some((_, load)) if self.config.load_lag_ms > 0 => load.clone(),
            _ => self.load(),
        }
    }

    /// Ends the work of an attempt, or of all attempts; returns whether there was any.
    pub(super) fn cancel(&mut self, request: &str, attempt: Option<u64>) -> bool {
        let matches = |id: &Id| id.request == request && attempt.is_none_or(|it| it == id.attempt);
        let mut held = false;
        for (_, cancel) in self.prefills.values().filter(|(id, _)| matches(id)) {
            cancel.set();
            held = true;
        }
        self.holds.retain(|id, hold| {
            let ends = matches(id);
            if ends {
                hold.cancel.set();
                held = true;
            }
            !ends
        });
        self.totals.cancelled += u64::from(held);
        held
    }

    fn load(&self) -> Value {
        let busy = match self.role {
            Role::Prefill => self.prefilling(),
            Role::Decode => self.holds.len(),
        };
        let running = match self.role {
            Role::Prefill => busy,
            Role::Decode => self.streaming(),
        };
        let held: u64 = self.holds.values().map(|it| it.memory).sum();
        let computed: u64 = self.kvs.values().map(|it| it.tokens).sum();
        json!({
            "running": running,
            "queued": self.queue.len(),
            "places": self.config.slots,
            "free_places": (self.config.slots as usize).saturating_sub(busy),
            "memory_used": held + computed,
            "holds": self.holds.keys().collect::<Vec<_>>(),
        })
    }
}
