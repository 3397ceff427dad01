//! What happens to a gateway: the reducer's input.

use std::sync::Arc;

use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::{Catalog, Directory, Instant, call, request};

/// Something that happened.
#[value]
pub enum Event {
    /// A moment that the state asked for has come.
    Tick,
    /// A configuration has arrived.
    Configured(Arc<Catalog>),
    /// The platform's list of endpoints has changed.
    EndpointsListed(Arc<Directory>),
    /// The platform lists this number of instances, this one included.
    Members(usize),
    /// A caller's request has arrived whole.
    Arrival(request::Arrival),
    /// A caller has left before its answer ended.
    Disconnected(request::Id),
    /// A call has come to something.
    Report(call::Report),
    /// A heartbeat of another instance has arrived.
    Heartbeat(Heartbeat),
    /// This instance holds the lease for orders, or holds it no more.
    Lease(Option<Lease>),
    /// The instance is to stop gracefully.
    Drain,
}

/// The right to give orders.
#[value(eq)]
pub struct Lease {
    /// Fencing token.
    pub token: u64,
    /// When the right ends.
    pub until: Instant,
}
