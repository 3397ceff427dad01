//! The messages that instances send to one another.
//!
//! Durations travel in milliseconds and never as points in time, since clocks are not shared. Each
//! part of the core has a family of messages of its own.

pub mod burn;
pub mod config;
pub mod dispatch;
pub mod heartbeat;
pub mod hold;
pub mod limit;
pub mod member;

/// A message with the instance that sent it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Name of the sending instance.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Incarnation of the sending instance; a restart takes a higher one.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The message itself; none from a newer version that this one does not know.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// The body of a message, by the part of the core that it is for.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Members and their health.
    #[prost(message, tag = "3")]
    Member(member::Message),
    /// Distribution of the configuration.
    #[prost(message, tag = "4")]
    Config(config::Message),
    /// Rights to spend.
    #[prost(message, tag = "5")]
    Limit(limit::Message),
    /// Engine memory that instances hold.
    #[prost(message, tag = "6")]
    Hold(hold::Message),
    /// Queueing and placement.
    #[prost(message, tag = "7")]
    Dispatch(dispatch::Message),
    /// Service-level counts of a leaving instance.
    #[prost(message, tag = "8")]
    Burn(burn::Message),
}
