//! The instances of the fleet, as the platform lists them and as heartbeats show them.

use indexmap::IndexMap;
use siskinstile_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Instant, object::Name};

/// One instance as the platform lists it.
#[value(serde)]
pub struct Record {
    /// Unique name.
    pub name: Name,
    /// Address for messages of other instances, `IP:PORT`.
    pub address: Name,
    /// Address of its administration listener, `IP:PORT`.
    #[serde(default)]
    pub admin: Option<Name>,
    /// Name of its data centre.
    pub datacentre: Name,
    /// Incarnation, which grows with each restart.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether it is live or leaving.
    pub state: Standing,
}

/// Whether an instance takes work.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Takes work.
    Live,
    /// Ends the work that it has.
    Leaving,
}

/// The instances that this one knows.
#[value(default)]
pub struct Table {
    records: IndexMap<Name, Record>,
    heard: IndexMap<Name, Heard>,
}

/// What the last heartbeat of an instance told.
#[value(id)]
pub struct Heard {
    /// When it came.
    pub at: Instant,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Generation of the configuration in force at the sender.
    pub generation: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
}

impl Table {
    /// Replaces the table by the platform's list.
    pub fn replace(&mut self, records: Vec<Record>) {
        self.records = records.into_iter().map(|record| (record.name.clone(), record)).collect();
    }

    /// Returns the record of an instance.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    /// Iterates over every known instance.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Notes a heartbeat, unless it is of an incarnation older than one heard before.
    pub fn hear(&mut self, name: &Name, heard: Heard) {
        let known = self.heard.get(name).map_or(0, |it| it.incarnation);
        if heard.incarnation >= known {
            self.heard.insert(name.clone(), heard);
        }
    }

    /// Returns what the last heartbeat of an instance told.
    pub fn heard(&self, name: &str) -> Option<&Heard> {
        self.heard.get(name)
    }

    /// Returns the live instances of a data centre in the order of their rank for `key`.
    pub fn ranked(&self, datacentre: &str, key: &str) -> Vec<&Record> {
        let mut live: Vec<&Record> = self
            .records
            .values()
            .filter(|it| it.state == Standing::Live && &*it.datacentre == datacentre)
            .collect();
        live.sort_by_key(|it| std::cmp::Reverse((rank(&it.name, key), it.name.clone())));
        live
    }
}

/// Returns the rendezvous weight of an instance for `key`.
pub fn rank(instance: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(instance.as_bytes(), 0))
}
