//! Effects: the output of [`State::step`](crate::State::step).

use std::sync::Arc;

use serde_json::Value;
use siskinstile_macros::value;
use siskinstile_wire::Body;

use crate::{
    Config, burn,
    error::Failure,
    object::{Endpoint, Name},
    request, store,
};

/// An action for an adapter to carry out.
#[value]
pub enum Effect {
    /// Calls an endpoint to execute a step of an attempt.
    Call {
        /// Identifier of the request.
        request: request::Id,
        /// Attempt number.
        attempt: u32,
        /// Endpoint to call.
        endpoint: Arc<Endpoint>,
        /// Step to execute.
        step: request::Step,
        /// Whether to collect the complete answer, to be recorded in the claim.
        keep_answer: bool,
    },
    /// Cancels an attempt at an endpoint, which frees the slot and memory of the attempt there.
    Cancel {
        /// Identifier of the request.
        request: request::Id,
        /// Attempt number.
        attempt: u32,
        /// Endpoint at which the attempt is cancelled.
        endpoint: Arc<Endpoint>,
    },
    /// Answers a request with an error.
    Fail {
        /// Identifier of the request.
        request: request::Id,
        /// Error for the caller.
        failure: Failure,
    },
    /// Completes a request whose answer has been relayed to its end.
    Finish {
        /// Identifier of the request.
        request: request::Id,
    },
    /// Answers a request with the response of an earlier request with the same idempotency key.
    Replay {
        /// Identifier of the request.
        request: request::Id,
        /// The response recorded in the claim.
        answer: Arc<request::Response>,
    },
    /// Sends a message to another instance.
    Send {
        /// Address of the instance.
        to: Name,
        /// Body of the message.
        body: Body,
    },
    /// Calls the platform.
    Store {
        /// Identifies the part of the core that makes the call.
        tag: store::Tag,
        /// Call to make.
        call: store::Call,
    },
    /// Publishes a new configuration to the traffic threads.
    Adopt(Arc<Config>),
    /// Writes a numbered log event.
    Log(crate::log::Record),
    /// Replies to an operator's query.
    Reply {
        /// Correlation number of the query.
        id: u64,
        /// Content of the reply.
        reply: Reply,
    },
    /// Sets whether the instance reports itself ready for new requests.
    Ready(bool),
    /// The drain is complete and the process may exit.
    Stopped,
}

/// A reply to an operator; large ones are serialized to JSON outside the control thread.
#[value]
pub enum Reply {
    /// A small reply; null if there is no data.
    Value(Value),
    /// The burn rates of the service-level objectives.
    Burn(Box<burn::Snapshot>),
}

impl Reply {
    /// Returns the reply as JSON.
    pub fn to_value(&self) -> Value {
        match self {
            Reply::Value(value) => value.clone(),
            Reply::Burn(snapshot) => {
                serde_json::to_value(snapshot).expect("a snapshot is plain data")
            }
        }
    }
}
