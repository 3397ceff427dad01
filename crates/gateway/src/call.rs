//! Calls to endpoints and their outcomes.

use std::{fmt, net::SocketAddr, time::Duration};

use siskinstile_macros::value;

use crate::{
    Name,
    directory::Stage,
    range::{
        MAX_PACE, MAX_RATE, MAX_REQUESTS, MAX_SPAN, MAX_TIME_MS, MAX_TOKENS, Ranged, clamp,
        clamp_some,
    },
    request,
};

/// Identifies a call within the process.
#[value(id)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Reference to a computed prompt at the engine that keeps it.
#[value(eq)]
pub struct Handle {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Name of the prompt at the engine.
    pub name: Name,
}

/// Position in the response stream from which a run starts.
#[value(eq)]
pub enum Start {
    /// At the beginning.
    New,
    /// After the event with this identifier.
    After(Name),
}

/// An order to an engine to change its stage.
#[value(eq)]
pub struct Order {
    /// Stage that the engine has to change to.
    pub stage: Stage,
    /// Name of the instance that holds the order lease.
    pub holder: Name,
    /// Fencing token of the lease.
    pub token: u64,
    /// Number of orders that the engine must have accepted so far for this one to be valid.
    pub precondition: u64,
}

/// A step that an endpoint is called to carry out.
#[value(eq)]
pub enum Step {
    /// Reserves a slot and memory at a decode engine.
    Hold {
        /// Memory, in tokens.
        tokens: u64,
        /// Time after which an unused reservation expires.
        ttl: Duration,
    },
    /// Releases a reservation.
    Release {
        /// Name of the reservation.
        hold: Name,
    },
    /// Computes a request's prompt.
    Prefill,
    /// Frees a computed prompt.
    Free {
        /// Name of the prompt at the engine.
        handle: Name,
    },
    /// Runs a request.
    Run {
        /// Name of the reservation to use.
        hold: Option<Name>,
        /// The computed prompt to fetch; `None` if the endpoint computes it.
        source: Option<Handle>,
        /// Position from which the stream starts.
        start: Start,
    },
    /// Queries an engine's stage and state.
    Inspect,
    /// Queries when an endpoint started, on the connection that has been open for longest.
    QueryStart,
    /// Changes the stage of an engine.
    Order(Order),
}

/// Progress or result of a call.
#[value(eq)]
pub enum Outcome {
    /// A slot has been reserved.
    Held {
        /// Name of the reservation at the engine.
        hold: Name,
    },
    /// A prompt has been computed.
    Computed {
        /// Name of the prompt at the engine.
        handle: Name,
        /// Length of the prompt, in tokens.
        tokens: u64,
    },
    /// The head of a streamed response has arrived.
    Head {
        /// HTTP status.
        status: u16,
    },
    /// A complete response has arrived; it is buffered until it is relayed or cancelled.
    Buffered {
        /// HTTP status.
        status: u16,
    },
    /// The first event of a stream has been relayed.
    FirstEvent,
    /// The streamed response has been relayed completely.
    Completed {
        /// Number of events relayed.
        events: u64,
        /// Longest time between two events.
        pause: Duration,
        /// Whether the response stated its own end, by a length or by chunks.
        framed: bool,
    },
    /// State that an engine reports.
    Inspected {
        /// Current stage.
        stage: Stage,
        /// Number of orders that the engine has accepted since its start.
        orders: u64,
        /// Whether the engine is carrying out an order.
        busy: bool,
        /// Number of requests that it runs or that wait there.
        requests: u32,
    },
    /// An endpoint has been asked when it started.
    StartTold {
        /// Wall-clock time of its start, in milliseconds; `None` if it does not tell.
        started_at_ms: Option<u64>,
        /// Time for which the connection had been open that it has answered on.
        connection_age: Duration,
    },
    /// The endpoint has carried out the step; there is nothing to relay.
    Done,
    /// The endpoint guarantees that it has not carried out the step and never will.
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// No complete response has arrived, and none will.
    Failed {
        /// Whether a byte of the request may have been sent.
        sent: bool,
        /// Whether the endpoint could not be reached or did not respond in time.
        unresponsive: bool,
        /// Whether the endpoint has ended with it: it refused a connection right afterwards.
        ended: bool,
        /// Whether it accepted a connection right afterwards and closed it at once, as a proxy in front
        /// of an endpoint that has ended does.
        closed: bool,
        /// Identifier of the last event that was relayed.
        last_event: Option<Name>,
        /// Observed cause, for the log.
        cause: &'static str,
    },
}

/// A report on a call.
#[value]
pub struct Report {
    /// Identifier of the call.
    pub call: Id,
    /// Progress or result of the call.
    pub outcome: Outcome,
    /// What the endpoint stated about itself with the response.
    pub notice: Notice,
}

/// What an endpoint states about itself with a response.
#[value(id, default)]
pub struct Notice {
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// Whether it is leaving and must get no new requests.
    pub leaving: bool,
    /// Whether the call was refused by another endpoint than the one that is listed at the address, or by an instance.
    pub is_other: bool,
    /// Time for which it must not be called after a refusal.
    pub backoff: Option<Duration>,
    /// Limit on the requests from all instances together.
    pub limit: StatedLimit,
    /// Time for which it is still cold.
    pub cold_remaining: Option<Duration>,
}

/// What an endpoint states about the requests that it takes from all instances together.
#[value(id, default)]
pub enum StatedLimit {
    /// There is no response that could state a limit, or it states none that can be read.
    #[default]
    Unknown,
    /// It states no limit.
    None,
    /// Requests per 1,000 seconds.
    Rate(u64),
}

/// Load that an endpoint reports with a response.
#[value(id)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: Option<u32>,
    /// How long work takes on its machine at present, in percent of the usual time.
    pub pace: Option<u32>,
}

/// The request that a call belongs to; `None` for calls of the gateway itself.
pub type Owner = Option<request::Id>;

impl Ranged for ReportedLoad {
    fn confine(&mut self) -> bool {
        let counts =
            clamp(&mut self.running, MAX_REQUESTS) | clamp(&mut self.waiting, MAX_REQUESTS);
        counts | clamp_some(&mut self.slots, MAX_REQUESTS) | clamp_some(&mut self.pace, MAX_PACE)
    }
}

impl Ranged for Notice {
    fn confine(&mut self) -> bool {
        let limit = match &mut self.limit {
            StatedLimit::Rate(rate) => clamp(rate, MAX_RATE),
            StatedLimit::None | StatedLimit::Unknown => false,
        };
        let load = self.load.as_mut().is_some_and(Ranged::confine);
        let spans = clamp_some(&mut self.backoff, MAX_SPAN)
            | clamp_some(&mut self.cold_remaining, MAX_SPAN);
        limit | load | spans
    }
}

impl Ranged for Outcome {
    fn confine(&mut self) -> bool {
        match self {
            Outcome::Computed { tokens, .. } => clamp(tokens, MAX_TOKENS),
            Outcome::StartTold { started_at_ms, .. } => clamp_some(started_at_ms, MAX_TIME_MS),
            _ => false,
        }
    }
}
