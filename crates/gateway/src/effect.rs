//! What a gateway does: the reducer's output.

use std::{sync::Arc, time::Duration};

use siskinstile_core::error::Failure;
use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::{Name, call, catalog::Retry, directory::Endpoint, record::Record, request};

/// Something to be done by an adapter.
#[value]
pub enum Effect {
    /// Calls an endpoint.
    Call(Call),
    /// Ends a call whose outcome nobody waits for.
    Cancel(call::Id),
    /// Relays the answer of a call to its caller.
    Relay {
        /// The request.
        request: request::Id,
        /// The call.
        call: call::Id,
    },
    /// Ends a request with an error; a stream that has begun is broken off.
    Fail {
        /// The request.
        request: request::Id,
        /// The error.
        failure: Failure,
    },
    /// Ends a request whose whole answer has been relayed.
    Finish(request::Id),
    /// Sends a heartbeat to the peers of the own data centre.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Whether the peers of other data centres get it too.
        to_remote: bool,
    },
    /// Writes a log line.
    Log(Record),
    /// No request is open after a drain: the process may exit.
    Stopped,
}

/// A call to an endpoint.
#[value]
pub struct Call {
    /// Its number.
    pub id: call::Id,
    /// The request that it is for.
    pub request: call::Owner,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Most connections that this process may have to it.
    pub max_connections: u32,
    /// What is asked.
    pub step: call::Step,
    /// How the request's answer is relayed.
    pub retry: Retry,
    /// Team that the request's key speaks for.
    pub team: Option<Name>,
    /// Time that is left for the answer.
    pub time_left: Duration,
}
