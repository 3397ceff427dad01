//! Endpoints known to leave, although the platform may list them as ready.
//!
//! An endpoint's entry can lag behind its own statement, and a platform store that was restored from
//! an older copy lists entries that had been replaced or removed. A departure therefore lasts until
//! the endpoint has started again, or has written a later entry than the one that told of it.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Directory, Instant,
    directory::{Endpoint, Readiness},
    name_hash::NameHash,
};

/// Time for which a departure is kept after it became known, or after the last list that contained
/// the endpoint; a store is restored from a copy that is older by less.
const EXPIRY: Duration = Duration::from_secs(60);
/// Time for which heartbeats repeat a departure that the endpoint announced.
const REPEAT_TIME: Duration = Duration::from_secs(10);

/// How a departure became known; a later variant is the better proof.
#[value(id)]
enum Source {
    /// The entry with this number was listed as draining, or was the last one before its removal.
    Listed(u64),
    /// The endpoint stated it in a response to a peer.
    Reported,
    /// The endpoint stated it in a response to this instance.
    Announced,
}

/// An endpoint that is leaving.
#[value]
struct Departure {
    /// Start of the leaving incarnation.
    started_at_ms: Option<u64>,
    source: Source,
    /// When it became known or, if announced or reported, was last listed.
    noted_at: Instant,
    /// When it was announced to this instance.
    announced_at: Instant,
}

impl Departure {
    fn concerns(&self, endpoint: &Endpoint) -> bool {
        let is_superseded = match (self.source, endpoint.sequence) {
            (Source::Listed(known), Some(listed)) => listed > known,
            (Source::Listed(_), None) => true,
            _ => false,
        };
        self.started_at_ms == endpoint.started_at_ms && !is_superseded
    }
}

/// The endpoints known to leave, by name.
#[value(default)]
pub struct Departures {
    departures: IndexMap<NameHash, Departure>,
}

impl Departures {
    /// Records that an endpoint has stated in a response that it is leaving; returns whether this
    /// was not known.
    pub fn announce(&mut self, now: Instant, endpoint: &Endpoint) -> bool {
        self.insert(NameHash::of(&endpoint.id), endpoint.started_at_ms, Source::Announced, now)
    }

    /// Records departures that a peer reports, each with the endpoint's start; returns whether one
    /// was not known.
    pub fn record_report(
        &mut self,
        now: Instant,
        departures: impl Iterator<Item = (NameHash, Option<u64>)>,
    ) -> bool {
        let mut has_new = false;
        for (endpoint, started_at_ms) in departures {
            has_new |= self.insert(endpoint, started_at_ms, Source::Reported, now);
        }
        has_new
    }

    /// Records a new list: endpoints that drain or are no longer listed are leaving.
    pub fn record_list(&mut self, now: Instant, old: &Directory, new: &Directory) {
        let removed = old.iter().filter(|it| new.get(&it.id).is_none());
        let draining = new.iter().filter(|it| !it.is_ready());
        for endpoint in removed.chain(draining) {
            if let Some(sequence) = endpoint.sequence {
                let source = Source::Listed(sequence);
                self.insert(NameHash::of(&endpoint.id), endpoint.started_at_ms, source, now);
            }
        }
        for endpoint in new.iter() {
            let departure = self.departures.get_mut(&NameHash::of(&endpoint.id));
            match departure {
                Some(it) if !it.concerns(endpoint) => {
                    self.departures.swap_remove(&NameHash::of(&endpoint.id));
                }
                Some(it) if !matches!(it.source, Source::Listed(_)) => it.noted_at = now,
                _ => {}
            }
        }
        self.departures.retain(|_, it| now.since(it.noted_at) < EXPIRY);
    }

    /// Returns the listed endpoints, with those known to leave as draining.
    pub fn apply(&self, listed: &Arc<Directory>) -> Arc<Directory> {
        let is_leaving = |it: &Endpoint| {
            let departure = self.departures.get(&NameHash::of(&it.id));
            it.is_ready() && departure.is_some_and(|departure| departure.concerns(it))
        };
        if !listed.iter().any(|it| is_leaving(it)) {
            return listed.clone();
        }
        let endpoints = listed.iter().map(|it| match is_leaving(it) {
            true => Endpoint { readiness: Readiness::Draining, ..(**it).clone() },
            false => (**it).clone(),
        });
        Arc::new(Directory::new(endpoints))
    }

    /// Returns the endpoints that have recently stated to this instance that they are leaving, each
    /// with its start.
    pub fn announced(&self, now: Instant) -> impl Iterator<Item = (NameHash, Option<u64>)> {
        let is_recent = move |it: &Departure| {
            it.source == Source::Announced && now.since(it.announced_at) < REPEAT_TIME
        };
        let recent = self.departures.iter().filter(move |(_, it)| is_recent(it));
        recent.map(|(endpoint, it)| (*endpoint, it.started_at_ms))
    }

    /// Inserts a departure, unless it is known from as good a source or the endpoint has started
    /// again since; returns whether it was inserted.
    fn insert(
        &mut self,
        endpoint: NameHash,
        started_at_ms: Option<u64>,
        source: Source,
        now: Instant,
    ) -> bool {
        let is_known = self
            .departures
            .get(&endpoint)
            .is_some_and(|it| (it.started_at_ms, it.source) >= (started_at_ms, source));
        if !is_known {
            let departure = Departure { started_at_ms, source, noted_at: now, announced_at: now };
            self.departures.insert(endpoint, departure);
        }
        !is_known
    }
}
