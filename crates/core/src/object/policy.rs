//! Placement policies.

use siskinstile_macros::value;

/// Policy by which the endpoints of a pool are chosen.
#[value(serde, id, default)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// A prefill starts only when a decode slot, its memory and a link slot are reserved.
    #[default]
    Promise,
    /// Like `promise`, but takes a request's token limit as its exact output length.
    Exact,
    /// The endpoint with the lowest fraction of used slots by the dispatcher's record, for prefill
    /// and decode together.
    LeastUsed,
    /// Endpoints in rotation, as soon as a request arrives.
    RoundRobin,
    /// The endpoint with the lowest reported load, as soon as a request arrives.
    LeastLoad,
    /// The prefill endpoint by a hash of the prompt's first prefix, as soon as a request arrives.
    PrefixAffinity,
}

impl Policy {
    /// Returns whether the policy reserves slots and memory before a prefill starts.
    pub fn reserves(self) -> bool {
        matches!(self, Policy::Promise | Policy::Exact)
    }
}
