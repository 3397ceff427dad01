//! Simulated instances: their lifecycle, the delivery of events to them, and their effects.

use std::time::Duration;

use siskinstile_core::{Effect, Event, Instant, State, member, object::Name, state};
use siskinstile_wire::Envelope;

use super::{EndpointCall, Endpoints, Output, PLATFORM, World, queue::Item};

/// A simulated instance.
pub(super) struct Node {
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

impl<E: Endpoints> World<E> {
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

    /// Kills an instance; the platform lists it until
    /// [`Store::deregister`](super::Store::deregister).
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

    pub(super) fn deliver(&mut self, to: &Name, incarnation: Option<u64>, event: Event) {
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
}
