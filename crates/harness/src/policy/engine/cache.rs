//! The prefix cache of an engine: the pieces used last, within its memory.

use indexmap::IndexMap;

use super::PIECE_TOKENS;

/// The pieces that are cached, by the hash of the prefix that ends there.
#[derive(Debug, Default)]
pub(super) struct Cache {
    pieces: IndexMap<u64, u64>,
    limit: usize,
    clock: u64,
}

impl Cache {
    pub(super) fn new(limit: usize) -> Cache {
        Cache { limit, ..Cache::default() }
    }

    /// Returns the tokens of a prompt that are cached.
    pub(super) fn cached(&self, prefixes: &[u64]) -> u64 {
        prefixes.iter().take_while(|it| self.pieces.contains_key(*it)).count() as u64 * PIECE_TOKENS
    }

    /// Adds the pieces of a prompt and evicts those used longest ago, the last of a prompt first.
    pub(super) fn insert(&mut self, prefixes: &[u64]) {
        for prefix in prefixes.iter().rev() {
            self.clock += 1;
            self.pieces.insert(*prefix, self.clock);
        }
        while self.pieces.len() > self.limit {
            let oldest = self.pieces.iter().min_by_key(|(_, used)| **used).map(|it| *it.0);
            oldest.map(|it| self.pieces.swap_remove(&it));
        }
    }
}
