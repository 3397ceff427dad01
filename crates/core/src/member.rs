//! The instances of the fleet, as the platform lists them and as heartbeats show them.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Instant, object::Name};

/// Silence after which an instance is suspect, where all instances of a data centre exchange heartbeats.
pub const SUSPECT: Duration = Duration::from_secs(3);
/// The same where heartbeats pass over others: each step on the way adds up to a period.
const SUSPECT_BY_OTHERS: Duration = Duration::from_secs(6);
/// Largest data centre in which each instance sends heartbeats to every other one.
const MESH: usize = 12;
/// Time for which an instance that the platform does not list is known by its heartbeats.
const UNLISTED: Duration = Duration::from_secs(30);
/// Gap between two ticks that shows that this process was paused.
const PAUSED: Duration = Duration::from_secs(1);

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
    pub state: Status,
}

/// Whether an instance takes work.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes work.
    Live,
    /// Ends the work that it has.
    Leaving,
}

/// The instances that this one knows.
#[value(default)]
pub struct Table {
    records: IndexMap<Name, Record>,
    heard: IndexMap<Name, Heartbeat>,
    /// Instances known by their heartbeats, with the moment of the last.
    met: IndexMap<Name, (Instant, Record)>,
    now: Instant,
    /// Silence before this moment was this process's own.
    awake: Instant,
}

/// What the last heartbeat of an instance told.
#[value(id)]
pub struct Heartbeat {
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
    /// Takes the platform's list, which may be late.
    pub fn replace(&mut self, records: Vec<Record>) {
        self.records = records.into_iter().map(|record| (record.name.clone(), record)).collect();
        let now = self.now;
        self.met.retain(|_, (at, _)| now.since(*at) < UNLISTED);
        for (name, (_, record)) in &self.met {
            self.records.entry(name.clone()).or_insert_with(|| record.clone()).address =
                record.address.clone();
        }
        let records = &self.records;
        self.heard
            .retain(|name, heard| records.contains_key(name) || now.since(heard.at) < UNLISTED);
    }

    /// Lets time pass; a gap that shows a pause of this process makes nobody suspect.
    pub fn advance(&mut self, now: Instant) {
        if now.since(self.now) > PAUSED {
            self.awake = now;
        }
        self.now = now;
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
    pub fn record_heartbeat(&mut self, name: &Name, heard: Heartbeat) {
        match self.heard.get(name) {
            Some(known) if heard.incarnation < known.incarnation => {}
            Some(known) if heard.incarnation == known.incarnation && heard.at < known.at => {}
            _ => drop(self.heard.insert(name.clone(), heard)),
        }
    }

    /// Notes where an instance says that it is; its own word is newer than the platform's list.
    pub fn record_address(&mut self, now: Instant, record: Record) {
        let known = self.met.get(&record.name).map_or(0, |it| it.1.incarnation);
        if record.incarnation < known {
            return;
        }
        match self.records.get_mut(&record.name) {
            Some(listed) => listed.address = record.address.clone(),
            None => drop(self.records.insert(record.name.clone(), record.clone())),
        }
        self.met.insert(record.name.clone(), (now, record));
    }

    /// Notes that others heard an instance at `at`.
    pub fn record_relayed(&mut self, hash: u32, at: Instant) {
        let named = |it: &(&Name, &mut Heartbeat)| short_hash(it.0) == hash;
        if let Some((_, heard)) = self.heard.iter_mut().find(named) {
            heard.at = heard.at.max(at.min(self.now));
        }
    }

    /// Returns what the last heartbeat of an instance told.
    pub fn heartbeat(&self, name: &str) -> Option<&Heartbeat> {
        self.heard.get(name)
    }

    /// Iterates over the instances whose heartbeats were heard.
    pub fn heartbeats(&self) -> impl Iterator<Item = (&Name, &Heartbeat)> {
        self.heard.iter()
    }

    /// Returns whether an instance is not suspect: heard of lately, or listed and never heard.
    pub fn is_alive(&self, name: &str, now: Instant) -> bool {
        let limit = if self.heard.len() < MESH { SUSPECT } else { SUSPECT_BY_OTHERS };
        let silent = |heard: &Heartbeat| now.since(heard.at.max(self.awake)) > limit;
        !self.heard.get(name).is_some_and(silent)
    }

    /// Returns whether an instance takes work, as far as is known.
    pub fn takes_work(&self, record: &Record) -> bool {
        let leaving = self.heard.get(&record.name).is_some_and(|it| it.leaving);
        record.state == Status::Live && !leaving && self.is_alive(&record.name, self.now)
    }

    /// Returns the instances of a data centre that take work, in the order of their rank for `key`.
    pub fn ranked(&self, datacentre: &str, key: &str) -> Vec<&Record> {
        let mut all = self.ranked_all(datacentre, key);
        all.retain(|it| self.takes_work(it));
        all
    }

    /// Returns every listed instance of a data centre, leaving and silent ones too, in the order of
    /// their rank for `key`.
    pub fn ranked_all(&self, datacentre: &str, key: &str) -> Vec<&Record> {
        let here = self.records.values().filter(|it| &*it.datacentre == datacentre);
        let mut all: Vec<&Record> = here.collect();
        all.sort_by_cached_key(|it| std::cmp::Reverse((rank(&it.name, key), it.name.clone())));
        all
    }

    /// Returns the instances that get the heartbeats of `own`: all of a small data centre, else
    /// those at distances of powers of two on a ring.
    pub fn heartbeat_targets(&self, datacentre: &str, own: &str) -> Vec<Name> {
        let here = self.records.values().filter(|it| &*it.datacentre == datacentre);
        let mut names: Vec<&Name> = here.map(|it| &it.name).collect();
        names.sort_unstable_by_key(|it| (short_hash(it), (*it).clone()));
        let Some(place) = names.iter().position(|it| &***it == own) else {
            return names.into_iter().cloned().collect();
        };
        let distances: Vec<usize> = match names.len() <= MESH {
            true => (1..names.len()).collect(),
            false => (0..).map(|it| 1 << it).take_while(|it| *it < names.len()).collect(),
        };
        distances.iter().map(|it| names[(place + it) % names.len()].clone()).collect()
    }

    /// Returns the heartbeat ages to relay to others; none in a full mesh.
    pub fn heartbeat_ages(&self) -> Vec<(u32, Duration)> {
        let fresh = self.heard.iter().filter(|it| self.now.since(it.1.at) < SUSPECT_BY_OTHERS);
        match self.heard.len() < MESH {
            true => Vec::new(),
            false => fresh.map(|(name, it)| (short_hash(name), self.now.since(it.at))).collect(),
        }
    }
}

/// Returns a short hash of a name for messages.
fn short_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Returns the rendezvous weight of an instance for `key`.
pub fn rank(instance: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(instance.as_bytes(), 0))
}
