//! Messages between an instance that received requests (the origin) and the dispatcher of a pool in
//! its data centre.

/// A message on queueing and placement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload; none if it is of a kind that this version does not support.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<Kind>,
}

/// Payload of a dispatch message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// Origin to dispatcher: a request needs endpoints.
    #[prost(message, tag = "1")]
    Submit(Submit),
    /// Dispatcher to origin: a request is placed.
    #[prost(message, tag = "2")]
    Placed(Placed),
    /// Dispatcher to origin: a request is refused.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// Origin to dispatcher: a request no longer waits for endpoints or uses them.
    #[prost(message, tag = "4")]
    Released(Released),
    /// Dispatcher to origin: a request is queued.
    #[prost(message, tag = "5")]
    Queued(Queued),
    /// Origin to dispatcher: a step of a placed request has an outcome.
    #[prost(message, tag = "6")]
    Progress(Progress),
    /// Origin to dispatcher: the running requests of the sender in a pool.
    #[prost(message, tag = "7")]
    Inventory(Inventory),
}

/// Submits a request for placement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submit {
    /// Identifier of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt to be placed, from 1.
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
    /// Largest number of tokens that it may generate.
    #[prost(uint64, tag = "6")]
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes, one for each full block.
    #[prost(fixed64, repeated, tag = "7")]
    pub prefixes: Vec<u64>,
    /// Milliseconds since the request arrived.
    #[prost(uint64, tag = "8")]
    pub age_ms: u64,
    /// Names of endpoints at which earlier attempts failed; decode and plain ones are ranked last.
    #[prost(string, repeated, tag = "9")]
    pub excluded: Vec<String>,
}

/// Names the endpoints chosen for a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Placed {
    /// Identifier of the request.
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
    /// Reason for the choice, for the request's trace.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// Reports that a request is refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Identifier of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Name of the error kind.
    #[prost(string, tag = "3")]
    pub kind: String,
    /// Milliseconds after which a retry may succeed.
    #[prost(uint64, tag = "4")]
    pub retry_ms: u64,
}

/// Releases what is reserved for a request, or withdraws its submission.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Released {
    /// Identifier of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Tokens that it generated.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Whether an endpoint failed.
    #[prost(bool, tag = "4")]
    pub failed: bool,
}

/// Acknowledges that a request is in the dispatcher's queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Queued {
    /// Identifier of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

/// Reports the outcome of a step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Progress {
    /// Identifier of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Outcome of the step, a value of [`Step`].
    #[prost(enumeration = "Step", tag = "3")]
    pub step: i32,
    /// Cached prompt tokens for `Computed`, generated tokens for `Completed`, otherwise zero.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
}

/// Outcome of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Step {
    /// The call or the stream failed.
    Failed = 0,
    /// The prompt is computed.
    Computed = 1,
    /// The KV cache has been transferred to the decode endpoint.
    Imported = 2,
    /// The first part of the answer has been relayed.
    FirstByte = 3,
    /// The answer is complete.
    Completed = 4,
}

/// Lists the sender's placed requests in a pool, so that a dispatcher can rebuild its record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Inventory {
    /// Name of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// All placed requests of the sender in the pool.
    #[prost(message, repeated, tag = "2")]
    pub running: Vec<Running>,
}

/// A placed request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Running {
    /// Its submission, without prefixes and excluded endpoints.
    #[prost(message, optional, tag = "1")]
    pub submit: Option<Submit>,
    /// Name of the prefill endpoint; empty for a plain request.
    #[prost(string, tag = "2")]
    pub prefill: String,
    /// Name of the decode or plain endpoint.
    #[prost(string, tag = "3")]
    pub run: String,
}
