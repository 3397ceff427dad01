//! Relays between the worker threads, which read answers from endpoints, and the callers'
//! connections.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use indexmap::IndexMap;
use siskinstile_core::{error::Failure, request, splice::Splice};
use siskinstile_macros::value;
use tokio::sync::mpsc;

/// Capacity of an answer's channel, in parts; a worker thread blocks while it is full.
const PART_CAPACITY: usize = 64;

/// A part of an answer.
#[value]
pub enum Part {
    /// Status and headers of a plain answer.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, String)>,
    },
    /// A token of a completion.
    Token(String),
    /// Bytes of a plain answer.
    Bytes(Bytes),
    /// The answer recorded for an earlier request with the same idempotency key; the only part.
    Replay(Arc<request::Response>),
    /// The request failed; last part of the answer.
    Failed(Failure),
    /// The answer is complete; last part of the answer.
    End,
}

/// Content of a request that is sent to an endpoint.
#[value]
pub enum Payload {
    /// A completion.
    Completion {
        /// Name of the model.
        model: String,
        /// Text of the prompt.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u64,
        /// Priority in the engine's queue; higher values run first.
        priority: u32,
    },
    /// A plain request.
    Plain {
        /// HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// End-to-end headers, without any that contains the caller's key.
        headers: Vec<(String, String)>,
        /// Complete body.
        body: Bytes,
        /// Whether the endpoint may run it more than once.
        idempotent: bool,
    },
}

/// Channel to the caller of one request, which accepts parts from the current attempt only.
#[derive(Debug)]
pub struct Relay {
    /// Content of the request.
    pub payload: Payload,
    parts: mpsc::Sender<Part>,
    splice: Mutex<Splice>,
}

/// The error of sending to a caller that has disconnected.
#[value(id)]
pub struct Disconnected;

impl Relay {
    /// Makes an attempt the current one; parts of earlier attempts are discarded from now on.
    pub fn begin_attempt(&self, attempt: u32) {
        self.splice().begin(attempt);
    }

    /// Sends a token if it belongs to the current attempt and `index` is the next to be sent.
    ///
    /// Discards it otherwise, without an error.
    ///
    /// Blocks while the answer's channel is full.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub fn send_token(&self, attempt: u32, index: u64, text: String) -> Result<(), Disconnected> {
        match self.splice().accept(attempt, index) {
            true => self.send(Part::Token(text)),
            false => Ok(()),
        }
    }

    /// Sends a part of a plain answer if it belongs to the current attempt; discards it otherwise.
    ///
    /// Blocks while the answer's channel is full.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub fn send_part(&self, attempt: u32, part: Part) -> Result<(), Disconnected> {
        match self.splice().is_current(attempt) {
            true => self.send(part),
            false => Ok(()),
        }
    }

    /// Returns the index of the first token that has not been sent to the caller.
    pub fn next_index(&self) -> u64 {
        self.splice().next_index()
    }

    /// Returns whether the receiver has been dropped, so that the answer is no longer needed.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }

    fn send(&self, part: Part) -> Result<(), Disconnected> {
        self.parts.blocking_send(part).map_err(|_| Disconnected)
    }

    fn splice(&self) -> std::sync::MutexGuard<'_, Splice> {
        self.splice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The relays of all unanswered requests.
#[derive(Debug, Default)]
pub struct Registry {
    relays: Mutex<IndexMap<request::Id, Arc<Relay>>>,
}

impl Registry {
    /// Adds a request and returns the receiver of its answer's parts.
    pub fn open(&self, id: request::Id, payload: Payload) -> mpsc::Receiver<Part> {
        let (parts, receiver) = mpsc::channel(PART_CAPACITY);
        let relay = Relay { payload, parts, splice: Mutex::new(Splice::default()) };
        self.relays().insert(id, Arc::new(relay));
        receiver
    }

    /// Returns the relay of a request; `None` if its answer has ended or its caller disconnected.
    pub fn get(&self, id: request::Id) -> Option<Arc<Relay>> {
        self.relays().get(&id).cloned()
    }

    /// Removes a request whose answer has ended or whose caller has disconnected.
    pub fn remove(&self, id: request::Id) -> Option<Arc<Relay>> {
        self.relays().swap_remove(&id)
    }

    /// Removes a request and sends the last part of its answer.
    ///
    /// Never blocks: if the channel is full, a task on `runtime` sends the part.
    pub fn finish(&self, id: request::Id, part: Part, runtime: &tokio::runtime::Handle) {
        let Some(relay) = self.remove(id) else { return };
        if let Err(mpsc::error::TrySendError::Full(part)) = relay.parts.try_send(part) {
            let parts = relay.parts.clone();
            runtime.spawn(async move { parts.send(part).await });
        }
    }

    fn relays(&self) -> std::sync::MutexGuard<'_, IndexMap<request::Id, Arc<Relay>>> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
