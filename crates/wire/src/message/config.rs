//! Distribution of the configuration among instances.

/// A message on the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1, 3, 4, 5, 6")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender wants a newer configuration.
    #[prost(message, tag = "1")]
    Fetch(Fetch),
    /// What leads from the asking instance's configuration to a newer one.
    #[prost(message, tag = "3")]
    Delta(Delta),
    /// The hashes of a newer configuration's chunks.
    #[prost(message, tag = "4")]
    Index(Index),
    /// The sender wants chunks.
    #[prost(message, tag = "5")]
    Want(Want),
    /// A chunk.
    #[prost(message, tag = "6")]
    Chunk(Chunk),
}

/// Asks for a configuration newer than the sender's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {
    /// Generation that the sender has.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// What leads from one generation to a newer one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Generation that it starts from.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Generation that it leads to.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Hash over all chunks of the newer one.
    #[prost(string, tag = "3")]
    pub digest: String,
    /// The changed objects.
    #[prost(message, repeated, tag = "4")]
    pub changes: Vec<Change>,
}

/// A changed object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Change {
    /// Kind of the object.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name of the object.
    #[prost(string, tag = "2")]
    pub name: String,
    /// New value as JSON; none for a removal.
    #[prost(string, optional, tag = "3")]
    pub text: Option<String>,
}

/// The hashes of a configuration's chunks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Index {
    /// Its generation.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The chunks.
    #[prost(message, repeated, tag = "2")]
    pub chunks: Vec<Entry>,
}

/// The hash of one chunk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Word of its bucket.
    #[prost(string, tag = "1")]
    pub bucket: String,
    /// Hash of its text.
    #[prost(string, tag = "2")]
    pub hash: String,
}

/// Asks for chunks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Want {
    /// Generation that they are of.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Words of their buckets.
    #[prost(string, repeated, tag = "2")]
    pub buckets: Vec<String>,
}

/// A chunk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// Word of its bucket.
    #[prost(string, tag = "1")]
    pub bucket: String,
    /// Its text.
    #[prost(string, tag = "2")]
    pub text: String,
}
