//! Requests of callers, the steps of their attempts and their state.

use std::{fmt, sync::Arc, time::Duration};

use siskinstile_macros::value;

use crate::{
    Instant, burn,
    key::Secret,
    name_hash::NameHash,
    object::{Endpoint, Name, Route},
    quarantine::Subject,
};

/// Random identifier of a request, unique within the fleet.
#[value(id, serde)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Id {
    /// Parses the 16 hexadecimal digits written by [`Display`](fmt::Display).
    pub fn parse(text: &str) -> Option<Id> {
        match text.len() {
            16 => u64::from_str_radix(text, 16).ok().map(Id),
            _ => None,
        }
    }
}

/// Target of a request: a model, or a method and path of a plain service.
#[value(eq)]
pub enum Target {
    /// A completion by a model.
    Model(Name),
    /// A call of a plain service.
    Path {
        /// HTTP method.
        method: Name,
        /// Path without the query.
        path: Name,
    },
}

/// A request as received from a caller.
#[value]
pub struct Arrival {
    /// Identifier of the request.
    pub id: Id,
    /// API key that the request was sent with.
    pub key: Option<Secret>,
    /// The model or path that is called.
    pub target: Target,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Name>,
    /// Digest of method, path and body, which detects reuse of an idempotency key.
    pub digest: u64,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes, one per block of 2,000 tokens; each covers the prompt from
    /// its start to the end of the block.
    pub prefixes: Arc<[u64]>,
}

impl Arrival {
    /// Returns the request, sent by a team, as it may be quarantined.
    pub fn subject(&self, team: Option<&str>) -> Subject {
        let digest = self.digest.to_le_bytes();
        Subject::request(NameHash::of_all([&digest[..], team.unwrap_or_default().as_bytes()]))
    }
}

/// A step of an attempt, executed by an endpoint.
#[value(eq)]
pub enum Step {
    /// Computes the KV cache of the prompt.
    Prefill,
    /// Transfers the KV cache from a prefill endpoint to the decode endpoint.
    Import {
        /// Name of the prefill result.
        kv: Name,
        /// Address of the prefill endpoint.
        from: Name,
    },
    /// Streams tokens to the caller.
    Decode {
        /// Index of the first token to be streamed.
        from_index: u64,
    },
    /// Forwards the request to a plain service and relays the answer.
    Forward,
}

/// The progress or result of a step.
#[value(eq)]
pub enum Outcome {
    /// The KV cache of the prompt has been computed.
    Computed {
        /// Name of the prefill result.
        kv: Name,
        /// Number of prompt tokens found in the prefix cache.
        cached: u64,
    },
    /// The KV cache has been transferred to the decode endpoint.
    Imported,
    /// The first part of the answer has been relayed.
    FirstByte,
    /// The complete answer has been relayed.
    Completed {
        /// Number of tokens generated.
        tokens: u64,
        /// The answer, if it was to be kept for the claim and is small enough.
        answer: Option<Arc<Response>>,
    },
    /// The endpoint declined to execute the step.
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The call failed or its stream was interrupted.
    Failed {
        /// Whether any byte of the call may have been sent.
        sent: bool,
        /// Index of the next token to be sent to the caller.
        next_index: u64,
        /// Whether the endpoint has ended: it refused a connection right afterwards.
        ended: bool,
    },
}

/// A complete answer of a plain service, recorded in a claim.
#[value(eq, serde)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; empty if there was none.
    pub content_type: String,
    /// Body as text; only text bodies of bounded size are recorded.
    pub body: String,
}

/// A report on a step of an attempt.
#[value(eq)]
pub struct Report {
    /// Identifier of the request.
    pub request: Id,
    /// Attempt number; reports of earlier attempts are discarded.
    pub attempt: u32,
    /// The progress or result of the step.
    pub outcome: Outcome,
}

/// The phase of processing that a request is in.
#[value(eq)]
pub enum Phase {
    /// Waiting for tokens of the team's rate to be borrowed from other instances.
    Admitting,
    /// Waiting for the platform to confirm its claim.
    Claiming,
    /// Queued for placement at endpoints.
    Queued,
    /// Waiting for a peer to acknowledge the hold of engine memory.
    Holding,
    /// The prompt is being computed.
    Prefill,
    /// The KV cache is being transferred.
    Import,
    /// Tokens are being generated and streamed.
    Decode,
    /// A plain service is processing the request.
    Forward,
}

impl Phase {
    /// Returns the burn cause that time in this phase is attributed to.
    pub const fn cause(&self) -> burn::Cause {
        match self {
            Phase::Admitting | Phase::Queued | Phase::Holding => burn::Cause::Queue,
            Phase::Claiming => burn::Cause::Platform,
            Phase::Prefill => burn::Cause::Prefill,
            Phase::Import => burn::Cause::Transfer,
            Phase::Decode => burn::Cause::Decode,
            Phase::Forward => burn::Cause::Endpoint,
        }
    }
}

/// The endpoints chosen for an attempt.
#[value]
pub struct Placement {
    /// Prefill endpoint; none for a request to a plain service.
    pub prefill: Option<Arc<Endpoint>>,
    /// Decode endpoint, or the endpoint of a plain service.
    pub run: Arc<Endpoint>,
}

/// The state of an accepted request until it is answered.
#[value]
pub struct Request {
    /// The request as received.
    pub arrival: Arrival,
    /// Route that the request matches.
    pub route: Arc<Route>,
    /// Name of the team; none on an open route without a key.
    pub team: Option<Name>,
    /// Name of the API key that the request was sent with.
    pub key_name: Option<Name>,
    /// When the request was received.
    pub arrived: Instant,
    /// When the first part of the answer was relayed.
    pub first_byte: Option<Instant>,
    /// Phase that the request is in now.
    pub phase: Phase,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// Number of failed steps since the last placement by the dispatcher or the last new token.
    pub step_retries: u32,
    /// Endpoints of the current attempt.
    pub placement: Option<Placement>,
    /// Name of the current attempt's prefill result.
    pub kv: Option<Name>,
    /// Index of the next token to be sent to the caller.
    pub next_index: u64,
    /// Tokens charged to the team in advance, less those refunded.
    pub charged: u64,
    /// Version of the request's claim on the platform, if known.
    pub claim_version: Option<u64>,
    /// Endpoints at which the request failed; ranked last for its next attempts.
    pub excluded: Vec<Name>,
    /// Whether any byte of any attempt may have been sent.
    pub sent: bool,
    /// When the current phase began.
    pub phase_since: Instant,
    /// Time spent before the first part of the answer, by burn cause.
    pub time_by_cause: [Duration; burn::Cause::ALL.len()],
    /// When the prefill result was reported.
    pub prefilled_at: Instant,
    /// Peers that record the engine memory held by the current attempt.
    pub hold_peers: Vec<HoldPeer>,
    /// Number of writes of the claim. If it is above zero and the version is unknown, the claim may
    /// or may not exist.
    pub claim_writes: u32,
}

impl Request {
    /// Returns the request as it may be quarantined.
    pub fn subject(&self) -> Subject {
        self.arrival.subject(self.team.as_deref())
    }

    /// Moves to a phase and attributes the time spent in the previous one to its burn cause.
    pub fn enter(&mut self, now: Instant, phase: Phase) {
        if self.first_byte.is_none() {
            self.time_by_cause[self.phase.cause() as usize] += now.since(self.phase_since);
        }
        self.phase = phase;
        self.phase_since = now;
    }

    /// Returns the cause that took the most time until `first_byte`, the start of the answer.
    pub fn slowest_cause(&self, first_byte: Instant) -> burn::Cause {
        let time_spent = |cause: &burn::Cause| {
            let in_phase = if *cause == self.phase.cause() {
                first_byte.since(self.phase_since)
            } else {
                Duration::ZERO
            };
            self.time_by_cause[*cause as usize] + in_phase
        };
        burn::Cause::ALL.into_iter().max_by_key(time_spent).unwrap_or(burn::Cause::Queue)
    }

    /// Returns whether a call to an endpoint is in progress.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Import | Phase::Decode | Phase::Forward)
    }
}

/// A peer that records the hold of an attempt.
#[value]
pub struct HoldPeer {
    /// Name of the peer.
    pub peer: Name,
    /// Whether the peer has acknowledged the hold.
    pub acknowledged: bool,
    /// Number of times that the hold was sent to the peer.
    pub sends: u32,
}

impl HoldPeer {
    /// Creates the entry of a peer to which the hold has not been sent yet.
    pub fn new(peer: Name) -> HoldPeer {
        HoldPeer { peer, acknowledged: false, sends: 0 }
    }
}
