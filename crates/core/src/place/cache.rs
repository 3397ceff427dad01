//! The own record of the prefixes that prefill endpoints have been sent.

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::PIECE_TOKENS;

/// Pieces kept for one endpoint whatever its memory.
const MOST_PIECES: usize = 4_096;

/// The pieces that an endpoint probably holds, with the count at which each was used last.
#[value(default)]
struct Held {
    pieces: IndexMap<u64, u64>,
    clock: u64,
}

/// Which endpoints hold which prefixes.
#[value(default)]
pub(super) struct Index {
    held: IndexMap<u32, Held>,
    holders: IndexMap<u64, Vec<u32>>,
}

impl Index {
    /// Notes that an endpoint with memory for `limit` pieces was sent a prompt.
    pub(super) fn sent(&mut self, endpoint: u32, prefixes: &[u64], limit: usize) {
        let held = self.held.entry(endpoint).or_default();
        // Engines evict the last piece of a prompt first.
        for prefix in prefixes.iter().rev() {
            held.clock += 1;
            if held.pieces.insert(*prefix, held.clock).is_none() {
                self.holders.entry(*prefix).or_default().push(endpoint);
            }
        }
        while held.pieces.len() > limit.min(MOST_PIECES) {
            let oldest = held.pieces.iter().min_by_key(|(_, used)| **used).map(|it| *it.0);
            let Some(oldest) = oldest else { break };
            held.pieces.swap_remove(&oldest);
            remove(&mut self.holders, oldest, endpoint);
        }
    }

    /// Corrects the record by a cache event that says that a prefix is gone.
    pub(super) fn gone(&mut self, endpoint: u32, prefix: u64) {
        let held = self.held.get_mut(&endpoint);
        if held.is_some_and(|it| it.pieces.swap_remove(&prefix).is_some()) {
            remove(&mut self.holders, prefix, endpoint);
        }
    }

    /// Forgets an endpoint.
    pub(super) fn forget(&mut self, endpoint: u32) {
        let Some(held) = self.held.swap_remove(&endpoint) else { return };
        for prefix in held.pieces.into_keys() {
            remove(&mut self.holders, prefix, endpoint);
        }
    }

    /// Returns the tokens of a prompt that each endpoint holds, by its number.
    pub(super) fn cached(&self, prefixes: &[u64], numbers: u32) -> Vec<u64> {
        let mut out = vec![0; numbers as usize];
        for (index, prefix) in prefixes.iter().enumerate() {
            let Some(holders) = self.holders.get(prefix) else { break };
            for holder in holders {
                let tokens = &mut out[*holder as usize];
                if *tokens == index as u64 * PIECE_TOKENS {
                    *tokens += PIECE_TOKENS;
                }
            }
        }
        out
    }
}

fn remove(holders: &mut IndexMap<u64, Vec<u32>>, prefix: u64, endpoint: u32) {
    let Some(list) = holders.get_mut(&prefix) else { return };
    list.retain(|it| *it != endpoint);
    if list.is_empty() {
        holders.swap_remove(&prefix);
    }
}
