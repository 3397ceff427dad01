//! Engine memory that instances hold, told to peers before it is taken.

/// A message on holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender is about to take engine memory.
    #[prost(message, tag = "1")]
    Take(Take),
    /// The sender has noted a hold.
    #[prost(message, tag = "2")]
    Noted(Named),
    /// The hold is gone.
    #[prost(message, tag = "3")]
    Gone(Named),
    /// The sender has noted this hold long ago, or hears nothing: is it still there?
    #[prost(message, tag = "4")]
    Ask(Named),
    /// The sender took the receiver for gone and has cancelled its hold.
    #[prost(message, tag = "5")]
    Cancelled(Named),
}

/// Engine memory that an instance is about to take.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Take {
    /// Request that it is for.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Names of the endpoints.
    #[prost(string, repeated, tag = "3")]
    pub endpoints: Vec<String>,
}

/// Names a hold.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Named {
    /// Request that it is for.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}
