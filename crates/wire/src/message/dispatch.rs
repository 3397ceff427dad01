//! Queueing and placement by the dispatcher of a pool in a data centre.

/// A message on queueing and placement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// A request wants endpoints.
    #[prost(message, tag = "1")]
    Submit(Submit),
    /// A request has endpoints.
    #[prost(message, tag = "2")]
    Placed(Placed),
    /// A request gets none.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// A request no longer waits for endpoints or has left them.
    #[prost(message, tag = "4")]
    Released(Released),
    /// The dispatcher has queued a request.
    #[prost(message, tag = "5")]
    Queued(Queued),
    /// A step of a placed request has come to something.
    #[prost(message, tag = "6")]
    Progress(Progress),
    /// What the sender has running in a pool.
    #[prost(message, tag = "7")]
    Inventory(Inventory),
}

/// Asks for endpoints.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submit {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt that it is for.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Name of the route.
    #[prost(string, tag = "3")]
    pub route: String,
    /// Name of the team; empty on an open route without a key.
    #[prost(string, tag = "4")]
    pub team: String,
    /// Prompt length, in tokens.
    #[prost(uint64, tag = "5")]
    pub prompt_tokens: u64,
    /// Most tokens that it may generate.
    #[prost(uint64, tag = "6")]
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes by block.
    #[prost(fixed64, repeated, tag = "7")]
    pub prefixes: Vec<u64>,
    /// Milliseconds since the request arrived.
    #[prost(uint64, tag = "8")]
    pub age_ms: u64,
    /// Names of endpoints not to be tried first.
    #[prost(string, repeated, tag = "9")]
    pub excluded: Vec<String>,
}

/// Names the endpoints of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Placed {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Name of the prefill endpoint; empty for a plain request.
    #[prost(string, tag = "3")]
    pub prefill: String,
    /// Name of the decode or plain endpoint.
    #[prost(string, tag = "4")]
    pub run: String,
    /// Why these, for the request's trace.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// Tells that a request gets no endpoints.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Word of the error kind.
    #[prost(string, tag = "3")]
    pub kind: String,
    /// Milliseconds after which coming back makes sense.
    #[prost(uint64, tag = "4")]
    pub retry_ms: u64,
}

/// Tells that a request no longer needs what it asked for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Released {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Tokens that it generated.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Whether an endpoint failed it.
    #[prost(bool, tag = "4")]
    pub failed: bool,
}

/// Tells that a request waits in the dispatcher's queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Queued {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

/// Tells what became of a step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Progress {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// What happened.
    #[prost(enumeration = "Step", tag = "3")]
    pub step: i32,
    /// Prompt tokens that were cached, or tokens generated.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
}

/// What happened in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Step {
    /// The call or the stream broke.
    Broken = 0,
    /// The prompt is computed.
    Computed = 1,
    /// The KV cache is at the decode endpoint.
    Imported = 2,
    /// The first token has come.
    First = 3,
    /// The answer has ended.
    Ended = 4,
}

/// Lists the placed requests of the sender in a pool, so that a dispatcher can rebuild its record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Inventory {
    /// Name of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The requests.
    #[prost(message, repeated, tag = "2")]
    pub running: Vec<Running>,
}

/// A placed request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Running {
    /// What it asked for, without its prefixes.
    #[prost(message, optional, tag = "1")]
    pub submit: Option<Submit>,
    /// Name of the prefill endpoint; empty for a plain request.
    #[prost(string, tag = "2")]
    pub prefill: String,
    /// Name of the decode or plain endpoint.
    #[prost(string, tag = "3")]
    pub run: String,
}
