//! Data centres that operators have evacuated: their endpoints get no new work.
//!
//! An evacuation lasts as long as the platform lists it, whatever its endpoints state.

use std::{sync::Arc, time::Duration};

use siskinstile_macros::value;

use crate::{
    Directory, Instant, Name,
    directory::{Endpoint, Readiness},
};

/// Shortest time after which a caller is asked to come again while the list is not known.
const MIN_RETRY: Duration = Duration::from_millis(500);

/// The list of evacuated data centres, as far as it is known.
#[value(eq)]
enum List {
    /// Data centres are not evacuated in this deployment.
    Unused,
    /// Not known; after `limit` from the first configuration on requests are served without it.
    Missing {
        limit: Duration,
        since: Option<Instant>,
    },
    /// Not known for so long that requests are served without it.
    Skipped,
    Known(Vec<Name>),
}

/// Differences between two lists.
#[value(eq, default)]
pub struct Change {
    /// Data centres whose evacuation has begun.
    pub begun: Vec<Name>,
    /// Data centres whose evacuation has ended.
    pub ended: Vec<Name>,
}

/// The data centres that are evacuated.
#[value(eq)]
pub struct Evacuations {
    list: List,
}

impl Evacuations {
    /// Creates the state of an instance that has no list yet; `limit` is the time after which an
    /// evacuated data centre must get no requests, if evacuations are in use.
    pub fn new(limit: Option<Duration>) -> Evacuations {
        let missing = limit.map(|limit| List::Missing { limit, since: None });
        Evacuations { list: missing.unwrap_or(List::Unused) }
    }

    /// Replaces the list by a newer one; ignored where evacuations are not in use.
    pub fn replace(&mut self, datacentres: Vec<Name>) -> Change {
        if self.list == List::Unused {
            return Change::default();
        }
        let missing_in = |of: &[Name], list: &[Name]| -> Vec<Name> {
            of.iter().filter(|it| !list.contains(it)).cloned().collect()
        };
        let begun = missing_in(&datacentres, self.datacentres());
        let ended = missing_in(self.datacentres(), &datacentres);
        self.list = List::Known(datacentres);
        Change { begun, ended }
    }

    /// Returns the evacuated data centres.
    pub fn datacentres(&self) -> &[Name] {
        match &self.list {
            List::Known(datacentres) => datacentres,
            _ => &[],
        }
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, datacentre: &str) -> bool {
        self.datacentres().iter().any(|it| **it == *datacentre)
    }

    /// Starts the time for which requests wait for the list, if it has not started.
    pub fn start_waiting(&mut self, now: Instant) {
        if let List::Missing { since, .. } = &mut self.list {
            since.get_or_insert(now);
        }
    }

    /// Returns whether requests are refused since the list is not known.
    pub fn is_missing(&self) -> bool {
        matches!(self.list, List::Missing { .. })
    }

    /// Returns the time after which a caller should come again, if the list is not known: as long as
    /// it has been waited for, but not beyond the end of the wait.
    pub fn retry_after(&self, now: Instant) -> Option<Duration> {
        match self.list {
            List::Missing { limit, since } => {
                let waited = since.map_or(Duration::ZERO, |it| now.since(it));
                Some(waited.max(MIN_RETRY).min(limit.saturating_sub(waited)))
            }
            _ => None,
        }
    }

    /// Returns when the wait for the list ends without it.
    pub fn wait_end(&self) -> Option<Instant> {
        match self.list {
            List::Missing { limit, since } => since.map(|it| it + limit),
            _ => None,
        }
    }

    /// Ends the wait for the list if its time is over; returns for how long it lasted if so.
    pub fn end_wait(&mut self, now: Instant) -> Option<Duration> {
        let List::Missing { limit, since: Some(since) } = self.list else { return None };
        let waited = now.since(since);
        if waited < limit {
            return None;
        }
        self.list = List::Skipped;
        Some(waited)
    }

    /// Returns the endpoints, with those of evacuated data centres as such unless they drain.
    pub fn apply(&self, directory: Arc<Directory>) -> Arc<Directory> {
        let is_affected = |it: &Endpoint| it.is_ready() && self.contains(&it.datacentre);
        if !directory.iter().any(|it| is_affected(it)) {
            return directory;
        }
        let endpoints = directory.iter().map(|it| match is_affected(it) {
            true => Endpoint { readiness: Readiness::Evacuated, ..(**it).clone() },
            false => (**it).clone(),
        });
        Arc::new(Directory::new(endpoints))
    }
}
