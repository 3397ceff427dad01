//! The messages that instances exchange.
//!
//! Messages contain durations in milliseconds and never points in time, since the clocks of
//! instances are not synchronised. Each part of the core has its own family of messages.

pub mod burn;
pub mod config;
pub mod dispatch;
pub mod heartbeat;
pub mod hold;
pub mod limit;
pub mod member;
pub mod snapshot;

/// A message with the instance that sent it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Name of the sending instance.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Incarnation of the sending instance, which increases with each restart.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The message; none if it is of a type that this version does not support.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// The body of a message, by the part of the core that handles it.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Heartbeats.
    #[prost(message, tag = "3")]
    Member(member::Message),
    /// Distribution of the configuration.
    #[prost(message, tag = "4")]
    Config(config::Message),
    /// Loans of teams' rates.
    #[prost(message, tag = "5")]
    Limit(limit::Message),
    /// Holds: reservations of engine memory.
    #[prost(message, tag = "6")]
    Hold(hold::Message),
    /// Queueing and placement.
    #[prost(message, tag = "7")]
    Dispatch(dispatch::Message),
    /// Service-level counts that a leaving instance transfers to a peer.
    #[prost(message, tag = "8")]
    Burn(burn::Message),
}
