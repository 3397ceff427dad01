//! Holds: reservations of engine memory, announced to peers before the memory is used.
//!
//! If the instance that placed a hold fails, its peers cancel the hold at the endpoints.

/// A message about holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload; none if it is of a kind that this version does not support.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<Kind>,
}

/// The payload of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender is about to reserve engine memory and waits for [`Kind::Ack`].
    #[prost(message, tag = "1")]
    Reserve(Reserve),
    /// The sender has recorded a hold of the receiver, or confirms that its own still exists.
    #[prost(message, tag = "2")]
    Ack(HoldId),
    /// The hold no longer exists.
    #[prost(message, tag = "3")]
    Released(HoldId),
    /// Requests confirmation that a hold of the receiver still exists; sent for old holds and when
    /// no message has arrived from the receiver.
    #[prost(message, tag = "4")]
    Probe(HoldId),
    /// The sender considered the receiver failed and has cancelled its hold at the endpoints.
    #[prost(message, tag = "5")]
    Cancelled(HoldId),
}

/// Announces a reservation of engine memory.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reserve {
    /// Identifier of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Names of the endpoints.
    #[prost(string, repeated, tag = "3")]
    pub endpoints: Vec<String>,
}

/// Identifies a hold of the instance that made the request's attempt.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HoldId {
    /// Identifier of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}
