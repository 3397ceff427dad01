//! Configuration: publication, adoption, readiness and the status report.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use siskinstile_wire::{Body, message::config as wire};

use crate::{
    Config, Effect, Instant, log,
    store::{Answer, Tag},
    sync,
};

use super::{State, messages::Sender};

/// Number of instances of a data centre that watch the manifest.
const WATCHERS: usize = 2;
/// Rendezvous key by which the watchers are selected.
const WATCHER: &str = "watcher";
/// Number of instances of the fleet that try to acquire the publish lease.
const CANDIDATES: usize = 2;
/// Rendezvous key by which the candidates are selected.
const PUBLISHER: &str = "publisher";
/// Time after which a new instance becomes ready although it cannot confirm with the platform and
/// its peers that its configuration is the newest.
const CONFIG_WAIT: Duration = Duration::from_secs(5);
/// Time after which a new instance becomes ready without knowing the participants, which hold the
/// shares of the teams' rates.
const PARTICIPANTS_WAIT: Duration = Duration::from_secs(12);

/// The start and readiness of this instance and the time of the last adoption.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct Lifecycle {
    started_at: Option<Instant>,
    adopted_at: Instant,
    ready: bool,
}

impl State {
    pub(super) fn start(&mut self) {
        self.log(log::STARTED, self.settings.name.to_string());
        let outputs = self.sync.tick(Instant::default(), false);
        self.apply(Instant::default(), outputs);
    }

    pub(super) fn control_tick(&mut self, now: Instant) {
        self.lifecycle.started_at.get_or_insert(now);
        self.member_tick(now);
        let watcher = self.is_among_first(WATCHER, WATCHERS);
        let outputs = self.sync.tick(now, watcher);
        self.apply(now, outputs);
        let outputs = match self.draining_since {
            Some(_) => self.publisher.release(now),
            None => self.publisher.tick(now, self.is_candidate()),
        };
        self.apply(now, outputs);
        self.update_readiness(now);
    }

    /// Passes the platform's answer on to the component that made the call.
    pub(super) fn handle_store_answer(&mut self, now: Instant, tag: Tag, answer: Answer) {
        if answer != Answer::Lost {
            self.sync.record_contact(now);
        }
        match (tag, answer) {
            (Tag::Claim(id), answer) => self.claim_written(now, id, answer),
            (Tag::ReadClaim(id), answer) => self.claim_read(now, id, answer),
            (Tag::RecordOutcome(id), answer) => self.outcome_answered(now, id, answer),
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

    /// Returns whether this instance should try to acquire the publish lease.
    fn is_candidate(&self) -> bool {
        let mut members: Vec<_> =
            self.members.iter().filter(|it| self.members.accepts_work(it)).collect();
        members
            .sort_by_cached_key(|it| std::cmp::Reverse(crate::member::rank(&it.name, PUBLISHER)));
        members.iter().take(CANDIDATES).any(|it| it.name == self.settings.name)
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
                    self.lifecycle.adopted_at = now;
                    self.emit(Effect::Adopt(self.config.clone()));
                    self.fail_revoked(now);
                    self.update_readiness(now);
                    self.send_local_heartbeats(now);
                    self.send_remote_heartbeats(now);
                }
            }
        }
    }

    /// Returns whether `time` has passed since the first tick.
    fn has_waited(&self, now: Instant, time: Duration) -> bool {
        self.lifecycle.started_at.is_some_and(|at| now.since(at) >= time)
    }

    /// Becomes ready once the configuration is as new as the platform's and the peers', or
    /// [`CONFIG_WAIT`] has passed, and the participants are known or [`PARTICIPANTS_WAIT`] has
    /// passed. An instance that is draining or has no configuration does not become ready.
    fn update_readiness(&mut self, now: Instant) {
        let waited = self.has_waited(now, CONFIG_WAIT);
        let generation = self.config.generation;
        let behind = self.members.heartbeats().any(|it| it.1.generation > generation);
        let current = self.sync.is_current() && !behind;
        let participants_ready = !self.limiter.table().participants.is_empty()
            || self.has_waited(now, PARTICIPANTS_WAIT);
        let ready = self.draining_since.is_none()
            && generation > 0
            && (current || waited)
            && participants_ready;
        if ready && !self.lifecycle.ready {
            self.lifecycle.ready = true;
            self.emit(Effect::Ready(true));
        }
    }

    pub(super) fn handle_config_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: wire::Message,
    ) {
        let Some(kind) = message.kind else { return };
        let outputs = self.sync.handle_message(now, &from.name, kind);
        self.apply(now, outputs);
    }

    /// Returns the part of the status report on the configuration and the members.
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
            "in_force_ms": now.since(self.lifecycle.adopted_at).as_millis() as u64,
            "platform_reached_ms":
                self.sync.last_contact().map(|at| now.since(at).as_millis() as u64),
            "publisher": self.publisher.holds_lease(now),
            "lagging": lagging,
            "suspect": suspect,
        })
    }
}
