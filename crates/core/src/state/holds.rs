//! Holds of engine memory: registers those of this instance with peers, and cancels those of peers
//! that have failed.

use std::time::Duration;

use siskinstile_wire::{
    Body,
    message::hold::{HoldId, Kind, Message, Reserve},
};

use crate::{
    Effect, Instant,
    hold::{
        self, CANCELLED_RETENTION, Entry, FAILURE_TIMEOUT, HOLD_PEERS, Key, LastMessage,
        MAX_CANCELS, PROBE_AGE, PROBE_TIMEOUT, REPEAT_INTERVAL, UNLISTED_FAILURE_TIMEOUT,
    },
    object::Name,
    request::{HoldPeer, Id, Phase},
};

use super::{Fault, State, messages::Sender};

/// Time for which an attempt waits for the acknowledgement of one peer; checked at each tick.
const ACK_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum number of times that a hold is sent to a peer that does not acknowledge it.
const MAX_SENDS: u32 = 20;

impl State {
    /// Registers the hold of an attempt with peers before the attempt takes engine memory.
    ///
    /// The attempt starts as soon as a peer has acknowledged the hold or [`ACK_TIMEOUT`] has
    /// passed, and at once if there is no peer.
    pub(super) fn acquire_hold(&mut self, now: Instant, id: Id) {
        let peers = self.select_hold_peers(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.enter(now, Phase::Holding);
        request.hold_peers = peers.into_iter().map(HoldPeer::new).collect();
        self.send_unacknowledged(id);
        if self.requests.get(&id).is_some_and(|it| it.hold_peers.is_empty()) {
            self.start_steps(now, id);
        }
    }

    /// Returns the peers with which to register the hold of a request, ranked by a hash so that
    /// holds spread over the data centre; draining peers come last.
    fn select_hold_peers(&self, now: Instant, id: Id) -> Vec<Name> {
        if self.has_fault(Fault::SkipHolds) {
            return Vec::new();
        }
        let ranked = self.members.ranked_all(&self.settings.datacentre, &id.to_string());
        let others = ranked.into_iter().map(|it| &it.name);
        let mut candidates: Vec<&Name> =
            others.filter(|name| self.is_reachable_peer(now, name)).collect();
        candidates.sort_by_key(|name| !self.can_keep_hold(now, name));
        candidates.into_iter().take(HOLD_PEERS).cloned().collect()
    }

    fn is_reachable_peer(&self, now: Instant, name: &Name) -> bool {
        *name != self.settings.name && self.holds.is_reachable(now, name)
    }

    fn can_keep_hold(&self, now: Instant, name: &Name) -> bool {
        let leaving = self.members.heartbeat(name).is_some_and(|it| it.leaving);
        !leaving && self.is_reachable_peer(now, name)
    }

    /// Sends the hold of a request to the peers that have not acknowledged it.
    fn send_unacknowledged(&mut self, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(placement) = &request.placement else { return };
        let endpoints = placement.prefill.iter().chain([&placement.run]);
        let reserve = Reserve {
            request: id.0,
            attempt: request.attempt,
            endpoints: endpoints.map(|it| it.name.to_string()).collect(),
        };
        let unacknowledged =
            request.hold_peers.iter_mut().filter(|it| !it.acknowledged && it.sends < MAX_SENDS);
        let peers: Vec<Name> = unacknowledged
            .map(|it| {
                it.sends += 1;
                it.peer.clone()
            })
            .collect();
        for peer in peers {
            self.send_hold(&peer, Kind::Reserve(reserve.clone()));
        }
    }

    /// Notifies peers that an attempt has released its hold.
    pub(super) fn release_hold(&mut self, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let hold = HoldId { request: id.0, attempt: request.attempt };
        for hold_peer in std::mem::take(&mut request.hold_peers) {
            self.send_hold(&hold_peer.peer, Kind::Released(hold));
        }
    }

    fn send_hold(&mut self, to: &str, kind: Kind) {
        self.send(to, Body::Hold(Message { kind: Some(kind) }));
    }

    pub(super) fn handle_hold_message(&mut self, now: Instant, from: &Sender, message: Message) {
        match message.kind {
            Some(Kind::Reserve(reserve)) => self.register_hold(now, from, reserve),
            Some(Kind::Ack(hold)) => self.hold_acknowledged(now, from, hold),
            Some(Kind::Released(hold)) => self.hold_released(from, hold),
            Some(Kind::Probe(hold)) => self.hold_probed(from, hold),
            Some(Kind::Cancelled(hold)) => self.hold_cancelled(now, hold),
            None => {}
        }
    }

    fn register_hold(&mut self, now: Instant, from: &Sender, reserve: Reserve) {
        let hold = HoldId { request: reserve.request, attempt: reserve.attempt };
        let entry = Entry {
            incarnation: from.incarnation,
            endpoints: reserve.endpoints.iter().map(|it| it.as_str().into()).collect(),
            updated_at: now,
            cancels: 0,
        };
        self.holds.entries.entry(key(from, hold)).or_insert(entry);
        self.send_hold(&from.name, Kind::Ack(hold));
    }

    /// Removes a hold that its owner has released.
    ///
    /// Ignored if the sender is another incarnation, which has no record of the holds of the one
    /// before it.
    fn hold_released(&mut self, from: &Sender, hold: HoldId) {
        let key = key(from, hold);
        let entry = self.holds.entries.get(&key);
        if entry.is_some_and(|it| it.incarnation == from.incarnation) {
            self.holds.entries.swap_remove(&key);
        }
    }

    fn hold_acknowledged(&mut self, now: Instant, from: &Sender, hold: HoldId) {
        let id = Id(hold.request);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempt != hold.attempt {
            return;
        }
        let hold_peer = request.hold_peers.iter_mut().find(|it| it.peer == from.name);
        hold_peer.into_iter().for_each(|it| it.acknowledged = true);
        if request.phase == Phase::Holding {
            self.start_steps(now, id);
        }
    }

    /// Answers a probe for a hold; either answer also shows that this instance is running.
    fn hold_probed(&mut self, from: &Sender, hold: HoldId) {
        let held = self.requests.get(&Id(hold.request)).is_some_and(|it| {
            it.attempt == hold.attempt
                && it.hold_peers.iter().any(|hold_peer| hold_peer.peer == from.name)
        });
        let kind = if held { Kind::Ack(hold) } else { Kind::Released(hold) };
        self.send_hold(&from.name, kind);
    }

    /// Ends the attempt whose hold peers cancelled because they considered this instance failed.
    fn hold_cancelled(&mut self, now: Instant, hold: HoldId) {
        let id = Id(hold.request);
        if self.requests.get(&id).is_some_and(|it| it.attempt == hold.attempt && it.is_running()) {
            self.trace.note(now, id, "peers cancelled its hold");
            self.fail_attempt(now, id);
        }
    }

    /// Records a message from an instance, and notifies the instance of its holds that were
    /// cancelled while no message arrived.
    pub(super) fn record_peer_message(&mut self, now: Instant, from: &Sender) {
        self.holds.record_message(
            &from.name,
            LastMessage { received_at: now, incarnation: from.incarnation },
        );
        let was_cancelled = |key: &Key, entry: &Entry| {
            key.owner == from.name && entry.incarnation == from.incarnation && entry.cancels > 0
        };
        let cancelled: Vec<Key> = self
            .holds
            .entries
            .iter()
            .filter(|(key, entry)| was_cancelled(key, entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in cancelled {
            self.holds.entries.swap_remove(&key);
            let hold = HoldId { request: key.request.0, attempt: key.attempt };
            self.send_hold(&from.name, Kind::Cancelled(hold));
        }
    }

    /// Sends unacknowledged holds again and checks the holds of peers.
    pub(super) fn hold_tick(&mut self, now: Instant) {
        self.hold_peer_tick(now);
        let keys: Vec<Key> = self.holds.entries.keys().cloned().collect();
        for key in keys {
            self.check_peer_hold(now, &key);
        }
    }

    fn hold_peer_tick(&mut self, now: Instant) {
        let timed_out =
            |phase: &Phase, since| *phase == Phase::Holding && now.since(since) >= ACK_TIMEOUT;
        let ids: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, it)| !it.hold_peers.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.replace_peers(now, id);
            self.send_unacknowledged(id);
            if self.requests.get(&id).is_some_and(|it| timed_out(&it.phase, it.phase_since)) {
                self.start_steps(now, id);
            }
        }
    }

    /// Adds peers to a hold if one of its peers is draining or unreachable.
    fn replace_peers(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.hold_peers.iter().all(|it| self.can_keep_hold(now, &it.peer)) {
            return;
        }
        let peers = self.select_hold_peers(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let current: Vec<Name> = request.hold_peers.iter().map(|it| it.peer.clone()).collect();
        let added = peers.into_iter().filter(|it| !current.contains(it));
        request.hold_peers.extend(added.map(HoldPeer::new));
        self.release_leaving_peers(now, id);
    }

    /// Releases a hold at draining and unreachable peers once all others have acknowledged it.
    fn release_leaving_peers(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let hold = HoldId { request: id.0, attempt: request.attempt };
        let (staying, leaving): (Vec<HoldPeer>, Vec<HoldPeer>) =
            request.hold_peers.iter().cloned().partition(|it| self.can_keep_hold(now, &it.peer));
        if staying.is_empty() || staying.iter().any(|it| !it.acknowledged) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.hold_peers = staying;
        }
        for hold_peer in leaving {
            self.send_hold(&hold_peer.peer, Kind::Released(hold));
        }
    }

    /// Returns whether a hold of a peer is registered here and not fully cancelled.
    pub(super) fn has_peer_holds(&self) -> bool {
        self.holds.entries.values().any(|it| it.cancels < MAX_CANCELS)
    }

    fn check_peer_hold(&mut self, now: Instant, key: &Key) {
        let Some(entry) = self.holds.entries.get(key) else { return };
        let (cancels, age) = (entry.cancels, now.since(entry.updated_at));
        let message_age = self.holds.time_since_message(now, &key.owner);
        let due = age >= REPEAT_INTERVAL;
        match () {
            () if cancels >= MAX_CANCELS => {
                if age >= CANCELLED_RETENTION {
                    self.holds.entries.swap_remove(key);
                }
            }
            () if cancels > 0 && !due => {}
            () if cancels > 0 || self.is_owner_failed(now, key) => self.cancel_peer_hold(now, key),
            () if message_age >= PROBE_TIMEOUT && due => self.probe_hold(now, key),
            () if age >= PROBE_AGE => self.probe_hold(now, key),
            () => {}
        }
    }

    /// Returns whether the owner of a hold has failed or has been replaced by a newer incarnation.
    fn is_owner_failed(&self, now: Instant, key: &Key) -> bool {
        let Some(entry) = self.holds.entries.get(key) else { return false };
        let record = self.members.get(&key.owner);
        let newest = record.map(|it| it.incarnation).max(self.holds.newest_incarnation(&key.owner));
        let message_age = self.holds.time_since_message(now, &key.owner);
        newest.is_some_and(|it| it > entry.incarnation)
            || message_age >= FAILURE_TIMEOUT
            || (record.is_none() && message_age >= UNLISTED_FAILURE_TIMEOUT)
    }

    fn cancel_peer_hold(&mut self, now: Instant, key: &Key) {
        let config = self.config.clone();
        let Some(entry) = self.holds.entries.get_mut(key) else { return };
        entry.cancels += 1;
        entry.updated_at = now;
        let endpoints = config.pools().flat_map(|pool| &pool.endpoints);
        for endpoint in endpoints.filter(|it| entry.endpoints.contains(&it.name)) {
            let endpoint = endpoint.clone().into();
            let (request, attempt) = (key.request, key.attempt);
            self.effects.push(Effect::Cancel { request, attempt, endpoint });
        }
    }

    fn probe_hold(&mut self, now: Instant, key: &Key) {
        if let Some(entry) = self.holds.entries.get_mut(key) {
            entry.updated_at = now;
        }
        let hold = HoldId { request: key.request.0, attempt: key.attempt };
        self.send_hold(&key.owner.clone(), Kind::Probe(hold));
    }
}

fn key(from: &Sender, hold: HoldId) -> Key {
    hold::Key { owner: from.name.clone(), request: Id(hold.request), attempt: hold.attempt }
}
