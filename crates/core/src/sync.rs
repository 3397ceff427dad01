//! Adoption of published configurations, from the platform or from other instances.
//!
//! A generation is adopted only if it is newer than the one in force and all its chunks have
//! arrived, each matching its hash.

mod fetch;
mod history;
mod peer;
mod watch;

use std::sync::Arc;

use siskinstile_macros::value;
use siskinstile_wire::message::config as wire;

use crate::{
    Instant,
    chunk::{self, Bucket, Index},
    config::Config,
    fault::Fault,
    log,
    object::{Name, Set},
    store::{Call, Tag},
};

use fetch::Fetch;
use history::History;
use watch::Watch;

/// An action that the synchronisation requests from the control state.
#[value]
pub enum Output {
    /// Call the platform.
    Call(Tag, Call),
    /// Send a message to the named instance.
    Send(Name, wire::Kind),
    /// Put a configuration in force.
    Adopt(Arc<Config>),
    /// Write a log event.
    Log(log::Record),
}

/// Keeps one instance's configuration in step with the platform and its peers.
#[value(default)]
pub struct Sync {
    config: Arc<Config>,
    index: Index,
    history: History,
    fetch: Option<Fetch>,
    watch: Watch,
    fault: Option<Fault>,
}

impl Sync {
    /// Injects a fault; for tests.
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn is_newer(&self, generation: u64) -> bool {
        match self.fault {
            Some(Fault::AdoptOlder) => generation != self.config.generation,
            _ => generation > self.config.generation,
        }
    }

    /// Returns when the platform last answered this instance, or another one according to its
    /// heartbeats; none if it has answered neither.
    pub fn last_contact(&self) -> Option<Instant> {
        self.watch.last_contact
    }

    /// Returns whether the platform's manifest has been read and names no newer generation than the
    /// one in force here.
    pub fn is_current(&self) -> bool {
        self.watch.published.is_some_and(|published| published <= self.config.generation)
    }

    /// Records an answer of the platform at `now`.
    pub fn record_contact(&mut self, now: Instant) {
        self.watch.last_contact = Some(now);
    }

    /// Records that the platform answered another instance at `at`. It counts like an answer to
    /// this instance, since the other one forwards newer generations.
    pub fn record_relayed_contact(&mut self, at: Instant) {
        self.watch.last_contact = self.watch.last_contact.max(Some(at));
    }

    /// Puts a set in force if its generation is newer.
    fn adopt(&mut self, generation: u64, set: Set, index: Index) -> Vec<Output> {
        if !self.is_newer(generation) {
            return Vec::new();
        }
        let digest = index.digest();
        self.history.record(self.config.generation, generation, digest, &self.config.set, &set);
        self.index = index;
        self.config = Arc::new(Config::new(generation, set));
        if self.fetch.as_ref().is_some_and(|it| it.generation <= generation) {
            self.fetch = None;
        }
        vec![Output::Adopt(self.config.clone())]
    }

    /// Adds a chunk to the fetch in progress and adopts the generation once it is complete.
    fn add_chunk(&mut self, bucket: Bucket, text: String) -> Vec<Output> {
        let Some(fetch) = &mut self.fetch else { return Vec::new() };
        match fetch.add(bucket, text) || self.fault == Some(Fault::AdoptPartial) {
            true => self.finish_fetch(),
            false => Vec::new(),
        }
    }

    /// Adopts the fetched generation.
    fn finish_fetch(&mut self) -> Vec<Output> {
        let Some(fetch) = self.fetch.take() else { return Vec::new() };
        let mut set = self.config.set.clone();
        match fetch.apply_to(&mut set) {
            Ok(()) => self.adopt(fetch.generation, set, fetch.index),
            Err(error) => vec![unreadable(&error)],
        }
    }
}

fn unreadable(error: &dyn std::fmt::Display) -> Output {
    Output::Log(log::Record::new(log::CONFIG_UNREADABLE, error.to_string()))
}

/// Returns whether `hash` is the hash of `text`.
fn matches_hash(text: &str, hash: &str) -> bool {
    *chunk::hash(text) == *hash
}
