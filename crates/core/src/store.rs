//! Calls to the platform's object store and their answers.

use serde_json::Value;
use siskinstile_macros::value;

use crate::{
    chunk::Bucket,
    member,
    object::{Kind, Name},
    request,
};

/// Identifies the part of the core that made a call; returned with the answer.
#[value(eq)]
pub enum Tag {
    /// The watch on the manifest, with its sequence number within the instance.
    Watch(u64),
    /// The current manifest.
    Manifest,
    /// The chunk index of the manifest of this generation.
    Index(u64),
    /// A chunk of the manifest of this generation.
    Chunk(u64, Bucket),
    /// A step of a publication, with the publication's sequence number within the instance.
    Publish(u64, PublishStep),
    /// The platform's list of instances.
    Instances,
    /// The participants among which rates are divided.
    Participants,
    /// The write of a non-idempotent request's claim.
    Claim(request::Id),
    /// The read of a claim after a conflict or a lost answer.
    ReadClaim(request::Id),
    /// The write of an outcome into a claim, or the read of the claim after a conflict.
    RecordOutcome(request::Id),
    /// A call of the sweeper: the read or write of its time marks, or the list of claims.
    Sweep,
    /// The deletion of an expired claim by the sweeper.
    SweepDelete,
}

/// A call of the publisher to the platform.
#[value(id)]
pub enum PublishStep {
    /// A read or write of the lease.
    Lease,
    /// The list of all objects of one kind.
    Objects(Kind),
    /// The watch on all kinds; its number distinguishes it from earlier watches, whose answers are
    /// ignored.
    Watch(u64),
    /// The list of object statuses.
    Statuses,
    /// The write or removal of an object's status.
    Status,
    /// The read of the manifest at the start of a run.
    Manifest,
    /// The read of the index that the manifest names.
    Index,
    /// The write of a chunk.
    PutChunk(Bucket),
    /// The write of the index.
    PutIndex,
    /// The conditional write of the manifest.
    PutManifest,
    /// The read that determines whether a manifest write with a lost answer took effect.
    Verify,
    /// The removal of an unreferenced chunk.
    Remove,
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
        /// Required current version, 0 if the object must not exist; unconditional if none.
        if_version: Option<u64>,
    },
    /// Removes one object.
    Delete {
        /// Kind of the object.
        kind: Name,
        /// Name of the object.
        name: Name,
        /// Required current version; unconditional if none.
        if_version: Option<u64>,
    },
    /// Waits for changes to objects of the given kinds.
    Watch {
        /// Kinds to watch.
        kinds: Vec<Name>,
        /// Store revision after which changes are reported.
        since: u64,
    },
    /// Reads the platform's list of instances.
    Instances,
}

/// An object as stored by the platform.
#[value]
pub struct Object {
    /// Kind of the object.
    pub kind: Name,
    /// Name of the object.
    pub name: Name,
    /// Version: the store revision of its last write.
    pub version: u64,
    /// Value; none if the object has been deleted.
    pub value: Option<Value>,
}

/// The answer to a platform call.
#[value]
pub enum Answer {
    /// The result of a list or a watch.
    Objects {
        /// Store revision that the result reflects.
        revision: u64,
        /// The listed objects, or the changed ones for a watch.
        objects: Vec<Object>,
    },
    /// The object that was read.
    Object(Object),
    /// The write succeeded.
    Written {
        /// New version.
        version: u64,
    },
    /// The object's version does not match the condition of the write.
    Conflict,
    /// The object does not exist.
    Missing,
    /// The revision of the watch is older than the store's history.
    Expired,
    /// The platform's list of instances.
    Instances(Vec<member::Record>),
    /// No answer was received; a write may or may not have taken effect.
    Lost,
}
