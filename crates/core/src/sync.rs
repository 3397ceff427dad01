//! Adoption of what is published, from the platform or from other instances.
//!
//! A generation is taken only with all its chunks, each of which matches its hash, and only if it
//! is newer than the one in force.

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

/// What the synchronisation wants done.
#[value]
pub enum Output {
    /// Call the platform.
    Call(Tag, Call),
    /// Send a message to the instance of that name.
    Send(Name, wire::Kind),
    /// Put a configuration in force.
    Adopt(Arc<Config>),
    /// Write a log event.
    Log(log::Record),
}

/// The synchronisation of one instance with the platform and with its peers.
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
    /// Plants a fault; for tests.
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn is_newer(&self, generation: u64) -> bool {
        match self.fault {
            Some(Fault::AdoptOlder) => generation != self.config.generation,
            _ => generation > self.config.generation,
        }
    }

    /// Returns when the platform last answered; none if it never has.
    pub fn last_contact(&self) -> Option<Instant> {
        self.watch.last_contact
    }

    /// Returns whether the platform has said what is in force, and this instance has that much.
    pub fn is_current(&self) -> bool {
        self.watch.known.is_some_and(|known| known <= self.config.generation)
    }

    /// Notes that the platform has answered.
    pub fn record_contact(&mut self, now: Instant) {
        self.watch.last_contact = Some(now);
    }

    /// Notes that another instance reached the platform, and whom it tells of what is new.
    pub fn record_relayed_contact(&mut self, at: Instant) {
        self.watch.last_contact = self.watch.last_contact.max(Some(at));
    }

    /// Puts a set in force unless it is not newer.
    fn adopt(&mut self, generation: u64, set: Set, index: Index) -> Vec<Output> {
        if !self.is_newer(generation) {
            return Vec::new();
        }
        let digest = index.digest();
        self.history.note(self.config.generation, generation, digest, &self.config.set, &set);
        self.index = index;
        self.config = Arc::new(Config::new(generation, set));
        if self.fetch.as_ref().is_some_and(|it| it.generation <= generation) {
            self.fetch = None;
        }
        vec![Output::Adopt(self.config.clone())]
    }

    /// Takes a chunk of the generation that is being fetched.
    fn chunk(&mut self, bucket: Bucket, text: String) -> Vec<Output> {
        let Some(fetch) = &mut self.fetch else { return Vec::new() };
        match fetch.take(bucket, text) || self.fault == Some(Fault::AdoptPartial) {
            true => self.finish(),
            false => Vec::new(),
        }
    }

    /// Puts the fetched generation in force.
    fn finish(&mut self) -> Vec<Output> {
        let Some(fetch) = self.fetch.take() else { return Vec::new() };
        let mut set = self.config.set.clone();
        match fetch.build(&mut set) {
            Ok(()) => self.adopt(fetch.generation, set, fetch.index),
            Err(error) => vec![unreadable(&error)],
        }
    }
}

fn unreadable(error: &dyn std::fmt::Display) -> Output {
    Output::Log(log::Record::new(log::CONFIG_UNREADABLE, error.to_string()))
}

/// Returns whether a text is what a hash names.
fn matches(text: &str, hash: &str) -> bool {
    *chunk::hash(text) == *hash
}
