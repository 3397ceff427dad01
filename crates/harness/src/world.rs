//! Several instances of the real reducer on virtual time.
//!
//! One queue of events; links that delay, lose, double or cut; a platform in memory; endpoints
//! behind a trait. Instances can be killed, restarted and paused, and have clocks that drift. With
//! one seed and one order of calls every run is the same.

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
use queue::{Queue, What};
pub use store::Store;

/// The name of the platform's end of a link.
pub const PLATFORM: &str = "platform";
/// Time after which a platform call without an answer is lost.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a watch without an event is answered.
const WATCH_LIMIT: Duration = Duration::from_secs(5);

/// The endpoints as the world sees them.
pub trait Endpoints {
    /// Takes a call for a step; its reports come out of [`advance`](Endpoints::advance).
    fn call(&mut self, now: Instant, call: EndpointCall);
    /// Ends what an endpoint does for an attempt.
    fn cancel(
        &mut self,
        now: Instant,
        request: request::Id,
        attempt: u32,
        endpoint: &object::Endpoint,
    );
    /// Returns when the endpoints next have something to report.
    fn next_at(&self) -> Option<Instant>;
    /// Returns what the endpoints have to report, with the name of the instance that called.
    fn advance(&mut self, now: Instant) -> Vec<(Name, request::Report)>;
    /// Forgets the calls of an instance that has died: its connections are closed.
    fn disconnect(&mut self, now: Instant, instance: &str);
}

/// A call of an instance for a step.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Name of the instance.
    pub instance: Name,
    /// The request.
    pub request: request::Id,
    /// Number of the attempt.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: object::Endpoint,
    /// The step.
    pub step: request::Step,
}

/// Something that an instance did towards callers or the process around it.
#[derive(Debug, Clone)]
pub struct Output {
    /// When.
    pub at: Instant,
    /// Name of the instance.
    pub instance: Name,
    /// What: `Fail`, `Finish`, `Replay`, `Adopt`, `Ready`, `Reply`, `Log` or `Stopped`.
    pub effect: Effect,
}

/// One instance.
struct Node {
    settings: state::Settings,
    /// None while it is dead.
    state: Option<State>,
    /// Global time at which its clock showed zero.
    born: Instant,
    /// Parts per million by which its clock runs fast.
    drift_ppm: i64,
    paused_until: Option<Instant>,
}

impl Node {
    fn clock(&self, now: Instant) -> Instant {
        let elapsed = now.since(self.born).as_micros() as i64;
        Instant((elapsed + elapsed / 1_000_000 * self.drift_ppm) as u64)
    }
}

struct Watch {
    from: Name,
    incarnation: u64,
    tag: Tag,
    kinds: Vec<Name>,
    since: u64,
    until: Instant,
}

/// The instances and what is around them.
pub struct World<E> {
    /// The links.
    pub links: Links,
    /// The platform's store.
    pub store: Store,
    /// The endpoints.
    pub endpoints: E,
    /// Random numbers of this run.
    pub rng: ChaCha8Rng,
    /// Number of steps that the reducers have taken.
    pub steps: u64,
    /// Messages sent between instances, and their bytes as encoded.
    pub traffic: (u64, u64),
    /// The fault that every instance has, to test an oracle.
    pub injected: Option<siskinstile_core::fault::Fault>,
    /// What instances did towards callers, oldest first; the driver drains it.
    pub outputs: Vec<Output>,
    /// Tokens that instances granted or gave back, oldest first; the driver drains it.
    pub grants: Vec<(Instant, Name, limit::Entry)>,
    now: Instant,
    queue: Queue,
    nodes: IndexMap<Name, Node>,
    watches: Vec<Watch>,
}

impl<E: Endpoints> World<E> {
    /// Creates a world without instances.
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

    /// Returns the time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Starts an instance, or a new incarnation of one; the platform's list shows it at once.
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
        let node =
            Node { settings, state: Some(state), born: self.now, drift_ppm, paused_until: None };
        self.nodes.insert(name.clone(), node);
        self.carry_out(&name, effects);
        self.push(
            self.now + state::TICK,
            What::Event { to: name, incarnation, event: Event::Tick },
        );
    }

    /// Ends an instance at once; the platform's list shows it until [`Store::deregister`].
    pub fn kill(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.state = None;
        }
        self.watches.retain(|it| &*it.from != name);
        self.endpoints.disconnect(self.now, name);
    }

    /// Starts a dead instance again, empty, with a higher incarnation.
    pub fn restart(&mut self, name: &str) {
        let Some(node) = self.nodes.get(name) else { return };
        let (mut settings, drift) = (node.settings.clone(), node.drift_ppm);
        settings.incarnation += 1;
        self.start(settings, drift);
    }

    /// Stops an instance's process for a while; what comes for it waits.
    pub fn pause(&mut self, name: &str, length: Duration) {
        let until = self.now + length;
        if let Some(node) = self.nodes.get_mut(name) {
            node.paused_until = node.paused_until.max(Some(until));
        }
    }

    /// Returns the state of an instance that is alive.
    pub fn state(&self, name: &str) -> Option<&State> {
        self.nodes.get(name)?.state.as_ref()
    }

    /// Returns the names of the instances, dead ones too.
    pub fn names(&self) -> Vec<Name> {
        self.nodes.keys().cloned().collect()
    }

    /// Hands an instance an event now; returns whether it is alive.
    pub fn send_event(&mut self, name: &str, event: Event) -> bool {
        let Some(node) = self.nodes.get(name) else { return false };
        let (alive, incarnation) = (node.state.is_some(), node.settings.incarnation);
        if alive {
            self.push(self.now, What::Event { to: name.into(), incarnation, event });
        }
        alive
    }

    /// Sets a mark, which [`run`](World::run) returns when its time comes.
    pub fn set_timer(&mut self, at: Instant, mark: u64) {
        self.push(at, What::Mark(mark));
    }

    /// Runs until the next mark, or until `end`.
    pub fn run(&mut self, end: Instant) -> Option<u64> {
        loop {
            let queued = self.queue.next_at();
            let endpoint = self.endpoints.next_at().map(|at| at.max(self.now));
            let at = queued.into_iter().chain(endpoint).min().filter(|at| *at <= end);
            let Some(at) = at else {
                self.now = self.now.max(end);
                return None;
            };
            self.now = at;
            if endpoint == Some(at) {
                self.advance_endpoints();
                continue;
            }
            let what = self.queue.pop()?;
            if let What::Mark(mark) = what {
                return Some(mark);
            }
            self.happen(what);
        }
    }

    fn advance_endpoints(&mut self) {
        for (name, report) in self.endpoints.advance(self.now) {
            self.send_event(&name, Event::Report(report));
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Event { to, incarnation, event } => self.deliver(&to, Some(incarnation), event),
            What::Message { to, envelope } => self.deliver(&to, None, Event::Message(envelope)),
            What::Call { from, incarnation, tag, call } => self.call(from, incarnation, tag, call),
            What::Watches => self.answer_watches(),
            What::Mark(_) => {}
        }
    }

    fn deliver(&mut self, to: &Name, incarnation: Option<u64>, event: Event) {
        let Some(node) = self.nodes.get_mut(to) else { return };
        if incarnation.is_some_and(|it| it != node.settings.incarnation) {
            return;
        }
        if let Some(until) = node.paused_until.filter(|until| *until > self.now) {
            let incarnation = node.settings.incarnation;
            return self.push(until, What::Event { to: to.clone(), incarnation, event });
        }
        let clock = node.clock(self.now);
        let incarnation = node.settings.incarnation;
        let Some(state) = &mut node.state else { return };
        let ticked = event == Event::Tick;
        let effects = state.step(clock, event);
        let granted = state.take_grants();
        self.grants.extend(granted.into_iter().map(|entry| (self.now, to.clone(), entry)));
        self.steps += 1;
        self.carry_out(to, effects);
        if ticked {
            let next = self.now + state::TICK;
            self.push(next, What::Event { to: to.clone(), incarnation, event: Event::Tick });
        }
    }

    fn carry_out(&mut self, name: &Name, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_out_one(name, effect);
        }
    }

    fn carry_out_one(&mut self, name: &Name, effect: Effect) {
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
                    self.push(at, What::Message { to: to.clone(), envelope: envelope.clone() });
                }
            }
            Effect::Store { tag, call } => {
                let from = name.clone();
                match self.links.arrivals(self.now, &mut self.rng, name, PLATFORM).first() {
                    Some(at) => self.push(*at, What::Call { from, incarnation, tag, call }),
                    None => self.lose(from, incarnation, tag),
                }
            }
            effect => self.outputs.push(Output { at: self.now, instance: name.clone(), effect }),
        }
    }

    fn lose(&mut self, to: Name, incarnation: u64, tag: Tag) {
        let event = Event::StoreAnswered { tag, answer: Answer::Lost };
        self.push(self.now + CALL_LIMIT, What::Event { to, incarnation, event });
    }

    fn call(&mut self, from: Name, incarnation: u64, tag: Tag, call: Call) {
        if let Call::Watch { kinds, since } = call {
            self.store.calls += 1;
            let until = self.now + WATCH_LIMIT;
            self.watches.push(Watch { from, incarnation, tag, kinds, since, until });
            self.push(until, What::Watches);
            return self.answer_watches();
        }
        let answer = self.store.call(&call);
        self.answer(from, incarnation, tag, answer);
        self.answer_watches();
    }

    fn answer(&mut self, to: Name, incarnation: u64, tag: Tag, answer: Answer) {
        match self.links.arrivals(self.now, &mut self.rng, PLATFORM, &to).first() {
            Some(at) => {
                let event = Event::StoreAnswered { tag, answer };
                self.push(*at, What::Event { to, incarnation, event });
            }
            None => self.lose(to, incarnation, tag),
        }
    }

    /// Answers the watches for which an event exists or whose time is over.
    fn answer_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            match self.store.events(&watch.kinds, watch.since) {
                Answer::Objects { objects, .. } if objects.is_empty() && watch.until > self.now => {
                    self.watches.push(watch);
                }
                answer => self.answer(watch.from, watch.incarnation, watch.tag, answer),
            }
        }
    }

    /// Changes an object as an operator does, past all links; watches hear of it.
    pub fn edit(&mut self, call: &Call) -> Answer {
        let answer = self.store.call(call);
        self.answer_watches();
        answer
    }

    fn push(&mut self, at: Instant, what: What) {
        self.queue.push(at, what);
    }

    /// Returns a random number below `below`.
    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
