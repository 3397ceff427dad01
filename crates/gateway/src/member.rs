//! Membership of the fleet: which instances are reachable, from their heartbeats.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, Name, name_hash::NameHash};

/// Time without a heartbeat after which a peer in the own data centre is considered unreachable.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// Heartbeat intervals that may pass without a heartbeat before a peer in another data centre is
/// considered unreachable.
const MAX_LOST_HEARTBEATS: f64 = 3.5;
/// Share of the time within which all must know a change that an instance may be without an answer of the
/// store before others stop relying on it; the remainder is left for those that take over.
const STORE_CONTACT_SHARE: f64 = 0.7;
/// Maximum number of members of a fleet in which each one follows the store itself.
const SMALL_FLEET: usize = 8;
/// Maximum number of members of a fleet in which each one sends heartbeats to all others.
const DIRECT_FLEET: usize = 32;
/// Time without a heartbeat after which the requests of a peer are considered ended.
const LOAD_EXPIRY: Duration = Duration::from_secs(3);
/// Age after which the sums of a data centre are not used any more.
const GROUP_EXPIRY: Duration = Duration::from_secs(5);
/// Time without a heartbeat after which a peer is removed from the members.
const PEER_EXPIRY: Duration = Duration::from_secs(20);

/// Time since the last answer of the store at a peer that has none or none any more.
pub const NEVER: Duration = Duration::from_millis(u32::MAX as u64);

/// State of a peer as of its last heartbeat.
#[value]
pub struct Peer {
    /// Differs between starts of the peer.
    pub incarnation: u64,
    /// Data centre that it runs in.
    pub datacentre: Name,
    /// Number of its last heartbeat.
    pub number: u64,
    /// When its last heartbeat arrived.
    pub last_heartbeat: Instant,
    /// Time since it last got an answer from the platform's store, as of that heartbeat.
    pub store_age: Duration,
    /// Whether it reaches no endpoint.
    pub cut_off: bool,
    /// Requests in its queue, by service.
    pub waiting: IndexMap<Name, u32>,
    /// Engines that it has ordered to change their stage and that have not done so yet.
    pub reconfiguring: Vec<Name>,
}

impl Peer {
    /// Returns whether the platform's store answers the peer, as far as it has told.
    pub fn has_store_contact(&self) -> bool {
        self.store_age < NEVER
    }
}

/// Queues and orders of the members in one data centre, as a relay has summed them up.
#[value]
pub struct Group {
    /// When the relay summed them up.
    pub summed_at: Instant,
    /// Requests in their queues, by service.
    pub waiting: IndexMap<Name, u32>,
    /// Engines that they have ordered to change their stage and that have not done so yet.
    pub reconfiguring: Vec<Name>,
}

/// The peers from which heartbeats have arrived.
#[value]
pub struct Table {
    datacentre: Name,
    peers: IndexMap<Name, Peer>,
    groups: IndexMap<Name, Group>,
    /// Times between heartbeats of peers in the own and in other data centres.
    intervals: (Duration, Duration),
    /// Members that the platform lists, this instance included, each with its data centre.
    listed: IndexMap<Name, Name>,
    /// Maximum time since the store's last answer for which others rely on an instance.
    max_store_age: Duration,
}

/// A change of a peer's state due to missing heartbeats.
#[value(eq)]
pub enum Change {
    /// The requests of this peer are considered ended.
    Unresponsive(Name),
    /// The peer with this name and incarnation has been removed from the members.
    Expired(Name, u64),
}

impl Table {
    /// Creates an empty table for an instance in `datacentre`; a change on the store must be known
    /// at all instances within `propagation`.
    pub fn new(datacentre: Name, propagation: Duration) -> Table {
        Table {
            datacentre,
            peers: IndexMap::new(),
            groups: IndexMap::new(),
            intervals: (Duration::ZERO, Duration::ZERO),
            listed: IndexMap::new(),
            max_store_age: propagation.mul_f64(STORE_CONTACT_SHARE),
        }
    }

    /// Sets the times between heartbeats of peers in the own and in other data centres.
    pub fn set_intervals(&mut self, local: Duration, remote: Duration) {
        self.intervals = (local, remote);
    }

    /// Returns the time without a heartbeat after which a peer is considered unreachable.
    fn timeout(&self, peer: &Peer) -> Duration {
        let (local, remote) = self.intervals;
        let interval = if peer.datacentre == self.datacentre { local } else { remote };
        PEER_TIMEOUT.max(interval.mul_f64(MAX_LOST_HEARTBEATS))
    }

    fn is_peer_reachable(&self, now: Instant, peer: &Peer) -> bool {
        now.since(peer.last_heartbeat) < self.timeout(peer)
    }

    /// Returns whether a peer is reachable: known, with a recent heartbeat.
    pub fn is_reachable(&self, now: Instant, name: &str) -> bool {
        self.peers.get(name).is_some_and(|it| self.is_peer_reachable(now, it))
    }

    /// Records the state from a peer's heartbeat; returns the state that it replaces.
    pub fn record_heartbeat(&mut self, name: Name, peer: Peer) -> Option<Peer> {
        self.peers.insert(name, peer)
    }

    /// Returns whether a heartbeat is no newer than the last one of the same incarnation.
    pub fn is_stale(&self, name: &str, incarnation: u64, number: u64) -> bool {
        let is_up_to_date = |it: &Peer| it.incarnation == incarnation && it.number >= number;
        self.peers.get(name).is_some_and(is_up_to_date)
    }

    /// Removes a peer that has announced its stop.
    pub fn remove(&mut self, name: &str) -> Option<Peer> {
        let peer = self.peers.swap_remove(name)?;
        self.listed.swap_remove(name);
        Some(peer)
    }

    /// Sets the members that the platform lists, this instance included, each with its data centre.
    pub fn set_listed(&mut self, listed: Vec<(Name, Name)>) {
        self.listed = listed.into_iter().collect();
    }

    /// Returns the names of the members that are known or that the platform lists.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.peers.keys().chain(self.listed.keys())
    }

    /// Returns whether the platform's list of members has been read.
    pub fn is_listed(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Returns a peer.
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns a peer, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    /// Returns the known peers of a data centre.
    pub fn peers_in(&self, datacentre: &str) -> impl Iterator<Item = (&Name, &Peer)> {
        self.peers.iter().filter(move |(_, it)| *it.datacentre == *datacentre)
    }

    /// Returns the listed members of a data centre from which no heartbeat has arrived yet.
    pub fn unheard_in(&self, datacentre: &str) -> impl Iterator<Item = &Name> {
        let listed = self.listed.iter().filter(move |(_, it)| ***it == *datacentre);
        listed.map(|(name, _)| name).filter(|it| !self.peers.contains_key(*it))
    }

    /// Returns the other data centres that have members.
    pub fn other_datacentres(&self) -> Vec<Name> {
        let known = self.peers.values().map(|it| &it.datacentre).chain(self.listed.values());
        let mut others: Vec<Name> = known.filter(|it| **it != self.datacentre).cloned().collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Records what a relay has summed up for a data centre.
    pub fn set_group(&mut self, datacentre: Name, group: Group) {
        self.groups.insert(datacentre, group);
    }

    /// Removes the sums of a data centre.
    pub fn remove_group(&mut self, datacentre: &str) {
        self.groups.swap_remove(datacentre);
    }

    /// Removes and returns the data centres whose sums are too old to be used.
    pub fn expire_groups(&mut self, now: Instant) -> Vec<Name> {
        let is_old = |it: &Group| now.since(it.summed_at) >= GROUP_EXPIRY;
        let old = self.groups.iter().filter(|(_, it)| is_old(it)).map(|(name, _)| name.clone());
        let old: Vec<Name> = old.collect();
        old.iter().for_each(|it| self.remove_group(it));
        old
    }

    /// Returns the number of members, this instance included: the larger of the number of known
    /// members and the number that the platform lists.
    pub fn len(&self) -> usize {
        (self.peers.len() + 1).max(self.listed.len())
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the names of the reachable peers.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = &Name> {
        self.peers
            .iter()
            .filter(move |(_, it)| self.is_peer_reachable(now, it))
            .map(|(name, _)| name)
    }

    /// Returns the reachable peers, each with its data centre.
    pub fn reachable_places(&self, now: Instant) -> impl Iterator<Item = (&Name, &Name)> {
        let reachable = self.peers.iter().filter(move |(_, it)| self.is_peer_reachable(now, it));
        reachable.map(|(name, it)| (name, &it.datacentre))
    }

    /// Returns the reachable peers that reach endpoints, as far as is known, each with its data centre.
    pub fn connected(&self, now: Instant) -> impl Iterator<Item = (&Name, &Name)> {
        self.peers
            .iter()
            .filter(move |(_, it)| !it.cut_off && self.is_peer_reachable(now, it))
            .map(|(name, it)| (name, &it.datacentre))
    }

    /// Returns the fraction of the members that is reachable, this instance included.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let reachable = self.peers.values().filter(|it| self.is_peer_reachable(now, it)).count();
        (reachable + 1) as f64 / self.len() as f64
    }

    /// Returns whether a data centre has known peers and none of them is reachable.
    pub fn is_datacentre_unreachable(&self, now: Instant, datacentre: &str) -> bool {
        let mut peers = self.peers.values().filter(|it| &*it.datacentre == datacentre).peekable();
        peers.peek().is_some() && peers.all(|it| !self.is_peer_reachable(now, it))
    }

    /// Returns the number of requests for a service in the queues of reachable peers.
    pub fn waiting(&self, now: Instant, service: &str) -> u32 {
        let reachable = self.peers.values().filter(|it| self.is_peer_reachable(now, it));
        let queues = reachable.map(|it| &it.waiting);
        let groups = self.groups.values().map(|it| &it.waiting);
        queues.chain(groups).filter_map(|it| it.get(service)).sum()
    }

    /// Returns whether the fleet is so large that relays pass heartbeats on.
    pub fn is_relayed(&self) -> bool {
        self.len() > DIRECT_FLEET
    }

    /// Returns whether the fleet is so large that only some instances follow the platform's store.
    pub fn is_large(&self) -> bool {
        self.len() > SMALL_FLEET
    }

    /// Returns the number of instances that take precedence over `own` in following the platform's
    /// store; `None` if it need not follow it.
    ///
    /// In a large fleet, the reachable instance of each data centre with the lowest name hash
    /// follows the store and forwards changes to the others. If no instance there has contact with
    /// the store, the others try as well, in the order of their name hashes.
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
        let groups = self.groups.values().flat_map(|it| &it.reconfiguring);
        self.peers.values().flat_map(|it| &it.reconfiguring).chain(groups)
    }

    /// Removes peers that have expired and returns them together with those whose requests are
    /// considered ended; the latter are returned on each call.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        self.peers.retain(|name, peer| match now.since(peer.last_heartbeat) {
            elapsed if elapsed >= PEER_EXPIRY => {
                changes.push(Change::Expired(name.clone(), peer.incarnation));
                false
            }
            elapsed => {
                if elapsed >= LOAD_EXPIRY {
                    changes.push(Change::Unresponsive(name.clone()));
                }
                true
            }
        });
        changes
    }
}
