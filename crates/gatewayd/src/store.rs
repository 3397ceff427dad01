//! Calls to the platform's store and their answers.

use std::time::Duration;

use serde_json::Value;
use siskinstile_gateway::Name;
use siskinstile_macros::value;

/// A kind of objects.
#[value(id)]
pub enum Kind {
    /// The operators' configuration.
    Configuration,
    /// Endpoints.
    Endpoints,
    /// Instances of the system.
    Members,
    /// Leases.
    Leases,
}

impl Kind {
    /// Returns the word that messages between instances and logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Configuration => "configuration",
            Kind::Endpoints => "endpoints",
            Kind::Members => "members",
            Kind::Leases => "leases",
        }
    }
}

/// An object.
#[value]
pub struct Object {
    /// Its name.
    pub name: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Value,
}

/// A call.
#[value]
pub enum Call {
    /// Lists the objects of a kind.
    List {
        /// The kind.
        kind: Kind,
        /// Name after which the list goes on.
        after: Option<Name>,
        /// Whether the answer may be seconds old.
        stale: bool,
    },
    /// Waits for changes.
    Watch {
        /// The kind.
        kind: Kind,
        /// Revision after which changes are wanted.
        since: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Reads an object.
    Read {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Name,
    },
    /// Creates an object that must not exist.
    Create {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Name,
        /// The value.
        value: Value,
    },
    /// Replaces the value of an object.
    Replace {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Name,
        /// Revision that it must have.
        revision: Option<u64>,
        /// The value.
        value: Value,
    },
    /// Removes an object.
    Delete {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Name,
    },
}

/// An answer.
#[value]
pub enum Answer {
    /// Objects of a list.
    Page {
        /// The objects.
        items: Vec<Object>,
        /// Whether the list goes on.
        more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// Changes that were waited for.
    Events {
        /// Objects that have changed; no value where one was removed.
        events: Vec<(Object, bool)>,
        /// Revision to go on from.
        revision: u64,
    },
    /// The history that a watch needs is gone.
    Compacted,
    /// One object, as it is or as it was written.
    Object(Object),
    /// There is no such object.
    Missing,
    /// The condition does not hold; the object as it is.
    Conflict(Option<Object>),
}

/// Why a call has no answer.
#[value(id)]
pub enum Fault {
    /// The store refused it; nothing was done.
    Refused,
    /// No answer came, or none that could be read; the call may have been carried out, or may yet be.
    Lost,
}
