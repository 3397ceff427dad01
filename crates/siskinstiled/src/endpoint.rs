//! Endpoints behind a trait.

mod engine;
mod plain;

use std::time::Duration;

use siskinstile_core::{
    object::{self, Role},
    request,
};

use crate::relay::Relay;

pub use engine::Engine;
pub use plain::Plain;

/// Limit on setting up a connection: long enough for one repetition of a lost SYN, which comes after 1 s.
const CONNECT: Duration = Duration::from_millis(1_500);
/// Limit on silence where a sign of life is due each second.
const SILENCE: Duration = Duration::from_millis(1_800);

/// A step of an attempt, with the relay of its request.
#[derive(Clone, Copy)]
pub struct Job<'a> {
    /// The request.
    pub request: request::Id,
    /// Number of the attempt.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: &'a object::Endpoint,
    /// Whether the whole answer is to be kept.
    pub keep_answer: bool,
    /// The relay of the request.
    pub relay: &'a Relay,
}

/// Carries out steps at endpoints; blocks until they have come to something.
pub trait Endpoint: Send + Sync {
    /// Carries out a step; `first` is called when the first part of the answer has been relayed.
    fn run(&self, job: Job<'_>, step: &request::Step, first: &dyn Fn()) -> request::Outcome;

    /// Ends what the endpoint does for an attempt.
    ///
    /// # Errors
    ///
    /// The endpoint could not be told; it is worth telling it again.
    fn cancel(
        &self,
        request: request::Id,
        attempt: u32,
        endpoint: &object::Endpoint,
    ) -> Result<(), attohttpc::Error>;
}

/// Returns the adapter for a role.
pub fn adapter(role: Role) -> &'static dyn Endpoint {
    match role {
        Role::Prefill | Role::Decode => &Engine,
        Role::Plain => &Plain,
    }
}

/// Turns off the proxies of the process's environment: endpoints are called by their address.
fn direct<B>(request: attohttpc::RequestBuilder<B>) -> attohttpc::RequestBuilder<B> {
    request.proxy_settings(attohttpc::ProxySettings::builder().build()).connect_timeout(CONNECT)
}

/// Returns whether any byte of a failed call may have left.
fn may_have_left(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(io) => io.kind() != std::io::ErrorKind::ConnectionRefused,
        attohttpc::ErrorKind::ConnectNotSupported | attohttpc::ErrorKind::InvalidBaseUrl => false,
        _ => true,
    }
}
