//! What an instance does: the reducer's output.

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

/// Something to be done by an adapter.
#[value]
pub enum Effect {
    /// Calls an endpoint for a step of an attempt.
    Call {
        /// The request.
        request: request::Id,
        /// Number of the attempt.
        attempt: u32,
        /// The endpoint.
        endpoint: Arc<Endpoint>,
        /// The step.
        step: request::Step,
        /// Whether the whole answer is to be kept for the claim.
        keep_answer: bool,
    },
    /// Ends what an endpoint does for an attempt.
    Cancel {
        /// The request.
        request: request::Id,
        /// Number of the attempt.
        attempt: u32,
        /// The endpoint.
        endpoint: Arc<Endpoint>,
    },
    /// Ends a request with an error.
    Fail {
        /// The request.
        request: request::Id,
        /// The error.
        failure: Failure,
    },
    /// Ends a request whose whole answer has been relayed.
    Finish {
        /// The request.
        request: request::Id,
    },
    /// Answers a request with the recorded answer of an earlier one.
    Replay {
        /// The request.
        request: request::Id,
        /// The recorded answer.
        answer: Arc<request::Response>,
    },
    /// Sends a message to another instance.
    Send {
        /// Address of the instance.
        to: Name,
        /// The message.
        body: Body,
    },
    /// Calls the platform.
    Store {
        /// Which part of the core makes the call.
        tag: store::Tag,
        /// The call.
        call: store::Call,
    },
    /// Puts a configuration in force for the traffic threads.
    Adopt(Arc<Config>),
    /// Writes a numbered log event.
    Log(crate::log::Record),
    /// Replies to an operator.
    Reply {
        /// Number of the question.
        id: u64,
        /// The reply.
        reply: Reply,
    },
    /// Says whether the instance takes new requests.
    Ready(bool),
    /// Nothing is left to do after a drain: the process may exit.
    Stopped,
}

/// A reply to an operator; large ones are turned into JSON off the control thread.
#[value]
pub enum Reply {
    /// A small one, or null if nothing is known.
    Value(Value),
    /// How service levels burn.
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
