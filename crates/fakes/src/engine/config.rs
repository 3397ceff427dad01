//! Settings of an engine.

use siskinstile_macros::value;

/// What an engine does.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
}

/// Settings of an engine; its costs are real sleeps.
#[value(serde)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Name, part of the names of its KV caches.
    pub name: String,
    /// What it does until an order changes it.
    pub role: Role,
    /// Models that it has loaded; it takes any where the list is empty.
    pub models: Vec<String>,
    /// Requests that it runs at once.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Memory for requests, in tokens.
    pub memory: u64,
    /// Memory of the prefix cache, in tokens.
    pub prefix_memory: u64,
    /// Rate of one place in prefill, in tokens a second.
    pub prefill_rate: u64,
    /// Time of one output token in an empty engine, in milliseconds.
    pub token_ms: f64,
    /// Share by which a token takes longer in a full engine.
    pub batch_slowdown: f64,
    /// Time of a KV transfer, in milliseconds for each 1,000 tokens.
    pub transfer_ms: f64,
    /// Time after which the result of a prefill is evicted, in milliseconds.
    pub eviction_ms: u64,
    /// Time for which an import waits for its decode call, in milliseconds.
    pub decode_wait_ms: u64,
    /// Time for which a broken stream can be resumed, in milliseconds.
    pub resume_ms: u64,
    /// Age of what `GET /load` reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether it refuses orders with an old fencing number.
    pub fences: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            name: "engine".into(),
            role: Role::Prefill,
            models: Vec::new(),
            slots: 8,
            memory: 100_000,
            prefix_memory: 50_000,
            prefill_rate: 20_000,
            token_ms: 10.0,
            batch_slowdown: 0.5,
            transfer_ms: 10.0,
            eviction_ms: 800,
            decode_wait_ms: 5_000,
            resume_ms: 10_000,
            load_lag_ms: 0,
            fences: false,
        }
    }
}
