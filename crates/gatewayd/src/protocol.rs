//! What is spoken with callers, endpoints and the platform's store.
//!
//! An implementation translates; it decides nothing.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response, http::request, http::response};
use siskinstile_core::error::Failure;
use siskinstile_gateway::{
    Catalog, Name,
    call::{Outcome, ReportedLoad},
    directory::Endpoint,
    effect,
    request::Tokens,
};
use siskinstile_macros::value;

use crate::store;

/// What the head of a caller's request says.
#[value]
pub struct RequestHead {
    /// The caller's own identifier of the request.
    pub trace: Name,
    /// The key.
    pub key: Option<Name>,
    /// Token counts.
    pub tokens: Option<Tokens>,
    /// Time for which the caller waits.
    pub max_wait: Option<Duration>,
    /// Identifier of the last event that the caller has of an earlier answer.
    pub last_event: Option<Name>,
}

/// What the head of an endpoint's answer says.
#[value(default)]
pub struct ResponseHead {
    /// Identifier of the request that it answers.
    pub trace: Option<Name>,
    /// Whether it carries the endpoint's signature.
    pub signed: bool,
    /// Whether it says that the request has not run.
    pub not_run: bool,
    /// Whether its body is not as the endpoint made it.
    pub encoded: bool,
    /// Whether it is a stream of events.
    pub is_event_stream: bool,
    /// What the endpoint says of its load.
    pub load: Option<ReportedLoad>,
    /// Time for which the endpoint keeps the connection open; none where it closes it.
    pub keep_alive: Option<Duration>,
}

/// A caller's request, as it is sent on.
#[derive(Debug, Clone)]
pub struct Original<'a> {
    /// Its head.
    pub head: &'a request::Parts,
    /// Its body.
    pub body: &'a Bytes,
}

/// The translation between the system's own types and what others speak.
pub trait Protocol: std::fmt::Debug {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestHead;

    /// Returns the answer that gives an error to a caller.
    fn error_response(&self, trace: &str, failure: &Failure) -> Response<Bytes>;

    /// Returns the request that carries out a call.
    fn endpoint_request(&self, call: &effect::Call, original: Option<Original>) -> Request<Bytes>;

    /// Reads the head of an endpoint's answer.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the headers of an endpoint's answer that its caller gets.
    fn relayed_headers(&self, head: &response::Parts) -> hyper::HeaderMap;

    /// Reads the name of a reserved place.
    fn read_hold(&self, body: &[u8]) -> Option<Name>;

    /// Reads the name and the length of a computed prompt.
    fn read_handle(&self, body: &[u8]) -> Option<(Name, u64)>;

    /// Reads an engine's report on what it does.
    fn read_report(&self, body: &[u8]) -> Option<Outcome>;

    /// Returns the request that carries out a call to the store.
    fn store_request(&self, call: &store::Call) -> Request<Bytes>;

    /// Reads the store's answer.
    fn read_store_answer(
        &self,
        call: &store::Call,
        status: u16,
        body: &[u8],
    ) -> Result<store::Answer, store::Fault>;

    /// Reads the configuration.
    fn read_catalog(
        &self,
        objects: &mut dyn Iterator<Item = &store::Object>,
    ) -> anyhow::Result<Catalog>;

    /// Reads an endpoint.
    fn read_endpoint(&self, object: &store::Object) -> anyhow::Result<Endpoint>;
}
