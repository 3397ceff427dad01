//! Holds: engine memory of this instance, told to peers, and of peers, cancelled when they are gone.

use std::time::Duration;

use siskinstile_wire::{
    Body,
    message::hold::{HoldId, Kind, Message, Reserve},
};

use crate::{
    Effect, Instant,
    hold::{
        self, ASK_AGE, CANCELS, Entry, GONE_SILENCE, Heard, Key, PEERS, PROBE_SILENCE, REMEMBERED,
        REPEAT, UNLISTED_SILENCE,
    },
    object::Name,
    request::{HoldPeer, Id, Phase},
};

use super::{Fault, State, messages::Sender};

/// Time for which an attempt waits for one of its peers; checked at each tick.
const TELL_WAIT: Duration = Duration::from_millis(5);
/// Times that a peer is told again.
const TELL_TRIES: u32 = 20;

impl State {
    /// Tells two peers of an attempt that is about to take engine memory, then starts it.
    pub(super) fn take_hold(&mut self, now: Instant, id: Id) {
        let peers = self.hold_peers(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.enter(now, Phase::Holding);
        request.hold_peers = peers.into_iter().map(HoldPeer::new).collect();
        self.tell(id);
        if self.requests.get(&id).is_some_and(|it| it.hold_peers.is_empty()) {
            self.start_steps(now, id);
        }
    }

    /// Returns the peers for a request, spread over the data centre; leaving ones come last.
    fn hold_peers(&self, now: Instant, id: Id) -> Vec<Name> {
        if self.has_fault(Fault::SkipHolds) {
            return Vec::new();
        }
        let ranked = self.members.ranked_all(&self.settings.datacentre, &id.to_string());
        let others = ranked.into_iter().map(|it| &it.name);
        let mut near: Vec<&Name> = others.filter(|name| self.is_peer(now, name)).collect();
        near.sort_by_key(|name| !self.may_keep(now, name));
        near.into_iter().take(PEERS).cloned().collect()
    }

    fn is_peer(&self, now: Instant, name: &Name) -> bool {
        *name != self.settings.name && self.holds.is_near(now, name)
    }

    fn may_keep(&self, now: Instant, name: &Name) -> bool {
        let leaving = self.members.heartbeat(name).is_some_and(|it| it.leaving);
        !leaving && self.is_peer(now, name)
    }

    /// Tells the peers that have not answered yet.
    fn tell(&mut self, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(placement) = &request.placement else { return };
        let endpoints = placement.prefill.iter().chain([&placement.run]);
        let take = Reserve {
            request: id.0,
            attempt: request.attempt,
            endpoints: endpoints.map(|it| it.name.to_string()).collect(),
        };
        let silent = request.hold_peers.iter_mut().filter(|it| !it.acked && it.tries < TELL_TRIES);
        let peers: Vec<Name> = silent
            .map(|it| {
                it.tries += 1;
                it.peer.clone()
            })
            .collect();
        for peer in peers {
            self.send_hold(&peer, Kind::Reserve(take.clone()));
        }
    }

    /// Tells the peers of an attempt that it holds nothing any more.
    pub(super) fn drop_hold(&mut self, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let named = HoldId { request: id.0, attempt: request.attempt };
        for told in std::mem::take(&mut request.hold_peers) {
            self.send_hold(&told.peer, Kind::Released(named));
        }
    }

    fn send_hold(&mut self, to: &str, kind: Kind) {
        self.send(to, Body::Hold(Message { kind: Some(kind) }));
    }

    pub(super) fn hold_message(&mut self, now: Instant, from: &Sender, message: Message) {
        match message.kind {
            Some(Kind::Reserve(take)) => self.note_hold(now, from, take),
            Some(Kind::Ack(named)) => self.hold_noted(now, from, named),
            Some(Kind::Released(named)) => self.hold_gone(from, named),
            Some(Kind::Probe(named)) => self.hold_asked(from, named),
            Some(Kind::Cancelled(named)) => self.hold_cancelled(now, named),
            None => {}
        }
    }

    fn note_hold(&mut self, now: Instant, from: &Sender, take: Reserve) {
        let named = HoldId { request: take.request, attempt: take.attempt };
        let entry = Entry {
            incarnation: from.incarnation,
            endpoints: take.endpoints.iter().map(|it| it.as_str().into()).collect(),
            at: now,
            cancels: 0,
        };
        self.holds.entries.entry(key(from, named)).or_insert(entry);
        self.send_hold(&from.name, Kind::Ack(named));
    }

    /// A hold has ended; a later incarnation knows nothing of the holds of the one before it.
    fn hold_gone(&mut self, from: &Sender, named: HoldId) {
        let key = key(from, named);
        let entry = self.holds.entries.get(&key);
        if entry.is_some_and(|it| it.incarnation == from.incarnation) {
            self.holds.entries.swap_remove(&key);
        }
    }

    fn hold_noted(&mut self, now: Instant, from: &Sender, named: HoldId) {
        let id = Id(named.request);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempt != named.attempt {
            return;
        }
        let told = request.hold_peers.iter_mut().find(|it| it.peer == from.name);
        told.into_iter().for_each(|it| it.acked = true);
        if request.phase == Phase::Holding {
            self.start_steps(now, id);
        }
    }

    /// A peer asks whether a hold is still there; any answer also shows that this instance lives.
    fn hold_asked(&mut self, from: &Sender, named: HoldId) {
        let held = self.requests.get(&Id(named.request)).is_some_and(|it| {
            it.attempt == named.attempt && it.hold_peers.iter().any(|told| told.peer == from.name)
        });
        let kind = if held { Kind::Ack(named) } else { Kind::Released(named) };
        self.send_hold(&from.name, kind);
    }

    /// Peers took this instance for gone and cancelled what it held: the attempt is over.
    fn hold_cancelled(&mut self, now: Instant, named: HoldId) {
        let id = Id(named.request);
        if self.requests.get(&id).is_some_and(|it| it.attempt == named.attempt && it.is_running()) {
            self.trace.note(now, id, "peers cancelled its hold");
            self.lost(now, id);
        }
    }

    /// Notes that an instance lives, and tells it of the holds that were cancelled meanwhile.
    pub(super) fn hold_heard(&mut self, now: Instant, from: &Sender) {
        self.holds.hear(&from.name, Heard { at: now, incarnation: from.incarnation });
        let back = |key: &Key, entry: &Entry| {
            key.owner == from.name && entry.incarnation == from.incarnation && entry.cancels > 0
        };
        let cancelled: Vec<Key> = self
            .holds
            .entries
            .iter()
            .filter(|(key, entry)| back(key, entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in cancelled {
            self.holds.entries.swap_remove(&key);
            let named = HoldId { request: key.request.0, attempt: key.attempt };
            self.send_hold(&from.name, Kind::Cancelled(named));
        }
    }

    /// Does what the keeping of holds does from time to time.
    pub(super) fn hold_tick(&mut self, now: Instant) {
        self.tell_again(now);
        let keys: Vec<Key> = self.holds.entries.keys().cloned().collect();
        for key in keys {
            self.watch_hold(now, &key);
        }
    }

    fn tell_again(&mut self, now: Instant) {
        let waiting =
            |phase: &Phase, since| *phase == Phase::Holding && now.since(since) >= TELL_WAIT;
        let ids: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, it)| !it.hold_peers.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.replace_peers(now, id);
            self.tell(id);
            if self.requests.get(&id).is_some_and(|it| waiting(&it.phase, it.phase_since)) {
                self.start_steps(now, id);
            }
        }
    }

    /// Tells another peer in place of one that has left.
    fn replace_peers(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.hold_peers.iter().all(|it| self.may_keep(now, &it.peer)) {
            return;
        }
        let peers = self.hold_peers(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let known: Vec<Name> = request.hold_peers.iter().map(|it| it.peer.clone()).collect();
        let new = peers.into_iter().filter(|it| !known.contains(it));
        request.hold_peers.extend(new.map(HoldPeer::new));
        self.release_peers(now, id);
    }

    /// Tells peers that are leaving to forget a hold which others have noted.
    fn release_peers(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get(&id) else { return };
        let named = HoldId { request: id.0, attempt: request.attempt };
        let (stay, leave): (Vec<HoldPeer>, Vec<HoldPeer>) =
            request.hold_peers.iter().cloned().partition(|it| self.may_keep(now, &it.peer));
        if stay.is_empty() || stay.iter().any(|it| !it.acked) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.hold_peers = stay;
        }
        for told in leave {
            self.send_hold(&told.peer, Kind::Released(named));
        }
    }

    /// Returns whether a hold of a peer is noted here that is not cancelled.
    pub(super) fn keeps_holds(&self) -> bool {
        self.holds.entries.values().any(|it| it.cancels < CANCELS)
    }

    fn watch_hold(&mut self, now: Instant, key: &Key) {
        let Some(entry) = self.holds.entries.get(key) else { return };
        let (cancels, age) = (entry.cancels, now.since(entry.at));
        let silence = self.holds.silence(now, &key.owner);
        let due = age >= REPEAT;
        match () {
            () if cancels >= CANCELS => {
                if age >= REMEMBERED {
                    self.holds.entries.swap_remove(key);
                }
            }
            () if cancels > 0 && !due => {}
            () if cancels > 0 || self.is_gone(now, key) => self.cancel_hold(now, key),
            () if silence >= PROBE_SILENCE && due => self.ask_hold(now, key),
            () if age >= ASK_AGE => self.ask_hold(now, key),
            () => {}
        }
    }

    /// Returns whether the instance that held this is gone, or another incarnation runs.
    fn is_gone(&self, now: Instant, key: &Key) -> bool {
        let Some(entry) = self.holds.entries.get(key) else { return false };
        let record = self.members.get(&key.owner);
        let newest = record.map(|it| it.incarnation).max(self.holds.incarnation(&key.owner));
        let silence = self.holds.silence(now, &key.owner);
        newest.is_some_and(|it| it > entry.incarnation)
            || silence >= GONE_SILENCE
            || (record.is_none() && silence >= UNLISTED_SILENCE)
    }

    fn cancel_hold(&mut self, now: Instant, key: &Key) {
        let config = self.config.clone();
        let Some(entry) = self.holds.entries.get_mut(key) else { return };
        entry.cancels += 1;
        entry.at = now;
        let all = config.pools().flat_map(|pool| &pool.endpoints);
        for endpoint in all.filter(|it| entry.endpoints.contains(&it.name)) {
            let endpoint = endpoint.clone().into();
            let (request, attempt) = (key.request, key.attempt);
            self.effects.push(Effect::Cancel { request, attempt, endpoint });
        }
    }

    fn ask_hold(&mut self, now: Instant, key: &Key) {
        if let Some(entry) = self.holds.entries.get_mut(key) {
            entry.at = now;
        }
        let named = HoldId { request: key.request.0, attempt: key.attempt };
        self.send_hold(&key.owner.clone(), Kind::Probe(named));
    }
}

fn key(from: &Sender, named: HoldId) -> Key {
    hold::Key { owner: from.name.clone(), request: Id(named.request), attempt: named.attempt }
}
