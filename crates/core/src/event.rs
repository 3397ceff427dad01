//! What happens to an instance: the reducer's input.

use siskinstile_macros::value;
use siskinstile_wire::Envelope;

use crate::{object::Name, request, store};

/// Something that happened.
#[value]
pub enum Event {
    /// Time has passed; comes every [`TICK`](crate::state::TICK).
    Tick,
    /// A caller's request has arrived whole.
    Arrival(request::Arrival),
    /// A caller has left before its answer ended.
    Disconnected(request::Id),
    /// A step of an attempt has come to something.
    Report(request::Report),
    /// A message of another instance has arrived.
    Message(Envelope),
    /// The platform has answered, or has not within the deadline.
    StoreAnswered {
        /// Which part of the core made the call.
        tag: store::Tag,
        /// The answer.
        answer: store::Answer,
    },
    /// An endpoint has reported its load, as it was some time ago.
    Load {
        /// Name of the endpoint.
        endpoint: Name,
        /// Requests that run there.
        running: u32,
        /// Requests that wait there.
        queued: u32,
    },
    /// An endpoint has dropped a prefix from its cache, some time ago.
    Evicted {
        /// Name of the endpoint.
        endpoint: Name,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// The instance is to stop gracefully.
    Drain,
    /// An operator asks something.
    Query {
        /// Number that the reply carries back.
        id: u64,
        /// The question.
        query: Query,
    },
}

/// A question of an operator.
#[value(eq)]
pub enum Query {
    /// What the instance knows and does.
    Status,
    /// What was decided on a request, and why.
    Explain(request::Id),
    /// How service levels burn.
    Burn,
}
