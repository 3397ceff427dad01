//! A caller's request and its attempts.

use std::{fmt, sync::Arc, time::Duration};

use siskinstile_macros::value;

use crate::{
    Instant, burn,
    key::Secret,
    object::{Endpoint, Name, Route},
};

/// Identifies a request within the fleet; random.
#[value(id, serde)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Id {
    /// Reads the 16 hexadecimal digits that [`Display`](fmt::Display) writes.
    pub fn parse(text: &str) -> Option<Id> {
        match text.len() {
            16 => u64::from_str_radix(text, 16).ok().map(Id),
            _ => None,
        }
    }
}

/// What a request asks for.
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

/// A request as it arrives.
#[value]
pub struct Arrival {
    /// Its identifier.
    pub id: Id,
    /// The key that came with it.
    pub key: Option<Secret>,
    /// What it asks for.
    pub target: Target,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Name>,
    /// Digest of method, path and body, which tells a reused idempotency key.
    pub digest: u64,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that it may generate.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes, one a piece of 2,000 tokens, each covering all before it.
    pub prefixes: Arc<[u64]>,
}

/// A step of an attempt that an endpoint carries out.
#[value(eq)]
pub enum Step {
    /// Computes the prompt's KV cache.
    Prefill,
    /// Pulls the KV cache from a prefill endpoint.
    Import {
        /// Name of the prefill result.
        kv: Name,
        /// Address of the prefill endpoint.
        from: Name,
    },
    /// Streams tokens to the caller.
    Decode {
        /// Index of the first token wanted.
        from_index: u64,
    },
    /// Forwards a plain request and relays the answer.
    Forward,
}

/// What became of a step.
#[value(eq)]
pub enum Outcome {
    /// The prompt is computed.
    Computed {
        /// Name of the result.
        kv: Name,
        /// Prompt tokens that were found in the cache.
        cached: u64,
    },
    /// The KV cache is at the decode endpoint.
    Imported,
    /// The first part of the answer has been relayed.
    FirstByte,
    /// The whole answer has been relayed.
    Completed {
        /// Tokens generated.
        tokens: u64,
        /// The answer, kept where a claim records it.
        answer: Option<Arc<Response>>,
    },
    /// The endpoint answered that it did not run the step.
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The call or the stream broke.
    Failed {
        /// Whether any byte of the call may have left.
        sent: bool,
        /// Index of the next token that the caller lacks.
        next_index: u64,
    },
}

/// A plain answer, whole.
#[value(eq, serde)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, as text; only text bodies of bounded size are kept.
    pub body: String,
}

/// A report on a step of an attempt.
#[value(eq)]
pub struct Report {
    /// The request.
    pub request: Id,
    /// Number of the attempt; reports of older attempts are dropped.
    pub attempt: u32,
    /// What became of the step.
    pub outcome: Outcome,
}

/// Where a request stands.
#[value(eq)]
pub enum Phase {
    /// Waits for the right to spend.
    Admitting,
    /// Waits for its claim on the platform.
    Claiming,
    /// Waits for a place.
    Queued,
    /// Waits for a peer to note what it is about to hold.
    Holding,
    /// Its prompt is being computed.
    Prefill,
    /// Its KV cache is being transferred.
    Import,
    /// Its tokens are being streamed.
    Decode,
    /// A plain service runs it.
    Forward,
}

impl Phase {
    /// Returns what time in this phase counts as.
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

/// The endpoints that an attempt uses.
#[value]
pub struct Placement {
    /// Prefill endpoint; none for a plain request.
    pub prefill: Option<Arc<Endpoint>>,
    /// Decode or plain endpoint.
    pub run: Arc<Endpoint>,
}

/// A request that has been accepted and not yet answered.
#[value]
pub struct Request {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// Its route.
    pub route: Arc<Route>,
    /// Its team; none on an open route without a key.
    pub team: Option<Name>,
    /// Name of the key that it came with.
    pub key_name: Option<Name>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token was relayed.
    pub first_byte: Option<Instant>,
    /// Where it stands.
    pub phase: Phase,
    /// Number of its attempt, 0 before the first.
    pub attempt: u32,
    /// Times that a step was tried again within the attempt.
    pub retries: u32,
    /// The endpoints of its attempt.
    pub placement: Option<Placement>,
    /// The prefill result of its attempt.
    pub kv: Option<Name>,
    /// Index of the next token that the caller lacks.
    pub next_index: u64,
    /// Tokens charged to the team in advance.
    pub charged: u64,
    /// Version of its claim on the platform.
    pub claim_version: Option<u64>,
    /// Endpoints that failed it, not to be tried again first.
    pub excluded: Vec<Name>,
    /// Whether any byte of any attempt may have left.
    pub sent: bool,
    /// When its step began.
    pub phase_since: Instant,
    /// Time spent before the first token, by what it was spent on.
    pub time_by_cause: [Duration; burn::Cause::ALL.len()],
    /// When its prefill result was reported.
    pub prefilled_at: Instant,
    /// Peers that were told of what its attempt holds.
    pub hold_peers: Vec<HoldPeer>,
    /// Writes of its claim; more than none without a known version leave the claim in doubt.
    pub claim_writes: u32,
}

impl Request {
    /// Goes on to a phase, and counts the time spent in the one before.
    pub fn enter(&mut self, now: Instant, phase: Phase) {
        if self.first_byte.is_none() {
            self.time_by_cause[self.phase.cause() as usize] += now.since(self.phase_since);
        }
        self.phase = phase;
        self.phase_since = now;
    }

    /// Returns what took the longest until the first token.
    pub fn slowest(&self, first: Instant) -> burn::Cause {
        let spent = |cause: &burn::Cause| {
            let current = if *cause == self.phase.cause() {
                first.since(self.phase_since)
            } else {
                Duration::ZERO
            };
            self.time_by_cause[*cause as usize] + current
        };
        burn::Cause::ALL.into_iter().max_by_key(spent).unwrap_or(burn::Cause::Queue)
    }

    /// Returns whether a call of its attempt is under way.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Import | Phase::Decode | Phase::Forward)
    }
}

/// A peer that was told of what an attempt holds.
#[value]
pub struct HoldPeer {
    /// Name of the peer.
    pub peer: Name,
    /// Whether it has noted the hold.
    pub acked: bool,
    /// Times that it was told.
    pub tries: u32,
}

impl HoldPeer {
    /// Creates the entry of a peer that has not been told yet.
    pub fn new(peer: Name) -> HoldPeer {
        HoldPeer { peer, acked: false, tries: 0 }
    }
}
