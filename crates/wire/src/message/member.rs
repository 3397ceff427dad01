//! Heartbeats between instances.

use super::heartbeat::Suspect;

/// A message about membership.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload; none if it is of a kind that this version does not support.
    #[prost(oneof = "Kind", tags = "1")]
    pub kind: Option<Kind>,
}

/// The payload of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// A heartbeat of the sender.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
}

/// A periodic message by which an instance shows that it is alive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Generation of the configuration in force at the sender.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Address for messages to the sender, `IP:PORT`; empty if the sender does not know it.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Data centre of the sender.
    #[prost(string, tag = "4")]
    pub datacentre: String,
    /// Milliseconds since the platform last answered the sender, or an instance whose heartbeat
    /// reported that to the sender; none if it never has.
    #[prost(uint64, optional, tag = "5")]
    pub platform_age_ms: Option<u64>,
    /// Ages of the heartbeats that the sender has received, directly or relayed; empty in data
    /// centres where every instance sends to every other one.
    #[prost(message, repeated, tag = "6")]
    pub peer_ages: Vec<PeerAge>,
    /// Requests that the sender suspects of crashing endpoints, or has quarantined.
    #[prost(message, repeated, tag = "7")]
    pub suspects: Vec<Suspect>,
}

/// The age of another instance's last heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerAge {
    /// Hash of the instance's name.
    #[prost(fixed32, tag = "1")]
    pub name_hash: u32,
    /// Milliseconds since its last heartbeat.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}
