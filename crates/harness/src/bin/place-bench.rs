//! Measures the time of a placement decision for several pool sizes.

use std::{
    sync::Arc,
    time::{Duration, Instant as Clock},
};

use clap::Parser;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    Config, Instant, Set,
    object::{Pool, Role, Urgency},
    place::{Decision, Dispatcher, Job},
    request::{Id, Outcome},
};

/// Numbers of endpoints of the measured pools.
const SIZES: [u64; 5] = [95, 190, 475, 950, 1_900];
/// Number of distinct shared prefixes.
const PREFIX_GROUPS: u64 = 600;
/// Interval between placements at the peak load of the target fleet size.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(833);

/// Measures the time of a placement decision for several pool sizes.
#[derive(Debug, Parser)]
struct Args {
    /// Number of placements measured for each pool size.
    #[arg(long, default_value_t = 20_000)]
    count: u64,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() {
    let args = Args::parse();
    println!("endpoints  mean_us  p50_us  p99_us");
    for size in SIZES {
        let mut times = measure(size, args.count, args.seed);
        times.sort_unstable();
        let us = |time: Duration| time.as_nanos() as f64 / 1e3;
        let mean = us(times.iter().sum()) / times.len() as f64;
        let percentile = |percent: usize| us(times[times.len() * percent / 100]);
        println!("{size:9} {mean:8.2} {:7.2} {:7.2}", percentile(50), percentile(99));
    }
}

/// Places requests one by one in a pool with about four fifths of its decode slots in use and
/// returns the time of each placement.
fn measure(size: u64, count: u64, seed: u64) -> Vec<Duration> {
    let mut set = Set::default();
    set.pools.insert("pool".into(), pool(size));
    let config = Config::new(1, set);
    let pool = config.pool("pool").expect("the pool was inserted");
    let mut dispatcher = Dispatcher::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::from_millis(1_000);
    let mut placed = std::collections::VecDeque::new();
    let used_slots = (size - size / 4) * 16 * 4 / 5;
    let mut times = Vec::new();
    for id in 0..used_slots + count {
        now = now + ARRIVAL_INTERVAL;
        let job = job(id, now, rng.random_range(0..PREFIX_GROUPS));
        let clock = Clock::now();
        let submitted = dispatcher.submit(now, pool, "dc", job);
        let decisions = dispatcher.poll(now, &config, "dc");
        let elapsed = clock.elapsed();
        assert!(submitted.is_ok(), "{submitted:?}");
        for decision in decisions {
            let Decision::Placed { request, .. } = decision else { continue };
            dispatcher.observe(now, request, &Outcome::Computed { kv: "kv".into(), cached: 0 });
            dispatcher.observe(now, request, &Outcome::Imported);
            placed.push_back(request);
        }
        if id >= used_slots {
            times.push(elapsed);
        }
        while placed.len() as u64 > used_slots {
            placed.pop_front().into_iter().for_each(|it| dispatcher.release(it));
        }
    }
    times
}

fn pool(size: u64) -> Pool {
    let endpoint = |index: u64| {
        let role = if index.is_multiple_of(4) { Role::Prefill } else { Role::Decode };
        serde_json::json!({
            "name": format!("endpoint-{index}"), "address": format!("127.0.0.1:{}", 1_024 + index),
            "datacentre": "dc", "role": role, "places": 16, "memory": 200_000,
        })
    };
    let endpoints: Vec<_> = (0..size).map(endpoint).collect();
    let value = serde_json::json!({
        "name": "pool", "service": "service", "endpoints": endpoints, "queue_limit": 1_000,
    });
    serde_json::from_value(value).expect("the pool is well formed")
}

fn job(id: u64, now: Instant, group: u64) -> Job {
    let blocks = 1 + group % 6;
    Job {
        request: Id(id),
        pool: "pool".into(),
        route: "route".into(),
        team: "team".into(),
        weight: 1,
        urgency: Urgency::Patient,
        arrived: now,
        prompt_tokens: blocks * 2_000 + 700,
        max_tokens: 600,
        prefixes: (0..blocks).map(|it| group * 8 + it).collect::<Arc<[u64]>>(),
        first_token: Duration::from_secs(20),
        between_tokens: Duration::from_millis(45),
        excluded: Vec::new(),
        is_retry: false,
    }
}
