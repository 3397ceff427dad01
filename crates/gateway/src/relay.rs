//! Relays of heartbeats within and between the data centres of a large fleet.
//!
//! In a small fleet every instance sends its heartbeats to every other one. In a large one it sends
//! them to the relays of its data centre, the two reachable instances there with the lowest name
//! hashes. A relay's messages are digests: the sums of the loads in a data centre, and the members
//! that were heard there. It sends them to all members of its data centre, and exchanges them with
//! one relay of each other data centre. Thus an instance sends and receives as many messages in a
//! fleet of any size, and a relay one for each member of its data centre and each other data centre.
//!
//! Both relays tell the same, so the loss of one goes unnoticed. If an instance no longer hears a
//! relay, it sends its heartbeats to the next candidate, which becomes a relay by receiving them.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, Name, name_hash::NameHash, quota::Account};

/// Number of relays in a data centre.
pub const RELAYS: usize = 2;
/// Time without a message of a relay after which it is passed over.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after a heartbeat of a member for which an instance acts as a relay.
pub const SERVICE_TIME: Duration = Duration::from_secs(2);
/// Time after which a relay repeats that a member is alive, although nothing has changed.
const LIVENESS_INTERVAL: Duration = Duration::from_secs(1);
/// Number of accounts in one message after which further members wait for the next one.
const MAX_ACCOUNTS: usize = 1_000;

/// What a relay knows of a member that it has not told all others yet.
#[value]
pub struct Pending {
    /// Data centre of the member.
    pub datacentre: Name,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Number of its last heartbeat.
    pub number: u64,
    /// When that heartbeat arrived at the first relay.
    pub heard_at: Instant,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Time since the store answered it, as of that heartbeat.
    pub store_age: Duration,
    /// Accounts to tell.
    pub accounts: IndexMap<NameHash, Account>,
    /// Whether one of them has changed.
    pub has_changed: bool,
    /// Whether these are all of its accounts.
    pub all_accounts: bool,
    /// Its address, told with all accounts only.
    pub address: String,
    /// Whether it reaches no endpoint.
    pub cut_off: bool,
    /// Whether that has changed.
    pub has_changed_reach: bool,
}

impl Pending {
    fn merge(&mut self, newer: Pending) {
        let mut accounts = match self.incarnation == newer.incarnation {
            true => std::mem::take(&mut self.accounts),
            false => IndexMap::new(),
        };
        let all_accounts =
            newer.all_accounts || self.all_accounts && self.incarnation == newer.incarnation;
        let has_changed = newer.has_changed || self.has_changed;
        let has_changed_reach = newer.has_changed_reach || self.has_changed_reach;
        accounts.extend(newer.accounts.clone());
        let address = match newer.address.is_empty() {
            true => std::mem::take(&mut self.address),
            false => newer.address.clone(),
        };
        *self =
            Pending { accounts, has_changed, has_changed_reach, all_accounts, address, ..newer };
    }

    /// Returns whether it says more than that the member is alive.
    fn is_news(&self) -> bool {
        self.leaving || self.has_changed || self.has_changed_reach
    }
}

/// Members to be told to one set of receivers, by name.
#[value(default)]
pub struct Outbox {
    pending: IndexMap<Name, Pending>,
    told_at: IndexMap<Name, Instant>,
}

impl Outbox {
    /// Adds what a member's heartbeat says.
    pub fn add(&mut self, name: &Name, pending: Pending) {
        match self.pending.get_mut(name) {
            Some(known) => known.merge(pending),
            None => {
                self.pending.insert(name.clone(), pending);
            }
        }
    }

    /// Removes and returns what is due, up to the limit on accounts: members with news, and those
    /// that have not been told for the liveness interval.
    pub fn take_due(&mut self, now: Instant) -> Vec<(Name, Pending)> {
        let mut accounts = 0;
        let mut due = Vec::new();
        let mut rest = IndexMap::new();
        for (name, it) in std::mem::take(&mut self.pending) {
            let last = self.told_at.get(&name).copied().unwrap_or_default();
            let is_due = it.is_news() || now.since(last) >= LIVENESS_INTERVAL;
            if !is_due || accounts >= MAX_ACCOUNTS {
                rest.insert(name, it);
                continue;
            }
            accounts += it.accounts.len();
            match it.leaving {
                true => self.told_at.swap_remove(&name),
                false => self.told_at.insert(name.clone(), now),
            };
            due.push((name, it));
        }
        self.pending = rest;
        due
    }
}

/// The choice of relays among the candidates of a data centre.
#[value(default)]
pub struct Choice {
    chosen: Vec<Name>,
    /// When each chosen one was chosen or last heard.
    heard_at: IndexMap<Name, Instant>,
    /// Candidates that were chosen and not heard.
    silent: Vec<Name>,
}

impl Choice {
    /// Records a message that came directly from an instance.
    pub fn record_message(&mut self, now: Instant, name: &Name) {
        self.silent.retain(|it| it != name);
        if let Some(heard_at) = self.heard_at.get_mut(name) {
            *heard_at = now;
        }
    }

    /// Chooses the relays among `candidates`: those with the lowest name hashes, without any that
    /// have been silent since they were chosen.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        own: &Name,
        candidates: impl Iterator<Item = &'a Name>,
    ) {
        let timed_out = |it: &&Name| {
            let heard_at = self.heard_at.get(*it).copied().unwrap_or(now);
            **it != *own && now.since(heard_at) >= RELAY_TIMEOUT
        };
        let silent: Vec<Name> = self.chosen.iter().filter(timed_out).cloned().collect();
        self.silent.extend(silent);
        let mut candidates: Vec<&Name> = candidates.collect();
        candidates.sort_unstable_by_key(|it| NameHash::of(it));
        self.silent.retain(|it| candidates.contains(&it));
        let heard = candidates.iter().filter(|it| !self.silent.contains(it));
        self.chosen = heard.take(RELAYS).map(|it| (*it).clone()).collect();
        let mut heard_at = std::mem::take(&mut self.heard_at);
        self.heard_at = self
            .chosen
            .iter()
            .map(|it| (it.clone(), heard_at.swap_remove(it).unwrap_or(now)))
            .collect();
    }

    /// Returns the chosen relays, the first candidate first.
    pub fn relays(&self) -> &[Name] {
        &self.chosen
    }
}
