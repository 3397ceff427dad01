//! The messages that instances send to one another.
//!
//! Durations travel in milliseconds and never as points in time, since clocks are not shared.

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
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// The body of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Tells that the sender lives.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// Asks for a newer configuration.
    #[prost(message, tag = "4")]
    Fetch(Fetch),
    /// Hands over a configuration.
    #[prost(message, tag = "5")]
    Manifest(Manifest),
    /// Asks for the right to spend.
    #[prost(message, tag = "6")]
    Ask(Ask),
    /// Hands over a right to spend, which the sender has already given up.
    #[prost(message, tag = "7")]
    Lend(Lend),
    /// Hands back a right to spend, which the sender has already given up.
    #[prost(message, tag = "8")]
    Return(Return),
    /// Tells of engine memory that the sender is about to take.
    #[prost(message, tag = "9")]
    Hold(Hold),
    /// Confirms that a hold has been noted.
    #[prost(message, tag = "10")]
    Held(Held),
    /// Tells that a hold is gone.
    #[prost(message, tag = "11")]
    Drop(Held),
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
    /// The manifest and its chunks, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub set: Vec<u8>,
}

/// Asks for the right to spend tokens of a team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens wanted.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the request among those of the sender.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// Hands over the right to spend tokens of a team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lend {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens handed over; zero for a refusal.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the request that this answers.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Milliseconds after which asking again makes sense, for a refusal.
    #[prost(uint64, tag = "4")]
    pub retry_ms: u64,
}

/// Hands back the right to spend tokens of a team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Return {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens handed back.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of this return among those of the sender.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// Engine memory that an instance is about to take.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hold {
    /// Request that it is for.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Addresses of the endpoints.
    #[prost(string, repeated, tag = "3")]
    pub endpoints: Vec<String>,
}

/// Names a hold.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Held {
    /// Request that it is for.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}
