//! Configuration: publication, adoption, readiness and the report on both.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use siskinstile_wire::{Body, message::config as wire};

use crate::{
    Config, Effect, Instant, log,
    store::{Answer, Tag},
    sync,
};

use super::{State, messages::Sender};

/// Instances of a data centre that watch the manifest.
const WATCHERS: usize = 2;
/// Word by whose rank they are chosen.
const WATCHER: &str = "watcher";
/// Instances of the fleet that try for the publish lease.
const CANDIDATES: usize = 2;
/// Word by whose rank they are chosen.
const PUBLISHER: &str = "publisher";
/// Time after which a new instance serves what its peers have, without word of the platform.
const START_WAIT: Duration = Duration::from_secs(5);
/// Time after which a new instance serves although it does not know who holds the teams' rights.
const SEATS_WAIT: Duration = Duration::from_secs(12);

/// When things of the configuration happened.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct Moments {
    started: Option<Instant>,
    adopted: Instant,
    ready: bool,
}

impl State {
    pub(super) fn start(&mut self) {
        self.log(log::STARTED, self.settings.name.to_string());
        let outputs = self.sync.tick(Instant::default(), false);
        self.apply(Instant::default(), outputs);
    }

    pub(super) fn control_tick(&mut self, now: Instant) {
        self.moments.started.get_or_insert(now);
        self.member_tick(now);
        let watcher = self.is_among_first(WATCHER, WATCHERS);
        let outputs = self.sync.tick(now, watcher);
        self.apply(now, outputs);
        let outputs = match self.draining {
            Some(_) => self.publisher.release(now),
            None => self.publisher.tick(now, self.is_candidate()),
        };
        self.apply(now, outputs);
        self.become_ready(now);
    }

    pub(super) fn stored(&mut self, now: Instant, tag: Tag, answer: Answer) {
        if answer != Answer::Lost {
            self.sync.record_contact(now);
        }
        match (tag, answer) {
            (Tag::Claim(id), answer) => self.claim_written(now, id, answer),
            (Tag::ReadClaim(id), answer) => self.claim_read(now, id, answer),
            (Tag::RecordOutcome(id), answer) => self.settled(now, id, answer),
            (Tag::Sweep, answer) => self.sweep_answered(now, answer),
            (Tag::SweepDelete, _) => {}
            (Tag::Instances, Answer::Instances(records)) => self.members.replace(records),
            (Tag::Instances, _) => {}
            (Tag::Publish(number, step), answer) => {
                let outputs = self.publisher.handle_answer(now, number, step, answer);
                self.apply(now, outputs);
            }
            (Tag::Participants, answer) => self.participants_answered(now, answer),
            (tag, answer) => {
                let outputs = self.sync.handle_answer(now, tag, answer);
                self.apply(now, outputs);
            }
        }
    }

    /// Returns whether this instance should try for the publish lease.
    fn is_candidate(&self) -> bool {
        let mut live: Vec<_> =
            self.members.iter().filter(|it| self.members.takes_work(it)).collect();
        live.sort_by_cached_key(|it| std::cmp::Reverse(crate::member::rank(&it.name, PUBLISHER)));
        live.iter().take(CANDIDATES).any(|it| it.name == self.settings.name)
    }

    /// Puts a configuration in force without the platform; for tests.
    #[doc(hidden)]
    pub fn adopt(&mut self, now: Instant, config: Arc<Config>) -> Vec<Effect> {
        self.apply(now, vec![sync::Output::Adopt(config)]);
        std::mem::take(&mut self.effects)
    }

    pub(super) fn apply(&mut self, now: Instant, outputs: Vec<sync::Output>) {
        for output in outputs {
            match output {
                sync::Output::Call(tag, call) => self.emit(Effect::Store { tag, call }),
                sync::Output::Send(to, kind) => {
                    self.send(&to, Body::Config(wire::Message { kind: Some(kind) }));
                }
                sync::Output::Log(record) => self.emit(Effect::Log(record)),
                sync::Output::Adopt(config) => {
                    self.log(log::CONFIG_ADOPTED, format!("generation {}", config.generation));
                    self.config = config;
                    self.moments.adopted = now;
                    self.emit(Effect::Adopt(self.config.clone()));
                    self.end_withdrawn(now);
                    self.become_ready(now);
                    self.beat(now);
                    self.beat_far(now);
                }
            }
        }
    }

    /// Takes requests once this instance is not behind the platform and its peers, or has waited
    /// for the platform long enough.
    fn waited(&self, now: Instant, time: Duration) -> bool {
        self.moments.started.is_some_and(|at| now.since(at) >= time)
    }

    fn become_ready(&mut self, now: Instant) {
        let waited = self.waited(now, START_WAIT);
        let generation = self.config.generation;
        let behind = self.members.heartbeats().any(|it| it.1.generation > generation);
        let current = self.sync.is_current() && !behind;
        let seated = !self.limiter.table().participants.is_empty() || self.waited(now, SEATS_WAIT);
        let ready = self.draining.is_none() && generation > 0 && (current || waited) && seated;
        if ready && !self.moments.ready {
            self.moments.ready = true;
            self.emit(Effect::Ready(true));
        }
    }

    pub(super) fn config_message(&mut self, now: Instant, from: &Sender, message: wire::Message) {
        let Some(kind) = message.kind else { return };
        let outputs = self.sync.handle_message(now, &from.name, kind);
        self.apply(now, outputs);
    }

    /// Returns the report on configuration and members.
    pub(super) fn control_status(&self, now: Instant) -> Value {
        let generation = self.config.generation;
        let lagging: Vec<Value> = self
            .members
            .heartbeats()
            .filter(|it| it.1.generation < generation)
            .map(|(name, it)| json!({ "instance": name, "generation": it.generation }))
            .collect();
        let suspect: Vec<&str> = self
            .members
            .iter()
            .filter(|it| !self.members.is_alive(&it.name, now))
            .map(|it| &*it.name)
            .collect();
        json!({
            "generation": generation,
            "in_force_ms": now.since(self.moments.adopted).as_millis() as u64,
            "platform_reached_ms": self.sync.last_contact().map(|at| now.since(at).as_millis() as u64),
            "publisher": self.publisher.holds_lease(now),
            "lagging": lagging,
            "suspect": suspect,
        })
    }
}
