//! Configuration and members.

use std::time::Duration;

use siskinstile_wire::{
    Body,
    message::{config as wire_config, member as wire_member},
};

use crate::{
    Effect, Instant, log,
    member::Heard,
    object::Name,
    store::{Answer, Call, Tag},
    sync,
};

use super::{State, messages::Sender};

/// Time between two reads of the platform's list of instances.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// What the instance with the first rank for this word does is publish.
const PUBLISHER: &str = "publisher";

impl State {
    pub(super) fn start(&mut self) {
        self.log(log::STARTED, self.settings.name.to_string());
        let outputs = self.sync.start();
        self.apply(outputs);
    }

    pub(super) fn control_tick(&mut self, now: Instant) {
        let due = self.members_read.is_none_or(|at| now.since(at) >= MEMBERS_INTERVAL);
        if due {
            self.members_read = Some(now);
            self.emit(Effect::Store { tag: Tag::Instances, call: Call::Instances });
            self.beat();
        }
    }

    pub(super) fn stored(&mut self, now: Instant, tag: Tag, answer: Answer) {
        match (tag, answer) {
            (Tag::Claim(id), answer) => self.claim_written(now, id, answer),
            (Tag::ReadClaim(id), answer) => self.claim_read(now, id, answer),
            (Tag::Settle(_) | Tag::Status, _) => {}
            (Tag::Instances, Answer::Instances(records)) => {
                let led = self.leads();
                self.members.replace(records);
                if !led && self.leads() {
                    let outputs = self.sync.publish();
                    self.apply(outputs);
                }
            }
            (Tag::Instances, _) => {}
            (Tag::Seats, answer) => self.seats_answered(now, answer),
            (tag, answer) => {
                let leads = self.leads();
                let outputs = self.sync.stored(&tag, answer, leads);
                self.apply(outputs);
            }
        }
    }

    /// Returns whether this instance publishes; two for a while do no harm, since the manifest
    /// changes by conditional update only.
    fn leads(&self) -> bool {
        let mut live: Vec<_> = self.members.iter().collect();
        live.sort_by_key(|it| crate::member::rank(&it.name, PUBLISHER));
        live.last().is_some_and(|it| it.name == self.settings.name)
    }

    fn apply(&mut self, outputs: Vec<sync::Output>) {
        for output in outputs {
            match output {
                sync::Output::Call(tag, call) => self.emit(Effect::Store { tag, call }),
                sync::Output::Log(record) => self.emit(Effect::Log(record)),
                sync::Output::Adopt(config) => {
                    self.log(log::CONFIG_ADOPTED, format!("generation {}", config.generation));
                    self.config = config;
                    self.emit(Effect::Adopt(self.config.clone()));
                    self.emit(Effect::Ready(self.draining.is_none()));
                }
            }
        }
    }

    /// Tells the other instances of the data centre that this one lives.
    fn beat(&mut self) {
        let beat = wire_member::Heartbeat {
            generation: self.config.generation,
            leaving: self.draining.is_some(),
        };
        let own = self.settings.name.clone();
        let peers: Vec<Name> = self
            .members
            .ranked(&self.settings.datacentre, "")
            .into_iter()
            .map(|it| it.name.clone())
            .filter(|name| *name != own)
            .collect();
        for peer in peers {
            let kind = Some(wire_member::Kind::Heartbeat(beat.clone()));
            self.send(&peer, Body::Member(wire_member::Message { kind }));
        }
    }

    pub(super) fn member_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: wire_member::Message,
    ) {
        let Some(wire_member::Kind::Heartbeat(beat)) = message.kind else { return };
        let heard = Heard {
            at: now,
            incarnation: from.incarnation,
            generation: beat.generation,
            leaving: beat.leaving,
        };
        self.members.hear(&from.name, heard);
    }

    /// The configuration is not handed over among instances yet.
    pub(super) fn config_message(
        &mut self,
        _now: Instant,
        _from: &Sender,
        _message: wire_config::Message,
    ) {
    }
}
