//! The prefix cache of an engine and its events.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde_json::{Value, json};

/// Characters of one piece of a prompt.
pub(super) const PIECE_CHARS: usize = 2_000;

/// Characters that count as one token.
pub(super) const CHARS_PER_TOKEN: usize = 4;

/// Tokens of one piece.
const PIECE_TOKENS: u64 = (PIECE_CHARS / CHARS_PER_TOKEN) as u64;

/// Events that are kept.
const EVENT_LIMIT: usize = 10_000;

/// Start value and multiplier of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Pieces held, the least recently used first.
#[derive(Default)]
pub(super) struct Cache {
    limit: u64,
    pieces: IndexMap<u64, ()>,
    events: VecDeque<Event>,
    next_seq: u64,
}

struct Event {
    seq: u64,
    prefix: u64,
    cached: bool,
    at: Instant,
}

impl Cache {
    /// Returns an empty cache of `limit` tokens.
    pub(super) fn new(limit: u64) -> Cache {
        Cache { limit, ..Cache::default() }
    }

    /// Returns how many tokens of the prompt are held, as the longest run of leading pieces.
    pub(super) fn lookup(&self, prompt: &str) -> u64 {
        let held = prefix_hashes(prompt).into_iter().take_while(|it| self.pieces.contains_key(it));
        held.count() as u64 * PIECE_TOKENS
    }

    /// Takes in the full pieces of a prompt and evicts others beyond the limit.
    pub(super) fn insert(&mut self, prompt: &str, drops_events: bool) {
        // In reverse, so that a shorter prefix outlives those that build on it.
        for prefix in prefix_hashes(prompt).into_iter().rev() {
            let known = self.pieces.shift_remove(&prefix).is_some();
            self.pieces.insert(prefix, ());
            if !known {
                self.record(prefix, true, drops_events);
            }
        }
        while self.pieces.len() as u64 * PIECE_TOKENS > self.limit {
            let Some((prefix, ())) = self.pieces.shift_remove_index(0) else { break };
            self.record(prefix, false, drops_events);
        }
    }

    pub(super) fn clear(&mut self, drops_events: bool) {
        for (prefix, ()) in std::mem::take(&mut self.pieces) {
            self.record(prefix, false, drops_events);
        }
    }

    /// Returns the events from the number `since` on that are at least `age` old.
    pub(super) fn events(&self, since: u64, age: Duration) -> Value {
        let list: Vec<&Event> = self
            .events
            .iter()
            .take_while(|it| it.at.elapsed() >= age)
            .filter(|it| it.seq >= since)
            .collect();
        let next = list.last().map_or(since, |it| it.seq + 1);
        let line = |it: &&Event| json!({"seq": it.seq, "prefix": format!("{:016x}", it.prefix), "cached": it.cached});
        json!({"next": next, "events": list.iter().map(line).collect::<Vec<_>>()})
    }

    fn record(&mut self, prefix: u64, cached: bool, dropped: bool) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if dropped {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back(Event { seq, prefix, cached, at: Instant::now() });
    }
}

/// Returns the hash of each leading run of full pieces of a prompt.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut out = Vec::new();
    let mut hash = FNV_OFFSET;
    for (index, char) in prompt.chars().enumerate() {
        hash = fold(hash, char);
        if (index + 1) % PIECE_CHARS == 0 {
            out.push(hash);
        }
    }
    out
}

/// Returns the 16-bit hash of a prompt, with which each of its output tokens begins.
pub fn hash16(prompt: &str) -> u16 {
    let hash = prompt.chars().fold(FNV_OFFSET, fold);
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}

/// Returns the number of tokens of a prompt.
pub fn count_tokens(prompt: &str) -> u64 {
    prompt.chars().count().div_ceil(CHARS_PER_TOKEN) as u64
}

/// Returns the output token of a prompt with this hash at this index.
pub fn token_at(hash: u16, index: u64) -> String {
    format!("{hash:04x}.{index} ")
}

fn fold(hash: u64, char: char) -> u64 {
    let mut bytes = [0; 4];
    let encoded = char.encode_utf8(&mut bytes);
    encoded.bytes().fold(hash, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
