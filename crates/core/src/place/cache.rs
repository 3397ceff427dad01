//! Index of the prefixes that prefill endpoints probably have in their caches, kept from the
//! prompts sent to them.

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::BLOCK_TOKENS;

/// Largest number of blocks recorded for one endpoint, whatever its memory.
const MAX_BLOCKS: usize = 4_096;

/// The blocks that an endpoint probably caches, by prefix hash, each with the logical time of its
/// last use.
#[value(default)]
struct Contents {
    blocks: IndexMap<u64, u64>,
    clock: u64,
}

/// Index from prefixes to the endpoints that probably cache them.
#[value(default)]
pub(super) struct Index {
    contents: IndexMap<u32, Contents>,
    holders: IndexMap<u64, Vec<u32>>,
}

impl Index {
    /// Records that a prompt was sent to an endpoint with memory for `limit` blocks, and evicts the
    /// blocks beyond that, least recently used first.
    pub(super) fn insert(&mut self, endpoint: u32, prefixes: &[u64], limit: usize) {
        let contents = self.contents.entry(endpoint).or_default();
        // Engines evict the last block of a prompt first.
        for prefix in prefixes.iter().rev() {
            contents.clock += 1;
            if contents.blocks.insert(*prefix, contents.clock).is_none() {
                self.holders.entry(*prefix).or_default().push(endpoint);
            }
        }
        while contents.blocks.len() > limit.min(MAX_BLOCKS) {
            let oldest = contents.blocks.iter().min_by_key(|(_, used)| **used).map(|it| *it.0);
            let Some(oldest) = oldest else { break };
            contents.blocks.swap_remove(&oldest);
            remove(&mut self.holders, oldest, endpoint);
        }
    }

    /// Removes a prefix that the endpoint has reported as evicted.
    pub(super) fn drop_prefix(&mut self, endpoint: u32, prefix: u64) {
        let contents = self.contents.get_mut(&endpoint);
        if contents.is_some_and(|it| it.blocks.swap_remove(&prefix).is_some()) {
            remove(&mut self.holders, prefix, endpoint);
        }
    }

    /// Removes an endpoint and all of its prefixes.
    pub(super) fn remove_endpoint(&mut self, endpoint: u32) {
        let Some(contents) = self.contents.swap_remove(&endpoint) else { return };
        for prefix in contents.blocks.into_keys() {
            remove(&mut self.holders, prefix, endpoint);
        }
    }

    /// Returns the number of prompt tokens that each endpoint probably caches, by endpoint index.
    pub(super) fn cached(&self, prefixes: &[u64], endpoints: u32) -> Vec<u64> {
        let mut cached = vec![0; endpoints as usize];
        for (index, prefix) in prefixes.iter().enumerate() {
            let Some(holders) = self.holders.get(prefix) else { break };
            for holder in holders {
                let tokens = &mut cached[*holder as usize];
                if *tokens == index as u64 * BLOCK_TOKENS {
                    *tokens += BLOCK_TOKENS;
                }
            }
        }
        cached
    }
}

fn remove(holders: &mut IndexMap<u64, Vec<u32>>, prefix: u64, endpoint: u32) {
    let Some(list) = holders.get_mut(&prefix) else { return };
    list.retain(|it| *it != endpoint);
    if list.is_empty() {
        holders.swap_remove(&prefix);
    }
}
