//! Loads of the endpoints: this instance's own and those reported by peers.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Name, name_hash::NameHash};

/// Load of an endpoint.
#[value(id, default)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Engine memory reserved for them, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens still to be computed.
    pub prompt_tokens: u64,
}

impl Load {
    /// Returns the sum of two loads.
    pub fn plus(self, other: Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            memory_tokens: self.memory_tokens + other.memory_tokens,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
        }
    }

    /// Returns the difference of two loads, at least zero.
    pub fn minus(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
        }
    }
}

/// The loads of all endpoints.
#[value(default)]
pub struct Loads {
    own: IndexMap<NameHash, Load>,
    peers: IndexMap<Name, IndexMap<NameHash, Load>>,
    /// Sums of own and reported loads; endpoints without load have no entry.
    totals: IndexMap<NameHash, Load>,
    changed: bool,
}

impl Loads {
    /// Adds a load of this instance to an endpoint.
    pub fn add(&mut self, endpoint: &str, load: Load) {
        let endpoint = NameHash::of(endpoint);
        let own = self.own.entry(endpoint).or_default();
        *own = own.plus(load);
        self.increase(endpoint, load);
        self.changed = true;
    }

    /// Subtracts a load of this instance from an endpoint; stops at zero.
    pub fn remove(&mut self, endpoint: &str, load: Load) {
        let endpoint = NameHash::of(endpoint);
        let Some(own) = self.own.get_mut(&endpoint) else { return };
        let (before, after) = (*own, own.minus(load));
        *own = after;
        if after == Load::default() {
            self.own.swap_remove(&endpoint);
        }
        self.decrease(endpoint, before.minus(after));
        self.changed = true;
    }

    /// Replaces the loads reported by a peer.
    pub fn set_peer(&mut self, peer: &Name, loads: IndexMap<NameHash, Load>) {
        self.remove_peer(peer);
        for (endpoint, load) in &loads {
            self.increase(*endpoint, *load);
        }
        self.peers.insert(peer.clone(), loads);
    }

    /// Removes the loads reported by a peer.
    pub fn remove_peer(&mut self, peer: &str) {
        for (endpoint, load) in self.peers.swap_remove(peer).unwrap_or_default() {
            self.decrease(endpoint, load);
        }
    }

    /// Returns the load of an endpoint over all instances.
    pub fn total(&self, endpoint: &str) -> Load {
        self.totals.get(&NameHash::of(endpoint)).copied().unwrap_or_default()
    }

    /// Returns the loads reported by a peer; `None` if there are none.
    pub fn peer(&self, peer: &str) -> Option<&IndexMap<NameHash, Load>> {
        self.peers.get(peer)
    }

    /// Returns the sums of the own loads and those reported by some peers.
    pub fn sum<'a>(&self, peers: impl Iterator<Item = &'a Name>) -> IndexMap<NameHash, Load> {
        let mut sum = self.own.clone();
        for (endpoint, load) in peers.filter_map(|it| self.peers.get(it)).flatten() {
            let total = sum.entry(*endpoint).or_default();
            *total = total.plus(*load);
        }
        sum
    }

    fn increase(&mut self, endpoint: NameHash, load: Load) {
        let total = self.totals.entry(endpoint).or_default();
        *total = total.plus(load);
    }

    fn decrease(&mut self, endpoint: NameHash, load: Load) {
        let Some(total) = self.totals.get_mut(&endpoint) else { return };
        *total = total.minus(load);
        if *total == Load::default() {
            self.totals.swap_remove(&endpoint);
        }
    }

    /// Returns this instance's own loads.
    pub fn own(&self) -> &IndexMap<NameHash, Load> {
        &self.own
    }

    /// Returns whether the own loads have changed since they were last sent to peers.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// Marks the own loads as sent to peers; returns whether they had changed.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}
