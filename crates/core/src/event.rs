//! Events: the input of [`State::step`](crate::State::step).

use siskinstile_macros::value;
use siskinstile_wire::Envelope;

use crate::{object::Name, request, store};

/// An input of the control state.
#[value]
pub enum Event {
    /// The timer event, sent every [`TICK`](crate::state::TICK).
    Tick,
    /// A caller's request has been received completely.
    Arrival(request::Arrival),
    /// A caller closed its connection before its answer was complete.
    Disconnected(request::Id),
    /// A step of an attempt has made progress, completed or failed.
    Report(request::Report),
    /// A message from another instance.
    Message(Envelope),
    /// A platform call has been answered or has timed out.
    StoreAnswered {
        /// Identifies the part of the core that made the call.
        tag: store::Tag,
        /// Answer, or [`Lost`](store::Answer::Lost) after a time-out.
        answer: store::Answer,
    },
    /// An endpoint's report of its load; the figures may be out of date on arrival.
    Load {
        /// Name of the endpoint.
        endpoint: Name,
        /// Number of requests running there.
        running: u32,
        /// Number of requests queued there.
        queued: u32,
    },
    /// An endpoint's report, which may be late, that it evicted a prefix from its cache.
    Evicted {
        /// Name of the endpoint.
        endpoint: Name,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// Starts a graceful shutdown.
    Drain,
    /// A query by an operator.
    Query {
        /// Correlation number, returned in [`Effect::Reply`](crate::Effect::Reply).
        id: u64,
        /// What is queried.
        query: Query,
    },
}

/// The queries that an operator can send.
#[value(eq)]
pub enum Query {
    /// The status of the instance: configuration, members, teams and open requests.
    Status,
    /// The decisions taken on a request, with their reasons.
    Explain(request::Id),
    /// The burn rates of the service-level objectives.
    Burn,
}
