//! Calls to endpoints and what becomes of them.

use std::{fmt, net::SocketAddr, time::Duration};

use siskinstile_macros::value;

use crate::{Name, directory::Stage, request};

/// Identifies a call within the process.
#[value(id)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A computed prompt at the engine that keeps it.
#[value(eq)]
pub struct Handle {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Its name there.
    pub name: Name,
}

/// Whether a run goes on where another one stopped.
#[value(eq)]
pub enum Start {
    /// It begins.
    New,
    /// It follows the event with this identifier.
    After(Name),
}

/// An order that changes what an engine does.
#[value(eq)]
pub struct Order {
    /// What the engine is to do.
    pub stage: Stage,
    /// Name of the lease's holder.
    pub holder: Name,
    /// Fencing token of the lease.
    pub token: u64,
    /// Number of orders that the engine must have accepted.
    pub precondition: u64,
}

/// What is asked of an endpoint.
#[value(eq)]
pub enum Step {
    /// Reserves a place and memory at a decode engine.
    Hold {
        /// Memory, in tokens.
        tokens: u64,
        /// Time after which an unused place is free again.
        ttl: Duration,
    },
    /// Gives a reserved place back.
    Drop {
        /// The place.
        hold: Name,
    },
    /// Computes a request's prompt.
    Prefill,
    /// Frees a computed prompt.
    Free {
        /// Its name at the engine.
        handle: Name,
    },
    /// Runs a request.
    Run {
        /// A reserved place.
        hold: Option<Name>,
        /// The computed prompt.
        source: Option<Handle>,
        /// Where a stream goes on.
        start: Start,
    },
    /// Asks an engine what it does.
    Inspect,
    /// Changes what an engine does.
    Order(Order),
}

/// What became of a call.
#[value(eq)]
pub enum Outcome {
    /// A place is reserved.
    Held {
        /// Its name at the engine.
        hold: Name,
    },
    /// A prompt is computed.
    Computed {
        /// Its name at the engine.
        handle: Name,
        /// Its length, in tokens.
        tokens: u64,
    },
    /// The head of an answer that is relayed as it comes has arrived.
    Head {
        /// Its status.
        status: u16,
    },
    /// A whole answer has arrived and is kept until it is relayed or cancelled.
    Buffered {
        /// Its status.
        status: u16,
    },
    /// The first event of a stream has been relayed.
    FirstEvent,
    /// The whole answer has been relayed.
    Completed {
        /// Number of its events.
        events: u64,
        /// Longest time between two of them.
        pause: Duration,
    },
    /// What an engine says that it does.
    Inspected {
        /// What it does.
        stage: Stage,
        /// Number of orders that it has accepted since its start.
        orders: u64,
        /// Whether it is carrying out an order.
        busy: bool,
    },
    /// The endpoint has done what was asked, and nothing is to be relayed.
    Done,
    /// The endpoint says that it has not run the request and never will.
    Refused {
        /// The answer's status.
        status: u16,
    },
    /// No whole answer has come and none will.
    Failed {
        /// Whether a byte of the request may have left.
        sent: bool,
        /// Whether the endpoint could not be reached or gave no sign of life.
        unresponsive: bool,
        /// Identifier of the last event that was relayed.
        last_event: Option<Name>,
        /// What was seen, for the log.
        cause: &'static str,
    },
}

/// A report on a call.
#[value]
pub struct Report {
    /// The call.
    pub call: Id,
    /// What became of it.
    pub outcome: Outcome,
    /// What the endpoint said of its own load.
    pub load: Option<ReportedLoad>,
}

/// What an endpoint says of its load with an answer.
#[value(id)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Which request a call is made for.
pub type Owner = Option<request::Id>;
