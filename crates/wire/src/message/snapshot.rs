//! Copies of the store's objects that the gateways of a fleet send to one another.

/// An instance's copy of the platform's objects of one kind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// Store revision of the copy.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Objects that have changed since the requested revision.
    #[prost(message, repeated, tag = "2")]
    pub objects: Vec<Object>,
    /// Names of all objects of the kind; objects that are not among them have been removed.
    #[prost(string, repeated, tag = "3")]
    pub names: Vec<String>,
    /// Era of the store to which `revision` belongs.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Objects among `names` that the store no longer has and that the sender keeps for a while.
    #[prost(message, repeated, tag = "5")]
    pub kept: Vec<Kept>,
    /// Whether the sender is busy, so that this is no snapshot; the only other fields are then
    /// `revision`, `era` and `holders`.
    #[prost(bool, tag = "6")]
    pub busy: bool,
    /// Addresses of instances that should have the same.
    #[prost(string, repeated, tag = "7")]
    pub holders: Vec<String>,
}

/// An object that its sender keeps for a while after the store has lost it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Kept {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Milliseconds for which it is still kept.
    #[prost(uint64, tag = "2")]
    pub remaining_ms: u64,
}

/// An object of the platform's store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Object {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value of the object, in JSON; compressed by zstd if `text_bytes` is set.
    #[prost(bytes = "vec", tag = "3")]
    pub value: Vec<u8>,
    /// Era of the store to which `revision` belongs.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Size of the value before its compression, in bytes; 0 if it is not compressed.
    #[prost(uint64, tag = "5")]
    pub text_bytes: u64,
    /// Earlier version whose text is the prefix for the compression; none for no prefix.
    #[prost(message, optional, tag = "6")]
    pub base: Option<Version>,
}

/// A version of an object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Version {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Era of the store to which `revision` belongs.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// Store revision of the version.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// A request for a snapshot from a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// Kind of the requested objects.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Store revision up to which the sender has them; 0 for none.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Era of the store to which `since` belongs.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// Versions of large objects that the sender has, which may serve as prefixes for compression.
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<Version>,
    /// Address of the sender for messages of other instances; none from earlier versions, which read
    /// neither compressed objects nor referrals.
    #[prost(string, tag = "5")]
    pub address: String,
}

impl Pull {
    /// Returns whether the sender reads compressed objects and referrals.
    pub fn reads_all(&self) -> bool {
        !self.address.is_empty()
    }
}
