//! Handover of requests to peers by an instance that reaches no endpoint.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Name, call, name_hash::NameHash};

/// Maximum number of requests that are handed over to one peer at a time.
const MAX_OPEN_PER_PEER: usize = 64;

/// Progress or end of a handover.
#[value]
pub struct Report {
    /// The handover.
    pub id: call::Id,
    /// What has happened.
    pub outcome: Outcome,
}

/// What has happened to a handover.
#[value(eq)]
pub enum Outcome {
    /// The peer has begun its response, which is being relayed to the caller.
    Answered {
        /// Status of the response.
        status: u16,
    },
    /// The peer has not taken the request, which has not run.
    NotTaken {
        /// What went wrong.
        cause: &'static str,
    },
    /// The hop broke after bytes of the request may have been sent.
    Broken,
}

/// Returns the peer to hand a request over to: of the lowest distance, then the one with the fewest open
/// handovers, then in an order of its own for each request.
///
/// `peers` are those that may take it, each with its distance; `open` counts the open handovers.
pub fn choose<'a>(
    peers: impl Iterator<Item = (&'a Name, u32)>,
    open: &IndexMap<Name, usize>,
    seed: u64,
) -> Option<&'a Name> {
    let count = |it: &Name| open.get(it).copied().unwrap_or_default();
    peers
        .filter(|(name, _)| count(name) < MAX_OPEN_PER_PEER)
        .min_by_key(|(name, distance)| {
            let order = NameHash::of_all([name.as_bytes(), &seed.to_le_bytes()[..]]);
            (*distance, count(name), order)
        })
        .map(|(name, _)| name)
}
