//! The prefix cache of an engine: a bounded set of memory blocks with LRU eviction.

use indexmap::IndexMap;

use super::BLOCK_TOKENS;

#[derive(Debug, Default)]
pub(super) struct Cache {
    /// Value of `use_count` at the last use of each cached block, by the hash of the prefix that
    /// ends with the block.
    blocks: IndexMap<u64, u64>,
    capacity: usize,
    use_count: u64,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Cache {
        Cache { capacity, ..Cache::default() }
    }

    /// Returns the number of leading prompt tokens whose blocks are all cached.
    pub(super) fn cached_tokens(&self, prefixes: &[u64]) -> u64 {
        prefixes.iter().take_while(|it| self.blocks.contains_key(*it)).count() as u64 * BLOCK_TOKENS
    }

    /// Adds the blocks of a prompt and evicts the least recently used ones. The blocks are marked
    /// as used from last to first, so that the end of a prompt is evicted before its beginning.
    pub(super) fn insert(&mut self, prefixes: &[u64]) {
        for prefix in prefixes.iter().rev() {
            self.use_count += 1;
            self.blocks.insert(*prefix, self.use_count);
        }
        while self.blocks.len() > self.capacity {
            let least_recent =
                self.blocks.iter().min_by_key(|(_, last_used)| **last_used).map(|it| *it.0);
            least_recent.map(|it| self.blocks.swap_remove(&it));
        }
    }
}
