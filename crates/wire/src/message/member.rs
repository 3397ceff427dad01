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
}
