//! Endpoints that may have restarted with another version since their entries were written.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Directory, Name, call::Outcome, directory::Endpoint};

/// Endpoints that have refused or reset a connection, or have another start than listed, each with its start and
/// the number of its entry then.
#[value(default)]
pub struct Unverified {
    endpoints: IndexMap<Name, (Option<u64>, Option<u64>)>,
}

impl Unverified {
    /// Records how a call to an endpoint has ended.
    pub fn record(&mut self, endpoint: &Endpoint, outcome: &Outcome) {
        // One that has not answered in time still holds its connection, and one that has too many was not called.
        let has_broken = match outcome {
            Outcome::Failed { sent, unresponsive, .. } => sent != unresponsive,
            _ => false,
        };
        if has_broken {
            self.record_start(endpoint);
        }
    }

    /// Records that an endpoint has started again since its entry was written, or does not tell.
    pub fn record_start(&mut self, endpoint: &Endpoint) {
        let entry = (endpoint.started_at_ms, endpoint.sequence);
        self.endpoints.insert(endpoint.id.clone(), entry);
    }

    /// Records a new list: endpoints with a newer entry, or none, are removed.
    pub fn record_list(&mut self, directory: &Directory) {
        self.endpoints.retain(|id, (started_at_ms, sequence)| {
            directory
                .get(id)
                .is_some_and(|it| it.started_at_ms == *started_at_ms && it.sequence <= *sequence)
        });
    }

    /// Returns the names of the endpoints, which must not resume streams.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.endpoints.keys()
    }

    /// Returns whether an endpoint is among them.
    pub fn contains(&self, id: &str) -> bool {
        self.endpoints.contains_key(id)
    }
}
