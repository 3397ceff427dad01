//! Members and their health.

/// A message on members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender lives.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
}

/// Tells that an instance lives.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Generation of the configuration in force at the sender.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Address for messages to the sender; empty if it does not know it.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Data centre of the sender.
    #[prost(string, tag = "4")]
    pub datacentre: String,
    /// Milliseconds since the sender, or one that it heard of, reached the platform.
    #[prost(uint64, optional, tag = "5")]
    pub platform_age_ms: Option<u64>,
    /// Others that the sender has heard of, in data centres where not all hear one another.
    #[prost(message, repeated, tag = "6")]
    pub others: Vec<Other>,
}

/// Another instance that was heard of.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Other {
    /// Hash of its name.
    #[prost(fixed32, tag = "1")]
    pub hash: u32,
    /// Milliseconds since it was heard of.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}
