//! Interface of simulated endpoints.

use siskinstile_core::{
    Instant,
    object::{self, Name},
    request,
};

/// Simulated endpoints.
pub trait Endpoints {
    /// Starts a call for a step; [`advance`](Endpoints::advance) returns its reports.
    fn call(&mut self, now: Instant, call: EndpointCall);
    /// Cancels the work of an endpoint for an attempt.
    fn cancel(
        &mut self,
        now: Instant,
        request: request::Id,
        attempt: u32,
        endpoint: &object::Endpoint,
    );
    /// Returns the time of the next report or state change, if any is pending.
    fn next_at(&self) -> Option<Instant>;
    /// Advances the endpoints to `now` and returns the reports that are due, each with the name of
    /// the calling instance.
    fn advance(&mut self, now: Instant) -> Vec<(Name, request::Report)>;
    /// Drops the calls of an instance that was killed, since its connections are closed.
    fn disconnect(&mut self, now: Instant, instance: &str);
}

/// A call from an instance to an endpoint for one step of a request.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Name of the calling instance.
    pub instance: Name,
    /// Identifier of the request.
    pub request: request::Id,
    /// Number of the attempt.
    pub attempt: u32,
    /// The endpoint that is called, as configured.
    pub endpoint: object::Endpoint,
    /// The step to carry out.
    pub step: request::Step,
}
