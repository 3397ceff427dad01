//! Calls to the platform's store and its answers.

use std::time::Duration;

use serde_json::Value;
use siskinstile_gateway::Name;
pub use siskinstile_gateway::replication::Position;
use siskinstile_macros::value;

/// A kind of objects in the store.
#[value(id)]
pub enum Kind {
    /// The operators' configuration.
    Configuration,
    /// Workers and engines that requests are sent to.
    Endpoints,
    /// Instances of the gateway.
    Members,
    /// Leases that instances contend for.
    Leases,
    /// Quarantined parts of prompts.
    Quarantine,
    /// Data centres that operators have evacuated.
    Evacuations,
    /// The journal of the versions at which streams began.
    Origins,
}

impl Kind {
    /// Returns the name of the kind in messages between instances and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Configuration => "configuration",
            Kind::Endpoints => "endpoints",
            Kind::Members => "members",
            Kind::Leases => "leases",
            Kind::Quarantine => "quarantine",
            Kind::Evacuations => "evacuations",
            Kind::Origins => "origins",
        }
    }
}

/// An object in the store.
#[value]
pub struct Object {
    /// Name, unique within the kind.
    pub name: Name,
    /// Position in the store of the last change to the object.
    pub position: Position,
    /// The object's value, as its owner wrote it.
    pub value: Value,
}

/// A call to the store.
#[value]
pub enum Call {
    /// Lists the objects of a kind.
    List {
        /// The kind.
        kind: Kind,
        /// Name after which the page starts; `None` for the first page.
        after: Option<Name>,
        /// Whether a copy that is a few seconds out of date is acceptable.
        stale: bool,
    },
    /// Waits for changes.
    Watch {
        /// The kind.
        kind: Kind,
        /// Only changes after this revision are returned; it belongs to the store's present era.
        since: u64,
        /// Longest time that the store waits for a change before it returns an empty answer.
        wait: Duration,
    },
    /// Reads one object.
    Read {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Name,
    },
    /// Creates an object; a conflict if it exists.
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
        /// Revision that the object must have; `None` for an unconditional write.
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

/// An answer of the store.
#[value]
pub enum Answer {
    /// A page of a list.
    Page {
        /// The objects that can be read.
        items: Vec<Object>,
        /// Whether further pages follow.
        more: bool,
        /// Name after which the next page starts; `None` if there is none, or if no object of this page has a name.
        resume_point: Option<Name>,
        /// Position in the store at which the page was read.
        position: Position,
    },
    /// Changes returned by a watch; empty if its wait ended without one.
    Events {
        /// Changed objects, each with whether it was deleted.
        events: Vec<(Object, bool)>,
        /// Position to resume the watch from.
        position: Position,
    },
    /// The store no longer has the history that the watch needs; a new list is required.
    Compacted,
    /// The object as it was read or written.
    Object(Object),
    /// The object does not exist, or was deleted by the call.
    Missing,
    /// The object does not have the expected revision; its current state, if the store returned it.
    Conflict(Option<Object>),
}

/// Why a call has no usable answer.
#[value(id)]
pub enum Fault {
    /// The store refused the call and did nothing.
    Refused,
    /// No answer arrived, or an unreadable one: the call may have taken effect or may still do so.
    Lost,
    /// The call was given up here, which says nothing of the store.
    GivenUp,
}
