//! The ways to choose endpoints.

use siskinstile_macros::value;

/// How a pool's endpoints are chosen.
#[value(serde, id, default)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// A prefill starts only with a decode place, its memory and a link record promised.
    #[default]
    Promise,
    /// As `promise`, with the most tokens of a request taken as its exact output.
    Exact,
    /// The smallest part of slots taken by the own record, for prefill and decode together.
    LeastUsed,
    /// Endpoints in turn, as soon as a request arrives.
    RoundRobin,
    /// The least load by the endpoints' own reports, as soon as a request arrives.
    LeastLoad,
    /// The prefill endpoint by the prompt's first prefix, as soon as a request arrives.
    PrefixAffinity,
}

impl Policy {
    /// Returns whether promises are made.
    pub fn promises(self) -> bool {
        matches!(self, Policy::Promise | Policy::Exact)
    }
}
