//! Heartbeats: inside the data centre each second, between data centres by few instances.

use std::time::Duration;

use siskinstile_wire::{Body, message::member as wire};

use crate::{
    Effect, Instant,
    member::{Heartbeat, Record, Status},
    object::Name,
    store::{Call, Tag},
};

use super::{State, messages::Sender};

/// Time between two heartbeats inside a data centre.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time between two heartbeats to another data centre.
const FAR_HEARTBEAT: Duration = Duration::from_secs(3);
/// Instances of a data centre that speak with other data centres.
const DELEGATES: usize = 2;
/// Instances of another data centre among which heartbeats alternate.
const FAR_TARGETS: usize = 3;
/// Least time between two reads of the platform's list.
const LIST_LEAST: Duration = Duration::from_secs(1);
/// Time that each listed instance adds to it, so that the fleet's reads stay the same at any size.
const LIST_EACH: Duration = Duration::from_millis(100);
/// Word by whose rank delegates are chosen.
const DELEGATE: &str = "delegate";

/// When heartbeats were last sent and the list was last read.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct Times {
    read: Option<Instant>,
    beat: Option<Instant>,
    far_beat: Option<Instant>,
    far_beats: usize,
}

fn due(last: &mut Option<Instant>, now: Instant, period: Duration) -> bool {
    let due = last.is_none_or(|at| now.since(at) >= period);
    if due {
        *last = Some(now);
    }
    due
}

impl State {
    pub(super) fn member_tick(&mut self, now: Instant) {
        self.members.advance(now);
        let listed = self.members.get(&self.settings.name).is_some();
        let size = self.members.iter().count() as u32;
        let period = if listed { LIST_LEAST + LIST_EACH * size } else { LIST_LEAST };
        if due(&mut self.times.read, now, period) {
            self.emit(Effect::Store { tag: Tag::Instances, call: Call::Instances });
        }
        if due(&mut self.times.beat, now, HEARTBEAT) {
            self.beat(now);
        }
        if due(&mut self.times.far_beat, now, FAR_HEARTBEAT) {
            self.beat_far(now);
        }
    }

    /// Returns whether this instance is one of the first for a task of its data centre.
    pub(super) fn is_among_first(&self, task: &str, count: usize) -> bool {
        let ranked = self.members.ranked(&self.settings.datacentre, task);
        let unlisted = !ranked.iter().any(|it| it.name == self.settings.name);
        let first = ranked.iter().take(count).any(|it| it.name == self.settings.name);
        first || unlisted && self.draining.is_none()
    }

    fn heartbeat(&self, now: Instant) -> wire::Heartbeat {
        let own = self.members.get(&self.settings.name);
        let other = |(name_hash, age): (u32, Duration)| wire::PeerAge {
            name_hash,
            age_ms: age.as_millis() as u32,
        };
        wire::Heartbeat {
            generation: self.config.generation,
            leaving: self.draining.is_some(),
            address: own.map_or(String::new(), |it| it.address.to_string()),
            datacentre: self.settings.datacentre.to_string(),
            platform_age_ms: self.sync.last_contact().map(|at| now.since(at).as_millis() as u64),
            peer_ages: self.members.heartbeat_ages().into_iter().map(other).collect(),
        }
    }

    /// Tells the instances of the data centre that this one lives.
    pub(super) fn beat(&mut self, now: Instant) {
        let peers = self.members.heartbeat_targets(&self.settings.datacentre, &self.settings.name);
        self.send_heartbeats(now, &peers);
    }

    /// Tells an instance of each other data centre, if this one is a delegate.
    pub(super) fn beat_far(&mut self, now: Instant) {
        if !self.is_among_first(DELEGATE, DELEGATES) {
            return;
        }
        self.times.far_beats += 1;
        let mut datacentres: Vec<Name> =
            self.members.iter().map(|it| it.datacentre.clone()).collect();
        datacentres.sort_unstable();
        datacentres.dedup();
        datacentres.retain(|it| *it != self.settings.datacentre);
        let turn = self.times.far_beats;
        let target = |datacentre: &Name| {
            let ranked = self.members.ranked(datacentre, DELEGATE);
            let count = ranked.len().clamp(1, FAR_TARGETS);
            ranked.get(turn % count).map(|it| it.name.clone())
        };
        let targets: Vec<Name> = datacentres.iter().filter_map(target).collect();
        self.send_heartbeats(now, &targets);
    }

    fn send_heartbeats(&mut self, now: Instant, to: &[Name]) {
        let beat = self.heartbeat(now);
        let own = self.settings.name.clone();
        for name in to.iter().filter(|it| **it != own) {
            let kind = Some(wire::Kind::Heartbeat(beat.clone()));
            self.send(name, Body::Member(wire::Message { kind }));
        }
    }

    pub(super) fn member_message(&mut self, now: Instant, from: &Sender, message: wire::Message) {
        let Some(wire::Kind::Heartbeat(beat)) = message.kind else { return };
        if !beat.address.is_empty() {
            self.members.record_address(now, record(from, &beat));
        }
        if *beat.datacentre == *self.settings.datacentre {
            let heard = Heartbeat {
                at: now,
                incarnation: from.incarnation,
                generation: beat.generation,
                leaving: beat.leaving,
            };
            self.members.record_heartbeat(&from.name, heard);
            for other in beat.peer_ages {
                let age = Duration::from_millis(other.age_ms.into());
                self.members.record_relayed(other.name_hash, now - age);
            }
        }
        if let Some(age) = beat.platform_age_ms {
            self.sync.record_relayed_contact(now - Duration::from_millis(age));
        }
        let outputs = self.sync.handle_generation(now, &from.name, beat.generation);
        self.apply(now, outputs);
    }
}

fn record(from: &Sender, beat: &wire::Heartbeat) -> Record {
    Record {
        name: from.name.clone(),
        address: beat.address.as_str().into(),
        admin: None,
        datacentre: beat.datacentre.as_str().into(),
        incarnation: from.incarnation,
        state: if beat.leaving { Status::Leaving } else { Status::Live },
    }
}
