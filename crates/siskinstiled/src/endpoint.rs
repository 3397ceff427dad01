//! Calls to endpoints: a trait with an adapter for model engines and one for plain services.

mod engine;
mod lines;
mod plain;

use std::{
    io,
    net::{TcpStream, ToSocketAddrs as _},
    thread,
    time::Duration,
};

use siskinstile_core::{
    object::{self, Role},
    request,
};

use crate::relay::Relay;

pub use engine::Engine;
pub use plain::Plain;

/// Time limit on connecting; leaves time to retransmit a lost SYN once, which happens after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit on a read from an engine, which sends data or a keep-alive comment every second.
///
/// It also applies to the first attempt of an idempotent request at a plain service.
const READ_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time after a connection broke in which an ending process closes its other sockets.
const ENDING_TIME: Duration = Duration::from_millis(10);
/// Time limit for the connection that shows whether an endpoint has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// An attempt of a request at an endpoint, with what a step of it needs to run.
#[derive(Clone, Copy)]
pub struct Job<'a> {
    /// Identifier of the request.
    pub request: request::Id,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The endpoint to call.
    pub endpoint: &'a object::Endpoint,
    /// Whether the outcome must include the complete answer, to be recorded for replay.
    pub keep_answer: bool,
    /// Relay to the caller.
    pub relay: &'a Relay,
}

/// An adapter that runs steps at endpoints.
pub trait Endpoint: Send + Sync {
    /// Runs a step and blocks until it has an outcome.
    ///
    /// Calls `on_first` at most once, when the first part of the answer has been relayed to the
    /// caller.
    fn run(&self, job: Job<'_>, step: &request::Step, on_first: &dyn Fn()) -> request::Outcome;

    /// Cancels the work of an endpoint for an attempt.
    ///
    /// # Errors
    ///
    /// The endpoint did not acknowledge the cancel; the call may be repeated.
    fn cancel(
        &self,
        request: request::Id,
        attempt: u32,
        endpoint: &object::Endpoint,
    ) -> Result<(), attohttpc::Error>;
}

/// Returns the adapter for endpoints with a role.
pub fn adapter(role: Role) -> &'static dyn Endpoint {
    match role {
        Role::Prefill | Role::Decode => &Engine,
        Role::Plain => &Plain,
    }
}

/// Ignores proxies set in the environment, since endpoints are called directly by their address.
fn without_proxy<B>(request: attohttpc::RequestBuilder<B>) -> attohttpc::RequestBuilder<B> {
    request
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
}

/// Returns whether nothing listens at an endpoint's address after it has broken off a call; false if
/// that cannot be told at once.
fn has_ended(endpoint: &object::Endpoint) -> bool {
    thread::sleep(ENDING_TIME);
    let Some(address) = endpoint.address.to_socket_addrs().ok().and_then(|mut it| it.next()) else {
        return false;
    };
    match TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
        Ok(_) => false,
        Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    }
}

/// Returns whether any byte of a failed call may have been sent.
fn may_have_been_sent(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(io) => io.kind() != std::io::ErrorKind::ConnectionRefused,
        attohttpc::ErrorKind::ConnectNotSupported | attohttpc::ErrorKind::InvalidBaseUrl => false,
        _ => true,
    }
}
