//! The way of an answer from a worker thread to its caller.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use indexmap::IndexMap;
use siskinstile_core::{error::Failure, request, splice::Splice};
use siskinstile_macros::value;
use tokio::sync::mpsc;

/// Parts of an answer that may wait for a slow caller.
const WAITING_PARTS: usize = 64;

/// A part of an answer.
#[value]
pub enum Part {
    /// Status and headers of a plain answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers that pass on.
        headers: Vec<(String, String)>,
    },
    /// A token of a completion.
    Token(String),
    /// Bytes of a plain answer.
    Bytes(Bytes),
    /// The answer recorded for an earlier request.
    Replay(Arc<request::Response>),
    /// The answer ends with an error.
    Failed(Failure),
    /// The answer is whole.
    End,
}

/// What an endpoint needs of a request beyond its identifier.
#[value]
pub enum Payload {
    /// A completion.
    Completion {
        /// The model.
        model: String,
        /// The prompt.
        prompt: String,
        /// Most tokens to generate.
        max_tokens: u64,
        /// Priority at the engine; higher goes first.
        priority: u32,
    },
    /// A plain request.
    Plain {
        /// HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// Headers that pass on; none carries a key.
        headers: Vec<(String, String)>,
        /// Body.
        body: Bytes,
        /// Whether it may run more than once.
        idempotent: bool,
    },
}

/// One request's relay.
#[derive(Debug)]
pub struct Relay {
    /// What an endpoint needs of the request.
    pub payload: Payload,
    parts: mpsc::Sender<Part>,
    splice: Mutex<Splice>,
}

/// The caller has left.
#[value(id)]
pub struct Gone;

impl Relay {
    /// Makes an attempt the current one.
    pub fn begin(&self, attempt: u32) {
        self.splice().begin(attempt);
    }

    /// Passes a token on if it is the next one of the current attempt.
    ///
    /// # Errors
    ///
    /// The caller has left.
    pub fn token(&self, attempt: u32, index: u64, text: String) -> Result<(), Gone> {
        match self.splice().accept(attempt, index) {
            true => self.send(Part::Token(text)),
            false => Ok(()),
        }
    }

    /// Passes a part of a plain answer on if the attempt is the current one.
    ///
    /// # Errors
    ///
    /// The caller has left.
    pub fn part(&self, attempt: u32, part: Part) -> Result<(), Gone> {
        match self.splice().is_current(attempt) {
            true => self.send(part),
            false => Ok(()),
        }
    }

    /// Returns the index of the next token that the caller lacks.
    pub fn next_index(&self) -> u64 {
        self.splice().next_index()
    }

    /// Returns whether nobody waits for the answer any more.
    pub fn is_gone(&self) -> bool {
        self.parts.is_closed()
    }

    fn send(&self, part: Part) -> Result<(), Gone> {
        self.parts.blocking_send(part).map_err(|_| Gone)
    }

    fn splice(&self) -> std::sync::MutexGuard<'_, Splice> {
        self.splice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The relays of all requests that are not yet answered.
#[derive(Debug, Default)]
pub struct Registry {
    relays: Mutex<IndexMap<request::Id, Arc<Relay>>>,
}

impl Registry {
    /// Adds a request and returns the receiving end of its answer.
    pub fn open(&self, id: request::Id, payload: Payload) -> mpsc::Receiver<Part> {
        let (parts, receiver) = mpsc::channel(WAITING_PARTS);
        let relay = Relay { payload, parts, splice: Mutex::new(Splice::default()) };
        self.relays().insert(id, Arc::new(relay));
        receiver
    }

    /// Returns the relay of a request.
    pub fn get(&self, id: request::Id) -> Option<Arc<Relay>> {
        self.relays().get(&id).cloned()
    }

    /// Removes a request; its answer has ended or nobody waits for it.
    pub fn close(&self, id: request::Id) -> Option<Arc<Relay>> {
        self.relays().swap_remove(&id)
    }

    /// Ends the answer of a request with its last part.
    ///
    /// Never blocks: a caller so slow that parts wait gets the last one from a task of its own.
    pub fn end(&self, id: request::Id, part: Part, runtime: &tokio::runtime::Handle) {
        let Some(relay) = self.close(id) else { return };
        if let Err(mpsc::error::TrySendError::Full(part)) = relay.parts.try_send(part) {
            let parts = relay.parts.clone();
            runtime.spawn(async move { parts.send(part).await });
        }
    }

    fn relays(&self) -> std::sync::MutexGuard<'_, IndexMap<request::Id, Arc<Relay>>> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
