//! Discrete-event simulation of several instances of the real reducer on virtual time.
//!
//! A single event queue drives the instances. Links delay, lose, duplicate or block messages, the
//! platform's store is in memory, and endpoints are behind a trait. Instances can be killed,
//! restarted and paused, and their clocks can drift. A run is deterministic for a given seed and
//! sequence of calls.

mod link;
mod queue;
mod store;

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    Effect, Event, Instant, State, limit, member,
    object::{self, Name},
    request, state,
    store::{Answer, Call, Tag},
};
use siskinstile_wire::Envelope;

pub use link::{Link, Links};
use queue::{Item, Queue};
pub use store::Store;

/// Name of the platform's end of a link, where other ends have the name of an instance.
pub const PLATFORM: &str = "platform";
/// Time from the loss of a platform call, or of its answer, on a link until the instance receives
/// [`Answer::Lost`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a watch of objects that have not changed gets an empty answer.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Simulated endpoints.
pub trait Endpoints {
    /// Starts a call for a step; [`advance`](Endpoints::advance) returns its reports.
    fn call(&mut self, now: Instant, call: EndpointCall);
    /// Cancels the work of an endpoint for an attempt.
    fn cancel(
        &mut self,
        now: Instant,
        request: request::Id,
        attempt: u32,
        endpoint: &object::Endpoint,
    );
    /// Returns the time of the next report or state change, if any is pending.
    fn next_at(&self) -> Option<Instant>;
    /// Advances the endpoints to `now` and returns the reports that are due, each with the name of
    /// the calling instance.
    fn advance(&mut self, now: Instant) -> Vec<(Name, request::Report)>;
    /// Drops the calls of an instance that was killed, since its connections are closed.
    fn disconnect(&mut self, now: Instant, instance: &str);
}

/// A call from an instance to an endpoint for one step of a request.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Name of the calling instance.
    pub instance: Name,
    /// Identifier of the request.
    pub request: request::Id,
    /// Number of the attempt.
    pub attempt: u32,
    /// The endpoint that is called, as configured.
    pub endpoint: object::Endpoint,
    /// The step to carry out.
    pub step: request::Step,
}

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

/// A simulated instance.
struct Node {
    settings: state::Settings,
    /// None while the instance is dead.
    state: Option<State>,
    /// Virtual time at which the instance's clock read zero.
    started_at: Instant,
    /// Drift of the instance's clock in parts per million; positive if it runs fast.
    drift_ppm: i64,
    /// End of the latest pause, in virtual time.
    paused_until: Option<Instant>,
}

impl Node {
    fn clock(&self, now: Instant) -> Instant {
        let elapsed = now.since(self.started_at).as_micros() as i64;
        Instant((elapsed + elapsed / 1_000_000 * self.drift_ppm) as u64)
    }
}

/// A watch of the platform's objects that has not been answered yet.
struct Watch {
    instance: Name,
    incarnation: u64,
    tag: Tag,
    kinds: Vec<Name>,
    /// Revision after which changes are reported.
    since: u64,
    /// Time at which the watch gets an empty answer.
    deadline: Instant,
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

    /// Starts an instance, or a new incarnation of one, and registers it with the platform at once.
    pub fn start(&mut self, settings: state::Settings, drift_ppm: i64) {
        let name = settings.name.clone();
        self.store.register(member::Record {
            name: name.clone(),
            address: name.clone(),
            admin: None,
            datacentre: settings.datacentre.clone(),
            incarnation: settings.incarnation,
            state: member::Status::Live,
        });
        let incarnation = settings.incarnation;
        let (mut state, effects) = State::new(settings.clone());
        state.inject(self.injected);
        let node = Node {
            settings,
            state: Some(state),
            started_at: self.now,
            drift_ppm,
            paused_until: None,
        };
        self.nodes.insert(name.clone(), node);
        self.apply_effects(&name, effects);
        self.schedule(
            self.now + state::TICK,
            Item::Event { to: name, incarnation, event: Event::Tick },
        );
    }

    /// Kills an instance; the platform lists it until [`Store::deregister`].
    pub fn kill(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.state = None;
        }
        self.watches.retain(|it| &*it.instance != name);
        self.endpoints.disconnect(self.now, name);
    }

    /// Restarts an instance with empty state and the next incarnation.
    pub fn restart(&mut self, name: &str) {
        let Some(node) = self.nodes.get(name) else { return };
        let (mut settings, drift_ppm) = (node.settings.clone(), node.drift_ppm);
        settings.incarnation += 1;
        self.start(settings, drift_ppm);
    }

    /// Pauses an instance for at least `length`; its events are delivered when the pause ends.
    pub fn pause(&mut self, name: &str, length: Duration) {
        let until = self.now + length;
        if let Some(node) = self.nodes.get_mut(name) {
            node.paused_until = node.paused_until.max(Some(until));
        }
    }

    /// Returns the state of an instance, or none while it is dead.
    pub fn state(&self, name: &str) -> Option<&State> {
        self.nodes.get(name)?.state.as_ref()
    }

    /// Returns the names of all instances, dead ones included.
    pub fn names(&self) -> Vec<Name> {
        self.nodes.keys().cloned().collect()
    }

    /// Schedules an event for an instance at the current time; returns false if the instance is
    /// dead or does not exist.
    pub fn send_event(&mut self, name: &str, event: Event) -> bool {
        let Some(node) = self.nodes.get(name) else { return false };
        let (is_alive, incarnation) = (node.state.is_some(), node.settings.incarnation);
        if is_alive {
            self.schedule(self.now, Item::Event { to: name.into(), incarnation, event });
        }
        is_alive
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

    fn deliver(&mut self, to: &Name, incarnation: Option<u64>, event: Event) {
        let Some(node) = self.nodes.get_mut(to) else { return };
        if incarnation.is_some_and(|it| it != node.settings.incarnation) {
            return;
        }
        if let Some(until) = node.paused_until.filter(|until| *until > self.now) {
            let incarnation = node.settings.incarnation;
            return self.schedule(until, Item::Event { to: to.clone(), incarnation, event });
        }
        let clock = node.clock(self.now);
        let incarnation = node.settings.incarnation;
        let Some(state) = &mut node.state else { return };
        let is_tick = event == Event::Tick;
        let effects = state.step(clock, event);
        let granted = state.take_grants();
        self.grants.extend(granted.into_iter().map(|entry| (self.now, to.clone(), entry)));
        self.steps += 1;
        self.apply_effects(to, effects);
        if is_tick {
            let next = self.now + state::TICK;
            self.schedule(next, Item::Event { to: to.clone(), incarnation, event: Event::Tick });
        }
    }

    fn apply_effects(&mut self, name: &Name, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(name, effect);
        }
    }

    fn apply_effect(&mut self, name: &Name, effect: Effect) {
        let Some(incarnation) = self.nodes.get(name).map(|it| it.settings.incarnation) else {
            return;
        };
        match effect {
            Effect::Call { request, attempt, endpoint, step, .. } => {
                let endpoint = (*endpoint).clone();
                let call =
                    EndpointCall { instance: name.clone(), request, attempt, endpoint, step };
                self.endpoints.call(self.now, call);
            }
            Effect::Cancel { request, attempt, endpoint } => {
                self.endpoints.cancel(self.now, request, attempt, &endpoint);
            }
            Effect::Send { to, body } => {
                let envelope = Envelope { from: name.to_string(), incarnation, body: Some(body) };
                self.traffic.0 += 1;
                self.traffic.1 += prost::Message::encoded_len(&envelope) as u64;
                for at in self.links.arrivals(self.now, &mut self.rng, name, &to) {
                    self.schedule(at, Item::Message { to: to.clone(), envelope: envelope.clone() });
                }
            }
            Effect::Store { tag, call } => {
                let from = name.clone();
                match self.links.arrivals(self.now, &mut self.rng, name, PLATFORM).first() {
                    Some(at) => self.schedule(*at, Item::Call { from, incarnation, tag, call }),
                    None => self.report_lost(from, incarnation, tag),
                }
            }
            effect => self.outputs.push(Output { at: self.now, instance: name.clone(), effect }),
        }
    }

    fn report_lost(&mut self, to: Name, incarnation: u64, tag: Tag) {
        let event = Event::StoreAnswered { tag, answer: Answer::Lost };
        self.schedule(self.now + CALL_TIMEOUT, Item::Event { to, incarnation, event });
    }

    fn call_store(&mut self, from: Name, incarnation: u64, tag: Tag, call: Call) {
        if let Call::Watch { kinds, since } = call {
            self.store.calls += 1;
            let deadline = self.now + WATCH_TIMEOUT;
            self.watches.push(Watch { instance: from, incarnation, tag, kinds, since, deadline });
            self.schedule(deadline, Item::WatchTimeout);
            return self.answer_watches();
        }
        let answer = self.store.call(&call);
        self.send_answer(from, incarnation, tag, answer);
        self.answer_watches();
    }

    fn send_answer(&mut self, to: Name, incarnation: u64, tag: Tag, answer: Answer) {
        match self.links.arrivals(self.now, &mut self.rng, PLATFORM, &to).first() {
            Some(at) => {
                let event = Event::StoreAnswered { tag, answer };
                self.schedule(*at, Item::Event { to, incarnation, event });
            }
            None => self.report_lost(to, incarnation, tag),
        }
    }

    /// Answers the watches that have events or have timed out.
    fn answer_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            match self.store.events(&watch.kinds, watch.since) {
                Answer::Objects { objects, .. }
                    if objects.is_empty() && watch.deadline > self.now =>
                {
                    self.watches.push(watch);
                }
                answer => self.send_answer(watch.instance, watch.incarnation, watch.tag, answer),
            }
        }
    }

    /// Changes an object as an operator does, without crossing a link, and answers the watches that
    /// the change concerns.
    pub fn edit(&mut self, call: &Call) -> Answer {
        let answer = self.store.call(call);
        self.answer_watches();
        answer
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
