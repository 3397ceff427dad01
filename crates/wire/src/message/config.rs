//! Distribution of the configuration among instances.
//!
//! A receiver that is a few generations behind gets a [`Delta`]; any other gets an [`Index`] and
//! then fetches the chunks that differ.

/// A message about the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload; none if it is of a kind that this version does not support.
    #[prost(oneof = "Kind", tags = "1, 3, 4, 5, 6")]
    pub kind: Option<Kind>,
}

/// The payload of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// Requests a newer configuration.
    #[prost(message, tag = "1")]
    Fetch(Fetch),
    /// The changes from the requester's generation to a newer one.
    #[prost(message, tag = "3")]
    Delta(Delta),
    /// The chunk hashes of a newer generation.
    #[prost(message, tag = "4")]
    Index(Index),
    /// Requests chunks of a generation.
    #[prost(message, tag = "5")]
    FetchChunks(FetchChunks),
    /// One chunk.
    #[prost(message, tag = "6")]
    Chunk(Chunk),
}

/// Requests a configuration newer than the sender's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {
    /// Generation in force at the sender; 0 requests the whole configuration.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// The changes from one generation to a newer one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Generation to which the changes apply.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Generation that results.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Digest of the resulting configuration: a hash over all its chunk hashes.
    #[prost(string, tag = "3")]
    pub digest: String,
    /// The changed objects, in the order in which the changes apply.
    #[prost(message, repeated, tag = "4")]
    pub changes: Vec<Change>,
}

/// A changed object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Change {
    /// Kind of the object, such as `route`.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name of the object.
    #[prost(string, tag = "2")]
    pub name: String,
    /// New value as JSON text; none for a removal.
    #[prost(string, optional, tag = "3")]
    pub value: Option<String>,
}

/// The chunk hashes of a configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Index {
    /// Generation of the configuration.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// One entry for each chunk that is not empty.
    #[prost(message, repeated, tag = "2")]
    pub chunks: Vec<Entry>,
}

/// The hash of one chunk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Identifier of the bucket, such as `route-3`.
    #[prost(string, tag = "1")]
    pub bucket: String,
    /// Hash of the chunk's JSON text, in hexadecimal digits.
    #[prost(string, tag = "2")]
    pub hash: String,
}

/// Requests chunks of a generation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FetchChunks {
    /// Generation of the chunks.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Identifiers of the buckets.
    #[prost(string, repeated, tag = "2")]
    pub buckets: Vec<String>,
}

/// The content of one bucket.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// Identifier of the bucket.
    #[prost(string, tag = "1")]
    pub bucket: String,
    /// JSON array of the bucket's objects, ordered by name.
    #[prost(string, tag = "2")]
    pub text: String,
}
