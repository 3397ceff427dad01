//! Calls to the platform's object API, and its answers.

use serde_json::Value;
use siskinstile_macros::value;

use crate::{member, object::Name, request};

/// Tells which part of the core made a call; the answer carries it back.
#[value(eq)]
pub enum Tag {
    /// The watch on the manifest, by its number among those of the instance.
    Watch(u64),
    /// The manifest in force.
    Manifest,
    /// The index of the manifest with this generation.
    Index(u64),
    /// A chunk of the manifest with this generation.
    Chunk(u64, crate::chunk::Bucket),
    /// A step of the publisher, by its number among those of the instance.
    Publish(u64, crate::publish::Step),
    /// The platform's list of instances.
    Instances,
    /// The participants among which rates are divided.
    Participants,
    /// The claim of a non-idempotent request.
    Claim(request::Id),
    /// The read of a claim that may be another's.
    ReadClaim(request::Id),
    /// The outcome recorded in a claim.
    RecordOutcome(request::Id),
    /// The marks by which the age of claims is told, and the list of claims.
    Sweep,
    /// The removal of an old claim.
    SweepDelete,
}

/// A call to the platform.
#[value]
pub enum Call {
    /// Reads every object of a kind.
    List {
        /// Kind of the objects.
        kind: Name,
    },
    /// Reads one object.
    Get {
        /// Kind of the object.
        kind: Name,
        /// Name of the object.
        name: Name,
    },
    /// Writes one object.
    Put {
        /// Kind of the object.
        kind: Name,
        /// Name of the object.
        name: Name,
        /// New value.
        value: Value,
        /// Version that it must have, 0 for none yet; no condition if none.
        if_version: Option<u64>,
    },
    /// Removes one object.
    Delete {
        /// Kind of the object.
        kind: Name,
        /// Name of the object.
        name: Name,
        /// Version that it must have.
        if_version: Option<u64>,
    },
    /// Waits for changes.
    Watch {
        /// Kinds to watch.
        kinds: Vec<Name>,
        /// Revision after which changes count.
        since: u64,
    },
    /// Reads the list of instances.
    Instances,
}

/// An object as the platform holds it.
#[value]
pub struct Object {
    /// Kind of the object.
    pub kind: Name,
    /// Name of the object.
    pub name: Name,
    /// Version, the store's revision at its last write.
    pub version: u64,
    /// Value; none if it has been removed.
    pub value: Option<Value>,
}

/// An answer of the platform.
#[value]
pub enum Answer {
    /// Objects of a list or a watch, as of a revision.
    Objects {
        /// Revision of the store.
        revision: u64,
        /// The objects, or the changes.
        objects: Vec<Object>,
    },
    /// One object.
    Object(Object),
    /// The write has taken effect.
    Written {
        /// New version.
        version: u64,
    },
    /// The object has another version than the write's condition.
    Conflict,
    /// No such object.
    Missing,
    /// The watch's revision is too old.
    Expired,
    /// The list of instances.
    Instances(Vec<member::Record>),
    /// No answer: a write may or may not have taken effect.
    Lost,
}
