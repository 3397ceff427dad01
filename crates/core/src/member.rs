//! Membership: the instances of the fleet, from the platform's list and from heartbeats.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Instant, object::Name};

/// Time without a heartbeat after which an instance is suspected to have failed, in a data centre
/// in which all instances exchange heartbeats.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The same timeout where heartbeats are relayed: each hop adds up to one heartbeat interval.
const RELAYED_SUSPECT_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum size of a data centre in which every instance sends heartbeats to every other one.
const MAX_FULL_MESH: usize = 12;
/// Time after its last heartbeat for which an instance that the platform does not list is kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);
/// Gap between two ticks above which this process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// One instance as the platform lists it.
#[value(serde)]
pub struct Record {
    /// Unique name.
    pub name: Name,
    /// Address for messages of other instances, `IP:PORT`.
    pub address: Name,
    /// Address of its administration listener, `IP:PORT`; none if unknown.
    #[serde(default)]
    pub admin: Option<Name>,
    /// Name of its data centre.
    pub datacentre: Name,
    /// Incarnation, which grows with each restart.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether it is live or leaving.
    pub state: Status,
}

/// Whether an instance accepts new work.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Accepts new work.
    Live,
    /// Completes its current work and accepts none.
    Leaving,
}

/// The members of the fleet as recorded by this instance, with their last heartbeats.
#[value(default)]
pub struct Table {
    records: IndexMap<Name, Record>,
    heartbeats: IndexMap<Name, Heartbeat>,
    /// Records from heartbeats, with the time of the last heartbeat.
    announced: IndexMap<Name, (Instant, Record)>,
    now: Instant,
    /// End of this process's last pause; the lack of heartbeats before it does not count.
    resumed: Instant,
}

/// The content of an instance's last heartbeat.
#[value(id)]
pub struct Heartbeat {
    /// When it was received, here or by a peer that relayed a later one.
    pub received_at: Instant,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Generation of the configuration in force at the sender.
    pub generation: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
}

impl Table {
    /// Replaces the records by the platform's list.
    ///
    /// The list may be outdated: addresses from heartbeats take precedence, and instances that are
    /// not listed remain for `UNLISTED_RETENTION` after their last heartbeat.
    pub fn replace(&mut self, records: Vec<Record>) {
        self.records = records.into_iter().map(|record| (record.name.clone(), record)).collect();
        let now = self.now;
        self.announced.retain(|_, (at, _)| now.since(*at) < UNLISTED_RETENTION);
        for (name, (_, record)) in &self.announced {
            self.records.entry(name.clone()).or_insert_with(|| record.clone()).address =
                record.address.clone();
        }
        let records = &self.records;
        self.heartbeats.retain(|name, it| {
            records.contains_key(name) || now.since(it.received_at) < UNLISTED_RETENTION
        });
    }

    /// Advances the clock; after a pause of this process, timeouts start over for all members.
    pub fn advance(&mut self, now: Instant) {
        if now.since(self.now) > PAUSE_THRESHOLD {
            self.resumed = now;
        }
        self.now = now;
    }

    /// Returns the record of an instance.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Records a heartbeat, unless a later one or one of a newer incarnation is known.
    pub fn record_heartbeat(&mut self, name: &Name, new: Heartbeat) {
        match self.heartbeats.get(name) {
            Some(known) if new.incarnation < known.incarnation => {}
            Some(known)
                if new.incarnation == known.incarnation && new.received_at < known.received_at => {}
            _ => drop(self.heartbeats.insert(name.clone(), new)),
        }
    }

    /// Records an instance's address from its heartbeat, which is newer than the platform's list.
    ///
    /// A record of an older incarnation is ignored.
    pub fn record_address(&mut self, now: Instant, record: Record) {
        let known = self.announced.get(&record.name).map_or(0, |it| it.1.incarnation);
        if record.incarnation < known {
            return;
        }
        match self.records.get_mut(&record.name) {
            Some(listed) => listed.address = record.address.clone(),
            None => drop(self.records.insert(record.name.clone(), record.clone())),
        }
        self.announced.insert(record.name.clone(), (now, record));
    }

    /// Records a heartbeat that a peer received at `at` from the instance whose name has this hash.
    ///
    /// Has no effect for an instance from which no heartbeat was received directly.
    pub fn record_relayed(&mut self, hash: u32, at: Instant) {
        let matches = |it: &(&Name, &mut Heartbeat)| short_hash(it.0) == hash;
        if let Some((_, heartbeat)) = self.heartbeats.iter_mut().find(matches) {
            heartbeat.received_at = heartbeat.received_at.max(at.min(self.now));
        }
    }

    /// Returns the last heartbeat of an instance; none if none was received.
    pub fn heartbeat(&self, name: &str) -> Option<&Heartbeat> {
        self.heartbeats.get(name)
    }

    /// Iterates over the last heartbeats by instance.
    pub fn heartbeats(&self) -> impl Iterator<Item = (&Name, &Heartbeat)> {
        self.heartbeats.iter()
    }

    /// Returns whether an instance is not suspect: its last heartbeat is recent, or none was ever
    /// received.
    pub fn is_alive(&self, name: &str, now: Instant) -> bool {
        let timeout = if self.heartbeats.len() < MAX_FULL_MESH {
            SUSPECT_TIMEOUT
        } else {
            RELAYED_SUSPECT_TIMEOUT
        };
        let is_suspect = |it: &Heartbeat| now.since(it.received_at.max(self.resumed)) > timeout;
        !self.heartbeats.get(name).is_some_and(is_suspect)
    }

    /// Returns whether an instance is listed as live, has not announced in a heartbeat that it is
    /// leaving, and is not suspect.
    pub fn accepts_work(&self, record: &Record) -> bool {
        let leaving = self.heartbeats.get(&record.name).is_some_and(|it| it.leaving);
        record.state == Status::Live && !leaving && self.is_alive(&record.name, self.now)
    }

    /// Returns the instances of a data centre that accept work, highest rank for `key` first.
    pub fn ranked(&self, datacentre: &str, key: &str) -> Vec<&Record> {
        let mut all = self.ranked_all(datacentre, key);
        all.retain(|it| self.accepts_work(it));
        all
    }

    /// Returns all instances of a data centre, including leaving and suspect ones, highest rank for
    /// `key` first.
    pub fn ranked_all(&self, datacentre: &str, key: &str) -> Vec<&Record> {
        let members = self.records.values().filter(|it| &*it.datacentre == datacentre);
        let mut all: Vec<&Record> = members.collect();
        all.sort_by_cached_key(|it| std::cmp::Reverse((rank(&it.name, key), it.name.clone())));
        all
    }

    /// Returns the instances to which `own` sends heartbeats: all of a small data centre, otherwise
    /// those at distances of powers of two on a ring ordered by the hash of the name.
    pub fn heartbeat_targets(&self, datacentre: &str, own: &str) -> Vec<Name> {
        let members = self.records.values().filter(|it| &*it.datacentre == datacentre);
        let mut names: Vec<&Name> = members.map(|it| &it.name).collect();
        names.sort_unstable_by_key(|it| (short_hash(it), (*it).clone()));
        let Some(index) = names.iter().position(|it| &***it == own) else {
            return names.into_iter().cloned().collect();
        };
        let distances: Vec<usize> = match names.len() <= MAX_FULL_MESH {
            true => (1..names.len()).collect(),
            false => (0..).map(|it| 1 << it).take_while(|it| *it < names.len()).collect(),
        };
        distances.iter().map(|it| names[(index + it) % names.len()].clone()).collect()
    }

    /// Returns the age of each recent heartbeat by name hash, to relay to peers; empty in a full
    /// mesh, where no relaying is needed.
    pub fn heartbeat_ages(&self) -> Vec<(u32, Duration)> {
        let recent = self
            .heartbeats
            .iter()
            .filter(|it| self.now.since(it.1.received_at) < RELAYED_SUSPECT_TIMEOUT);
        match self.heartbeats.len() < MAX_FULL_MESH {
            true => Vec::new(),
            false => recent
                .map(|(name, it)| (short_hash(name), self.now.since(it.received_at)))
                .collect(),
        }
    }
}

/// Returns the short hash by which messages identify a name.
fn short_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Returns the rank of an instance for `key`: its weight in rendezvous hashing.
pub fn rank(instance: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(instance.as_bytes(), 0))
}
