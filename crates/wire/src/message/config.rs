//! Distribution of the configuration among instances.

/// A message on the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1, 2")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender wants a newer configuration.
    #[prost(message, tag = "1")]
    Fetch(Fetch),
    /// The sender hands over a configuration.
    #[prost(message, tag = "2")]
    Manifest(Manifest),
}

/// Asks for a configuration newer than the sender's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {
    /// Generation that the sender has.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// A published configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Manifest {
    /// Generation, which only grows.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The set, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub set: Vec<u8>,
}
