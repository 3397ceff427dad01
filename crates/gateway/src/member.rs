//! The instances of the fleet, as heard from their heartbeats.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, Name, name_hash::NameHash};

/// Time without a heartbeat after which a peer of the own data centre is not counted on.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// Heartbeats of another data centre that may be lost before a peer there is not counted on.
const MAX_LOST_HEARTBEATS: f64 = 3.5;
/// Part of the time in which a configuration is to be in force after which an instance that has no
/// answer of the store is not relied on any more; the rest is for those who take over.
const STORE_CONTACT_SHARE: f64 = 0.7;
/// Members of a fleet in which each one follows the store itself.
const SMALL_FLEET: usize = 8;
/// Time without a heartbeat after which what a peer runs is taken to have ended.
const LOAD_EXPIRY: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a peer is no member any more.
const PEER_EXPIRY: Duration = Duration::from_secs(20);

/// What a peer has said of itself.
#[value]
pub struct Peer {
    /// Tells its starts apart.
    pub incarnation: u64,
    /// Name of its data centre.
    pub datacentre: Name,
    /// Number of its last heartbeat.
    pub number: u64,
    /// When its last heartbeat came.
    pub last_heartbeat: Instant,
    /// Time since the platform's store answered it, as of that heartbeat.
    pub store_age: Duration,
    /// Requests that wait there, by service.
    pub waiting: IndexMap<Name, u32>,
    /// Engines that it has ordered to change their stage.
    pub reconfiguring: Vec<Name>,
}

/// The peers that have been heard of.
#[value]
pub struct Table {
    datacentre: Name,
    peers: IndexMap<Name, Peer>,
    /// Time between heartbeats of peers in other data centres.
    remote_interval: Duration,
    /// Members that the platform lists, this instance included.
    listed: usize,
    /// Time since the store's last answer after which an instance is not relied on.
    max_store_age: Duration,
}

/// What has become of a peer.
#[value(eq)]
pub enum Change {
    /// What it runs is taken to have ended.
    Unresponsive(Name),
    /// It is no member any more; its incarnation.
    Expired(Name, u64),
}

impl Table {
    /// Creates the table of an instance in a data centre, where a new configuration is to be in force
    /// everywhere within `propagation`.
    pub fn new(datacentre: Name, propagation: Duration) -> Table {
        Table {
            datacentre,
            peers: IndexMap::new(),
            remote_interval: Duration::ZERO,
            listed: 0,
            max_store_age: propagation.mul_f64(STORE_CONTACT_SHARE),
        }
    }

    /// Sets the time between heartbeats of peers in other data centres.
    pub fn set_remote_interval(&mut self, interval: Duration) {
        self.remote_interval = interval;
    }

    /// Returns the time without a heartbeat after which a peer is not counted on.
    fn timeout(&self, peer: &Peer) -> Duration {
        match peer.datacentre == self.datacentre {
            true => PEER_TIMEOUT,
            false => PEER_TIMEOUT.max(self.remote_interval.mul_f64(MAX_LOST_HEARTBEATS)),
        }
    }

    fn is_peer_reachable(&self, now: Instant, peer: &Peer) -> bool {
        now.since(peer.last_heartbeat) < self.timeout(peer)
    }

    /// Returns whether a peer is heard of.
    pub fn is_reachable(&self, now: Instant, name: &str) -> bool {
        self.peers.get(name).is_some_and(|it| self.is_peer_reachable(now, it))
    }

    /// Takes what a peer says of itself; returns what it replaces.
    pub fn record_heartbeat(&mut self, name: Name, peer: Peer) -> Option<Peer> {
        self.peers.insert(name, peer)
    }

    /// Returns whether a heartbeat is older than one that has been heard of the same start.
    pub fn is_stale(&self, name: &str, incarnation: u64, number: u64) -> bool {
        let newer = |it: &Peer| it.incarnation == incarnation && it.number >= number;
        self.peers.get(name).is_some_and(newer)
    }

    /// Removes a peer that says that it stops.
    pub fn remove(&mut self, name: &str) -> Option<Peer> {
        let peer = self.peers.swap_remove(name)?;
        self.listed = self.listed.saturating_sub(1);
        Some(peer)
    }

    /// Sets the number of members that the platform lists, this instance included.
    pub fn set_listed(&mut self, listed: usize) {
        self.listed = listed;
    }

    /// Returns the number of members, this instance included.
    pub fn len(&self) -> usize {
        (self.peers.len() + 1).max(self.listed)
    }

    /// Returns whether no peer has been heard of.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the peers that are heard of, by name.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = &Name> {
        self.peers
            .iter()
            .filter(move |(_, it)| self.is_peer_reachable(now, it))
            .map(|(name, _)| name)
    }

    /// Returns the part of the members that is heard of, this instance included.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let reachable = self.peers.values().filter(|it| self.is_peer_reachable(now, it)).count();
        (reachable + 1) as f64 / self.len() as f64
    }

    /// Returns whether a data centre has members and none of them is heard of.
    pub fn is_datacentre_unreachable(&self, now: Instant, datacentre: &str) -> bool {
        let mut peers = self.peers.values().filter(|it| &*it.datacentre == datacentre).peekable();
        peers.peek().is_some() && peers.all(|it| !self.is_peer_reachable(now, it))
    }

    /// Returns the requests that wait for a service at peers.
    pub fn waiting(&self, now: Instant, service: &str) -> u32 {
        let reachable = self.peers.values().filter(|it| self.is_peer_reachable(now, it));
        reachable.filter_map(|it| it.waiting.get(service)).sum()
    }

    /// Returns whether the fleet is so large that only some instances follow the platform's store.
    pub fn is_large(&self) -> bool {
        self.len() > SMALL_FLEET
    }

    /// Returns how many others go before an instance in following the platform's store, or none if it
    /// need not follow.
    ///
    /// In a large fleet the first by the hash of its name among those heard in each data centre follows, and hands on
    /// what it learns. Where nobody there is in contact with the store, the others try as well, one
    /// after the other.
    pub fn follow_rank(&self, now: Instant, own: &str, datacentre: &str) -> Option<u32> {
        if !self.is_large() {
            return Some(0);
        }
        let local = || {
            let reachable = self.peers.iter().filter(|(_, it)| self.is_peer_reachable(now, it));
            reachable.filter(|(_, it)| &*it.datacentre == datacentre)
        };
        let earlier =
            local().filter(|(name, _)| NameHash::of(name) < NameHash::of(own)).count() as u32;
        let has_store_contact =
            |it: &Peer| it.store_age + now.since(it.last_heartbeat) < self.max_store_age;
        match earlier {
            0 => Some(0),
            _ if local().any(|(_, it)| has_store_contact(it)) => None,
            _ => Some(earlier - 1),
        }
    }

    /// Returns the engines that peers have ordered to change their stage.
    pub fn reconfiguring(&self) -> impl Iterator<Item = &Name> {
        self.peers.values().flat_map(|it| &it.reconfiguring)
    }

    /// Returns what has become of silent peers since the last call, a time `before` ago.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        self.peers.retain(|name, peer| match now.since(peer.last_heartbeat) {
            silence if silence >= PEER_EXPIRY => {
                changes.push(Change::Expired(name.clone(), peer.incarnation));
                false
            }
            silence => {
                if silence >= LOAD_EXPIRY {
                    changes.push(Change::Unresponsive(name.clone()));
                }
                true
            }
        });
        changes
    }
}
