//! Discrete-event simulation of several instances of the real reducer on virtual time.
//!
//! A single event queue drives the instances. Links delay, lose, duplicate or block messages, the
//! platform's store is in memory, and endpoints are behind a trait. Instances can be killed,
//! restarted and paused, and their clocks can drift. A run is deterministic for a given seed and
//! sequence of calls.

mod endpoint;
mod instance;
mod link;
mod platform;
mod queue;
mod store;

use indexmap::IndexMap;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{Effect, Event, Instant, limit, object::Name};

pub use endpoint::{EndpointCall, Endpoints};
use instance::Node;
pub use link::{Link, Links};
pub use platform::PLATFORM;
use platform::Watch;
use queue::{Item, Queue};
pub use store::Store;

/// An effect of an instance on callers or on its own process.
#[derive(Debug, Clone)]
pub struct Output {
    /// Virtual time of the effect.
    pub at: Instant,
    /// Name of the instance.
    pub instance: Name,
    /// The effect: `Fail`, `Finish`, `Replay`, `Adopt`, `Ready`, `Reply`, `Log` or `Stopped`.
    pub effect: Effect,
}

/// The simulated instances with their links, store and endpoints.
pub struct World<E> {
    /// Links between instances, and between instances and the platform.
    pub links: Links,
    /// The platform's store.
    pub store: Store,
    /// The simulated endpoints.
    pub endpoints: E,
    /// Random number generator of the run.
    pub rng: ChaCha8Rng,
    /// Number of events that the reducers have processed.
    pub steps: u64,
    /// Number of messages sent between instances, and their encoded size in bytes.
    pub traffic: (u64, u64),
    /// Fault that is injected into every instance that starts, to test an oracle.
    pub injected: Option<siskinstile_core::fault::Fault>,
    /// Effects on callers and processes, oldest first; the driver drains them.
    pub outputs: Vec<Output>,
    /// Tokens that instances granted or returned, oldest first; the driver drains them.
    pub grants: Vec<(Instant, Name, limit::Entry)>,
    now: Instant,
    queue: Queue,
    nodes: IndexMap<Name, Node>,
    watches: Vec<Watch>,
}

impl<E: Endpoints> World<E> {
    /// Creates a simulation without instances.
    pub fn new(seed: u64, endpoints: E) -> World<E> {
        World {
            links: Links::default(),
            store: Store::default(),
            endpoints,
            rng: ChaCha8Rng::seed_from_u64(seed),
            steps: 0,
            traffic: (0, 0),
            injected: None,
            outputs: Vec::new(),
            grants: Vec::new(),
            now: Instant::default(),
            queue: Queue::default(),
            nodes: IndexMap::new(),
            watches: Vec::new(),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Sets a timer; [`run`](World::run) returns its value when it expires.
    pub fn set_timer(&mut self, at: Instant, timer: u64) {
        self.schedule(at, Item::Timer(timer));
    }

    /// Runs until the next timer expires and returns its value, or until `end` and returns none.
    pub fn run(&mut self, end: Instant) -> Option<u64> {
        loop {
            let next_queued = self.queue.next_at();
            let next_endpoint = self.endpoints.next_at().map(|at| at.max(self.now));
            let at = next_queued.into_iter().chain(next_endpoint).min().filter(|at| *at <= end);
            let Some(at) = at else {
                self.now = self.now.max(end);
                return None;
            };
            self.now = at;
            if next_endpoint == Some(at) {
                self.advance_endpoints();
                continue;
            }
            let item = self.queue.pop()?;
            if let Item::Timer(timer) = item {
                return Some(timer);
            }
            self.process(item);
        }
    }

    fn advance_endpoints(&mut self) {
        for (name, report) in self.endpoints.advance(self.now) {
            self.send_event(&name, Event::Report(report));
        }
    }

    fn process(&mut self, item: Item) {
        match item {
            Item::Event { to, incarnation, event } => self.deliver(&to, Some(incarnation), event),
            Item::Message { to, envelope } => self.deliver(&to, None, Event::Message(envelope)),
            Item::Call { from, incarnation, tag, call } => {
                self.call_store(from, incarnation, tag, call)
            }
            Item::WatchTimeout => self.answer_watches(),
            Item::Timer(_) => {}
        }
    }

    fn schedule(&mut self, at: Instant, item: Item) {
        self.queue.push(at, item);
    }

    /// Returns a random number below `below`, or 0 if `below` is 0.
    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    /// Returns 64 random bits.
    pub fn random_bits(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
