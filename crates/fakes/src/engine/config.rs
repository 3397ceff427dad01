//! Settings of an engine.

use siskinstile_macros::value;

/// The stage that an engine executes.
#[value(serde, id)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
}

/// Settings of an engine, which sleeps for the configured times instead of computing.
#[value(serde)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Name of the engine, with which the names of its KV caches begin.
    pub name: String,
    /// Role at the start, until an order changes it.
    pub role: Role,
    /// Models loaded at the start; an empty list accepts every model.
    pub models: Vec<String>,
    /// Maximum number of concurrent requests.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Memory for decode requests, in tokens.
    pub memory: u64,
    /// Capacity of the prefix cache, in tokens.
    pub prefix_memory: u64,
    /// Prefill rate of one slot, in tokens per second.
    pub prefill_rate: u64,
    /// Time per output token before the slowdown by concurrent streams, in milliseconds.
    pub token_ms: f64,
    /// Fraction by which the time per output token grows when every slot has a stream.
    pub batch_slowdown: f64,
    /// Time of a KV-cache transfer, in milliseconds per 1,000 tokens.
    pub transfer_ms: f64,
    /// Time after which a computed KV cache is evicted, in milliseconds.
    pub eviction_ms: u64,
    /// Time after an import within which the decode call must arrive, in milliseconds.
    pub decode_wait_ms: u64,
    /// Time for which a broken stream can be resumed, in milliseconds.
    pub resume_ms: u64,
    /// Age of the load that `GET /load` reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with an outdated fencing token are refused.
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
