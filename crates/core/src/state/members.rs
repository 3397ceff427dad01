//! Heartbeats: every second within the data centre; to other data centres from a few delegates.

use std::time::Duration;

use siskinstile_wire::{Body, message::member as wire};

use crate::{
    Effect, Instant,
    member::{Heartbeat, Record, Status},
    object::Name,
    store::{Call, Tag},
};

use super::{State, messages::Sender};

/// Interval between heartbeats within a data centre.
const LOCAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between heartbeats to other data centres.
const REMOTE_INTERVAL: Duration = Duration::from_secs(3);
/// Number of instances of a data centre that send heartbeats to other data centres.
const DELEGATES: usize = 2;
/// Number of instances of another data centre among which the heartbeats to it alternate.
const REMOTE_TARGETS: usize = 3;
/// Minimum interval between reads of the platform's instance list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Increase of that interval per listed instance, which keeps the fleet's total rate of reads
/// independent of its size.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(100);
/// Rendezvous key by which the delegates are selected.
const DELEGATE: &str = "delegate";

/// Times of the last heartbeats and of the last read of the instance list.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct Schedule {
    last_list: Option<Instant>,
    last_local: Option<Instant>,
    last_remote: Option<Instant>,
    /// Number of rounds of heartbeats to other data centres.
    remote_rounds: usize,
}

/// Returns whether an action is due at `now`, and if so sets the time of the last one to `now`.
fn take_due(last: &mut Option<Instant>, now: Instant, interval: Duration) -> bool {
    let due = last.is_none_or(|at| now.since(at) >= interval);
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
        let interval = if listed {
            MIN_LIST_INTERVAL + LIST_INTERVAL_PER_INSTANCE * size
        } else {
            MIN_LIST_INTERVAL
        };
        if take_due(&mut self.schedule.last_list, now, interval) {
            self.emit(Effect::Store { tag: Tag::Instances, call: Call::Instances });
        }
        if take_due(&mut self.schedule.last_local, now, LOCAL_INTERVAL) {
            self.send_local_heartbeats(now);
        }
        if take_due(&mut self.schedule.last_remote, now, REMOTE_INTERVAL) {
            self.send_remote_heartbeats(now);
        }
    }

    /// Returns whether this instance is among the `count` highest-ranked ones of its data centre
    /// for a task.
    ///
    /// If this instance is not in the ranking yet, it is assumed to be one of them unless it is
    /// draining.
    pub(super) fn is_among_first(&self, task: &str, count: usize) -> bool {
        let ranked = self.members.ranked(&self.settings.datacentre, task);
        let unlisted = !ranked.iter().any(|it| it.name == self.settings.name);
        let selected = ranked.iter().take(count).any(|it| it.name == self.settings.name);
        selected || unlisted && self.draining_since.is_none()
    }

    fn heartbeat(&self, now: Instant) -> wire::Heartbeat {
        let own = self.members.get(&self.settings.name);
        let peer_age = |(name_hash, age): (u32, Duration)| wire::PeerAge {
            name_hash,
            age_ms: age.as_millis() as u32,
        };
        wire::Heartbeat {
            generation: self.config.generation,
            leaving: self.draining_since.is_some(),
            address: own.map_or(String::new(), |it| it.address.to_string()),
            datacentre: self.settings.datacentre.to_string(),
            platform_age_ms: self.sync.last_contact().map(|at| now.since(at).as_millis() as u64),
            peer_ages: self.members.heartbeat_ages().into_iter().map(peer_age).collect(),
            suspects: self.sent_suspects(now),
        }
    }

    /// Sends a heartbeat to the instances of the own data centre that are this one's targets.
    pub(super) fn send_local_heartbeats(&mut self, now: Instant) {
        let peers = self.members.heartbeat_targets(&self.settings.datacentre, &self.settings.name);
        self.send_heartbeats(now, &peers);
    }

    /// Sends a heartbeat to one instance of each other data centre if this instance is a delegate.
    pub(super) fn send_remote_heartbeats(&mut self, now: Instant) {
        if !self.is_among_first(DELEGATE, DELEGATES) {
            return;
        }
        self.schedule.remote_rounds += 1;
        let mut datacentres: Vec<Name> =
            self.members.iter().map(|it| it.datacentre.clone()).collect();
        datacentres.sort_unstable();
        datacentres.dedup();
        datacentres.retain(|it| *it != self.settings.datacentre);
        let round = self.schedule.remote_rounds;
        let target = |datacentre: &Name| {
            let ranked = self.members.ranked(datacentre, DELEGATE);
            let count = ranked.len().clamp(1, REMOTE_TARGETS);
            ranked.get(round % count).map(|it| it.name.clone())
        };
        let targets: Vec<Name> = datacentres.iter().filter_map(target).collect();
        self.send_heartbeats(now, &targets);
    }

    fn send_heartbeats(&mut self, now: Instant, to: &[Name]) {
        let heartbeat = self.heartbeat(now);
        let own = self.settings.name.clone();
        for name in to.iter().filter(|it| **it != own) {
            let kind = Some(wire::Kind::Heartbeat(heartbeat.clone()));
            self.send(name, Body::Member(wire::Message { kind }));
        }
    }

    pub(super) fn handle_member_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: wire::Message,
    ) {
        let Some(wire::Kind::Heartbeat(heartbeat)) = message.kind else { return };
        if !heartbeat.address.is_empty() {
            self.members.record_address(now, record(from, &heartbeat));
        }
        if *heartbeat.datacentre == *self.settings.datacentre {
            let received = Heartbeat {
                received_at: now,
                incarnation: from.incarnation,
                generation: heartbeat.generation,
                leaving: heartbeat.leaving,
            };
            self.members.record_heartbeat(&from.name, received);
            for peer in heartbeat.peer_ages {
                let age = Duration::from_millis(peer.age_ms.into());
                self.members.record_relayed(peer.name_hash, now - age);
            }
        }
        self.record_suspects(now, &heartbeat.suspects);
        if let Some(age) = heartbeat.platform_age_ms {
            self.sync.record_relayed_contact(now - Duration::from_millis(age));
        }
        let outputs = self.sync.handle_generation(now, &from.name, heartbeat.generation);
        self.apply(now, outputs);
    }
}

/// Returns the membership record that a heartbeat announces.
fn record(from: &Sender, heartbeat: &wire::Heartbeat) -> Record {
    Record {
        name: from.name.clone(),
        address: heartbeat.address.as_str().into(),
        admin: None,
        datacentre: heartbeat.datacentre.as_str().into(),
        incarnation: from.incarnation,
        state: if heartbeat.leaving { Status::Leaving } else { Status::Live },
    }
}
