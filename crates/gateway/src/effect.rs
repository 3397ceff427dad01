//! Effects of a gateway: the output of the reducer.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::Failure;
use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::{self, Heartbeat};

use crate::{
    Name, call, catalog::Retry, directory::Endpoint, origin::journal::Command, quarantine::Change,
    record::Record, request,
};

/// An action to be carried out by an adapter.
#[value]
pub enum Effect {
    /// Calls an endpoint.
    Call(Call),
    /// Opens a connection to an endpoint to see whether it is reached.
    Probe {
        /// The endpoint.
        endpoint: Arc<Endpoint>,
        /// The round that the probe belongs to.
        round: u64,
    },
    /// Hands a request over to a peer and relays its response.
    HandOver(HandOver),
    /// Aborts a call or a handover whose outcome is no longer needed.
    Cancel(call::Id),
    /// Relays the response of a call to the caller.
    Relay {
        /// The request.
        request: request::Id,
        /// The call.
        call: call::Id,
    },
    /// Ends a request with an error; a stream that has begun is aborted.
    Fail {
        /// The request.
        request: request::Id,
        /// The error.
        failure: Failure,
    },
    /// Ends a request whose call has relayed, or now relays, the complete response.
    Finish(request::Id),
    /// Sends a heartbeat to peers.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
        /// The peers.
        recipients: Recipients,
    },
    /// Keeps a change of the quarantine on the platform's store.
    Quarantine(Change),
    /// Calls the platform's store for the journal of origins.
    Journal(Command),
    /// Writes a log line.
    Log(Record),
    /// The drain has finished without open requests; the process may exit.
    Stopped,
}

/// The peers that a heartbeat is sent to.
#[value]
pub enum Recipients {
    /// All in the own data centre.
    Datacentre,
    /// All.
    Everyone,
    /// Some.
    Members(Vec<Recipient>),
}

/// A peer that a heartbeat is sent to, with the part of the relayed sums that is its own.
#[value]
pub struct Recipient {
    /// Name of the peer.
    pub name: Name,
    /// Its loads.
    pub loads: Vec<heartbeat::Load>,
    /// Its queue lengths.
    pub waiting: Vec<heartbeat::Count>,
}

impl Recipient {
    /// Creates a recipient without a part in the sums.
    pub fn new(name: Name) -> Recipient {
        Recipient { name, loads: Vec::new(), waiting: Vec::new() }
    }
}

/// The handover of a request to a peer.
#[value]
pub struct HandOver {
    /// Identifier of the handover, among those of calls.
    pub id: call::Id,
    /// The request.
    pub request: request::Id,
    /// The peer.
    pub peer: Name,
    /// Time remaining until the request's deadline.
    pub time_left: Duration,
    /// Version of the configuration in force here, which the peer must have as well.
    pub version: u64,
}

/// A call to an endpoint.
#[value]
pub struct Call {
    /// Identifier of the call.
    pub id: call::Id,
    /// The request that it belongs to, if any.
    pub request: call::Owner,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Maximum number of connections of this process to the endpoint.
    pub max_connections: u32,
    /// The step to carry out.
    pub step: call::Step,
    /// Whether and how the request may be retried.
    pub retry: Retry,
    /// Team of the request's API key.
    pub team: Option<Name>,
    /// Time remaining until the request's deadline, or the timeout of a call without a request.
    pub time_left: Duration,
}
