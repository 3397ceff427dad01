//! The fakes and configuration objects of the benchmark.

use anyhow::ensure;
use serde_json::{Value, json};
use siskinstile_core::key;
use siskinstile_fakes::{Engine, Platform, engine};

/// API key of the caller.
pub(super) const KEY: &str = "bench.not-a-secret";
/// Model of the latency comparison, with one stream at a time.
pub(super) const SINGLE: &str = "single";
/// Model of the load measurement, with many concurrent streams.
pub(super) const MANY: &str = "many";

/// Time per output token in the latency comparison, in milliseconds.
const SINGLE_TOKEN_MS: f64 = 10.0;
const MEMORY: u64 = 1 << 30;
const SALT: [u8; 16] = [3; 16];

/// A fake platform and the fake engines of two pools.
pub(super) struct Site {
    pub(super) platform: Platform,
    pub(super) prefill: Engine,
    pub(super) decode: Engine,
    _many: [Engine; 2],
}

impl Site {
    /// Starts the fakes and writes the configuration objects to the platform.
    pub(super) fn spawn(many_token_ms: f64, slots: u32) -> anyhow::Result<Site> {
        let platform = Platform::spawn()?;
        let spawn = |role, token_ms| {
            Engine::spawn(engine::Config {
                role,
                slots,
                memory: MEMORY,
                token_ms,
                batch_slowdown: 0.0,
                ..engine::Config::default()
            })
        };
        let prefill = spawn(engine::Role::Prefill, 0.0)?;
        let decode = spawn(engine::Role::Decode, SINGLE_TOKEN_MS)?;
        let many =
            [spawn(engine::Role::Prefill, 0.0)?, spawn(engine::Role::Decode, many_token_ms)?];
        let mut objects = common_objects();
        objects.extend(model_objects(SINGLE, [&prefill, &decode], slots));
        objects.extend(model_objects(MANY, [&many[0], &many[1]], slots));
        for (kind, value) in objects {
            let name = value["name"].as_str().unwrap_or_default();
            let url = format!("http://{}/objects/{kind}/{name}?if_version=0", platform.address());
            let status = attohttpc::put(url).json(&value)?.send()?.status();
            ensure!(status.is_success(), "the platform rejected {kind} {name}: {status}");
        }
        Ok(Site { platform, prefill, decode, _many: many })
    }
}

fn common_objects() -> Vec<(&'static str, Value)> {
    let (name, secret) = KEY.split_once('.').unwrap_or((KEY, ""));
    let salt: String = SALT.iter().map(|it| format!("{it:02x}")).collect();
    let hash = key::hash(&SALT, secret);
    let models = [SINGLE, MANY];
    vec![
        ("service", json!({"name": "bench", "workload": "model", "models": models})),
        ("team", json!({"name": "bench", "rate": 10_000, "burst": 100_000_000})),
        ("key", json!({"name": name, "team": "bench", "salt": salt, "hash": hash})),
    ]
}

fn model_objects(model: &str, engines: [&Engine; 2], slots: u32) -> [(&'static str, Value); 2] {
    let endpoint = |role: &str, engine: &Engine| {
        json!({"name": format!("{model}-{role}"), "address": engine.address().to_string(),
            "datacentre": "a", "role": role, "places": slots, "memory": MEMORY})
    };
    let endpoints = [endpoint("prefill", engines[0]), endpoint("decode", engines[1])];
    let pool = json!({"name": model, "service": "bench", "endpoints": endpoints,
        "queue_limit": 1_000, "link_slots": slots});
    let route = json!({"name": model, "service": "bench", "pool": model, "model": model,
        "urgency": "patient", "idempotent": true, "first_token_ms": 60_000});
    [("pool", pool), ("route", route)]
}
