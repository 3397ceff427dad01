//! Interface to the message formats of callers, endpoints and the platform's store.
//!
//! An implementation only translates; it makes no routing or retry decisions.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response, http::request, http::response};
use siskinstile_core::error::Failure;
use siskinstile_gateway::{
    Catalog, Name,
    call::{Notice, Outcome},
    directory::Endpoint,
    effect,
    request::Tokens,
};
use siskinstile_macros::value;

use crate::store;

/// The fields of a caller's request head that the gateway uses.
#[value]
pub struct RequestHead {
    /// Identifier that the caller gave the request, for logs and responses.
    pub request_id: Name,
    /// The key that authenticates the caller's team.
    pub key: Option<Name>,
    /// Token counts that the caller states.
    pub tokens: Option<Tokens>,
    /// Identifiers of the prompt's parts, in order.
    pub prompt_parts: Vec<Name>,
    /// Longest time that the caller waits for the response.
    pub max_wait: Option<Duration>,
    /// Identifier of the last event that the caller received of an earlier, broken stream.
    pub last_event: Option<Name>,
    /// Identifier of the attempt that brought the first event of that stream.
    pub resumes: Option<Name>,
}

/// The fields of an endpoint's response head that the gateway uses.
#[value(default)]
pub struct ResponseHead {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<Name>,
    /// Name that the endpoint gives itself.
    pub endpoint: Option<Name>,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that it has not run the request.
    pub not_run: bool,
    /// Whether an instance of the gateway states that, at an address that is listed as an endpoint's.
    pub by_instance: bool,
    /// Whether the body has a content encoding, so that it is not as the endpoint sent it.
    pub encoded: bool,
    /// Whether the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// What the endpoint states about itself.
    pub notice: Notice,
    /// Time for which the endpoint keeps the idle connection open; `None` if it closes it.
    pub keep_alive: Option<Duration>,
}

/// A caller's original request, which an endpoint's request is built from.
#[derive(Debug, Clone)]
pub struct Original<'a> {
    /// Method, target and headers.
    pub head: &'a request::Parts,
    /// The complete body.
    pub body: &'a Bytes,
}

/// Translation between the gateway's types and the messages of callers, endpoints and the store.
pub trait Protocol: std::fmt::Debug {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestHead;

    /// Returns the response that reports an error to a caller.
    fn error_response(&self, request_id: &str, failure: &Failure) -> Response<Bytes>;

    /// Returns the HTTP request for a call to an endpoint.
    ///
    /// `original` is the caller's request, if the call is made for one.
    fn endpoint_request(&self, call: &effect::Call, original: Option<Original>) -> Request<Bytes>;

    /// Parses the head of an endpoint's response.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the headers of an endpoint's response that are relayed to the caller.
    fn relayed_headers(&self, head: &response::Parts) -> hyper::HeaderMap;

    /// Parses the identifier of a reserved slot; `None` if the body is malformed.
    fn read_hold(&self, body: &[u8]) -> Option<Name>;

    /// Parses the handle of a computed prompt and its length in tokens; `None` if the body
    /// is malformed.
    fn read_handle(&self, body: &[u8]) -> Option<(Name, u64)>;

    /// Parses the time of an endpoint's start, in Unix milliseconds; `None` if the body does not tell it.
    fn read_start(&self, body: &[u8]) -> Option<u64>;

    /// Parses an engine's status report; `None` if the body is malformed.
    fn read_report(&self, body: &[u8]) -> Option<Outcome>;

    /// Returns the HTTP request for a call to the store.
    fn store_request(&self, call: &store::Call) -> Request<Bytes>;

    /// Returns the era of the store that its response states; `None` if it states none that is a
    /// number.
    fn read_store_era(&self, head: &response::Parts) -> Option<u64>;

    /// Parses the store's response to a call, which it made in the given era.
    fn read_store_answer(
        &self,
        call: &store::Call,
        status: u16,
        era: u64,
        body: &[u8],
    ) -> Result<store::Answer, store::Fault>;

    /// Parses and checks the configuration.
    fn read_catalog(
        &self,
        objects: &mut dyn Iterator<Item = &store::Object>,
    ) -> anyhow::Result<Catalog>;

    /// Parses an endpoint's entry.
    fn read_endpoint(&self, object: &store::Object) -> anyhow::Result<Endpoint>;
}
