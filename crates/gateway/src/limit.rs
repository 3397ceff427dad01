//! Limits that endpoints state on the requests from all instances together.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, call::StatedLimit, directory::Endpoint, name_hash::NameHash};

/// What is known of the limit of an endpoint.
#[value]
struct Limit {
    /// Start of the endpoint's incarnation.
    started_at_ms: Option<u64>,
    /// Requests per 1,000 seconds; `None` if it states a limit no longer.
    rate: Option<u64>,
    /// When it was stated.
    stated_at: Instant,
}

/// The limits of all endpoints.
#[value(default)]
pub struct Limits {
    limits: IndexMap<NameHash, Limit>,
}

impl Limits {
    /// Records what an endpoint has stated in a response to this instance; returns whether that has
    /// changed.
    pub fn record(&mut self, now: Instant, endpoint: &Endpoint, stated: StatedLimit) -> bool {
        let rate = match stated {
            StatedLimit::Unknown => return false,
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
        };
        let key = NameHash::of(&endpoint.id);
        let limit = Limit { started_at_ms: endpoint.started_at_ms, rate, stated_at: now };
        match self.limits.get_mut(&key) {
            None if rate.is_none() => false,
            None => {
                self.limits.insert(key, limit);
                true
            }
            Some(known) => std::mem::replace(known, limit).rate != rate,
        }
    }
}
