//! Prefix cache of an engine and the events that report its changes.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde_json::{Value, json};

/// Characters in a block of a prompt, the unit of the prefix cache.
pub(super) const BLOCK_CHARS: usize = 2_000;

/// Characters that count as one token.
pub(super) const CHARS_PER_TOKEN: usize = 4;

/// Tokens in a block.
const BLOCK_TOKENS: u64 = (BLOCK_CHARS / CHARS_PER_TOKEN) as u64;

/// Maximum number of events kept; older ones are discarded.
const MAX_EVENTS: usize = 10_000;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// An LRU cache of prompt blocks, identified by the hash of the prompt up to their end.
#[derive(Default)]
pub(super) struct Cache {
    /// Capacity, in tokens.
    capacity: u64,
    /// Cached blocks, least recently used first.
    blocks: IndexMap<u64, ()>,
    events: VecDeque<Event>,
    next_seq: u64,
}

struct Event {
    seq: u64,
    prefix: u64,
    cached: bool,
    recorded_at: Instant,
}

impl Cache {
    /// Returns an empty cache with a capacity in tokens.
    pub(super) fn new(capacity: u64) -> Cache {
        Cache { capacity, ..Cache::default() }
    }

    /// Returns the number of tokens in the longest cached prefix of the prompt, in whole blocks.
    pub(super) fn lookup(&self, prompt: &str) -> u64 {
        let cached =
            prefix_hashes(prompt).into_iter().take_while(|it| self.blocks.contains_key(it));
        cached.count() as u64 * BLOCK_TOKENS
    }

    /// Caches the full blocks of a prompt, then evicts the least recently used blocks beyond the
    /// capacity.
    pub(super) fn insert(&mut self, prompt: &str, drops_events: bool) {
        // In reverse, so that a prefix is evicted after the longer ones that extend it.
        for prefix in prefix_hashes(prompt).into_iter().rev() {
            let was_cached = self.blocks.shift_remove(&prefix).is_some();
            self.blocks.insert(prefix, ());
            if !was_cached {
                self.record(prefix, true, drops_events);
            }
        }
        while self.blocks.len() as u64 * BLOCK_TOKENS > self.capacity {
            let Some((prefix, ())) = self.blocks.shift_remove_index(0) else { break };
            self.record(prefix, false, drops_events);
        }
    }

    /// Evicts all blocks.
    pub(super) fn clear(&mut self, drops_events: bool) {
        for (prefix, ()) in std::mem::take(&mut self.blocks) {
            self.record(prefix, false, drops_events);
        }
    }

    /// Returns the events with sequence number `since` or higher that are at least `age` old.
    pub(super) fn events(&self, since: u64, age: Duration) -> Value {
        let events: Vec<&Event> = self
            .events
            .iter()
            .take_while(|it| it.recorded_at.elapsed() >= age)
            .filter(|it| it.seq >= since)
            .collect();
        let next = events.last().map_or(since, |it| it.seq + 1);
        let encode = |it: &&Event| json!({"seq": it.seq, "prefix": format!("{:016x}", it.prefix), "cached": it.cached});
        json!({"next": next, "events": events.iter().map(encode).collect::<Vec<_>>()})
    }

    /// Adds an event. If it is `dropped`, only its sequence number is used up.
    fn record(&mut self, prefix: u64, cached: bool, dropped: bool) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if dropped {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { seq, prefix, cached, recorded_at: Instant::now() });
    }
}

/// Returns the hash of each prefix of a prompt that consists of full blocks, the shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = FNV_OFFSET;
    for (index, char) in prompt.chars().enumerate() {
        hash = hash_char(hash, char);
        if (index + 1) % BLOCK_CHARS == 0 {
            hashes.push(hash);
        }
    }
    hashes
}

/// Returns the 16-bit hash of a prompt, with which each of its output tokens begins.
pub fn hash16(prompt: &str) -> u16 {
    let hash = prompt.chars().fold(FNV_OFFSET, hash_char);
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}

/// Returns the number of tokens in a prompt, rounded up.
pub fn count_tokens(prompt: &str) -> u64 {
    prompt.chars().count().div_ceil(CHARS_PER_TOKEN) as u64
}

/// Returns the output token at `index` for a prompt with this 16-bit hash.
pub fn token_at(hash: u16, index: u64) -> String {
    format!("{hash:04x}.{index} ")
}

fn hash_char(hash: u64, char: char) -> u64 {
    let mut bytes = [0; 4];
    let encoded = char.encode_utf8(&mut bytes);
    encoded.bytes().fold(hash, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
