//! Measurement of the cost of configuration: platform calls, bytes, memory and time.

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant as Clock},
};

use anyhow::Context as _;
use serde_json::json;
use siskinstile_core::{
    Config, check, chunk,
    key::{self, Secret},
    object::{Endpoint, Key, Kind, Name, Policy, Pool, Role, Route, Service, Set, Team, Workload},
    store::Call,
};

use super::NoEndpoints;
use crate::world::World;

/// Changes of configuration per day at the target size.
pub const CHANGES_PER_DAY: u64 = 6_400;
/// Seconds per day.
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Virtual time over which calls and messages are counted.
const MEASUREMENT_TIME: Duration = Duration::from_secs(60);

/// Returns a valid set with the given numbers of teams, keys and models; each model has a service,
/// a pool of 90 endpoints and a route.
pub fn large_set(teams: usize, keys: usize, models: usize) -> Set {
    let mut set = Set::default();
    for index in 0..teams {
        let name: Name = format!("team-{index:05}").into();
        let team =
            Team { name: name.clone(), weight: 1, rate: 100, burst: 10_000, offline_grace_s: None };
        set.teams.insert(name, team);
    }
    for index in 0..keys {
        let name: Name = format!("team-{:05}-key-{index:05}", index % teams).into();
        let salt = format!("{index:032x}");
        let hash = key::hash(&hex(&salt), &secret(index));
        let team = format!("team-{:05}", index % teams).into();
        let key = Key {
            name: name.clone(),
            team,
            salt: salt.into(),
            hash: hash.into(),
            withdrawn: false,
            offline_grace_s: None,
        };
        set.keys.insert(name, key);
    }
    (0..models).for_each(|index| add_model(&mut set, index));
    set
}

fn hex(text: &str) -> Vec<u8> {
    let digit = |it: usize| u8::from_str_radix(&text[it..it + 2], 16).unwrap_or(0);
    (0..text.len()).step_by(2).map(digit).collect()
}

fn secret(index: usize) -> String {
    format!("secret-of-key-{index}")
}

fn add_model(set: &mut Set, index: usize) {
    let (service, pool): (Name, Name) =
        (format!("service-{index}").into(), format!("pool-{index}").into());
    let model: Name = format!("model-{index}").into();
    set.services.insert(
        service.clone(),
        Service {
            name: service.clone(),
            workload: Workload::Model,
            models: vec![model.clone()],
            objective_percent: 95.0,
        },
    );
    let endpoint = |number: usize| Endpoint {
        name: format!("worker-{index}-{number}").into(),
        address: format!("10.{index}.{}.1:{}", number / 200, 1_000 + number).into(),
        datacentre: format!("dc-{}", number / 2 % 10).into(),
        role: if number.is_multiple_of(2) { Role::Prefill } else { Role::Decode },
        slots: 16,
        memory: 400_000,
        fences: false,
        leaving: false,
    };
    let endpoints = (0..90).map(endpoint).collect();
    let pool_object = Pool {
        name: pool.clone(),
        service: service.clone(),
        endpoints,
        prefill_rate: 20_000,
        link_slots: 4,
        transfer_ms: 10,
        queue_limit: 256,
        policy: Policy::default(),
    };
    set.pools.insert(pool.clone(), pool_object);
    let route = json!({
        "name": format!("route-{index}"), "service": service, "pool": pool, "model": model,
        "urgency": "urgent", "idempotent": true, "first_token_ms": 1_700,
    });
    let route: Route = serde_json::from_value(route).expect("the route is valid");
    set.routes.insert(route.name.clone(), route);
}

/// Prints the memory of a set of the target size, and the time to check it, to split it into chunks
/// and to look up a key.
///
/// # Errors
///
/// Returns an error if the memory of the process cannot be read.
pub fn size() -> anyhow::Result<()> {
    let before = resident_kb()?;
    let config = Config::new(1, large_set(7_600, 20_000, 21));
    println!("memory of 7600 teams, 20000 keys, 21 models: {} KB", resident_kb()? - before);
    let start = Clock::now();
    let violations = check::check(black_box(&config.set)).len();
    println!("check: {:?}, {violations} violations", start.elapsed());
    let start = Clock::now();
    let index = chunk::Index::of(black_box(&config.set));
    println!("index of all chunks: {:?}, {} chunks", start.elapsed(), index.0.len());
    let texts: Vec<String> = index.0.keys().map(|it| chunk::encode(&config.set, *it)).collect();
    let bytes: usize = texts.iter().map(String::len).sum();
    let largest = texts.iter().map(String::len).max().unwrap_or(0);
    println!("chunks: {bytes} bytes in total, largest {largest}");
    measure_lookup(&config);
    Ok(())
}

fn measure_lookup(config: &Config) {
    const LOOKUPS: usize = 20_000;
    let presented: Vec<Secret> = (0..LOOKUPS)
        .map(|it| Secret::new(format!("team-{:05}-key-{it:05}.{}", it % 7_600, secret(it))))
        .collect();
    let start = Clock::now();
    let found = presented.iter().filter(|it| key::verify(&config.set, it).is_some()).count();
    let each = start.elapsed().as_nanos() as usize / LOOKUPS;
    println!("key lookup: {each} ns each, {found} of {LOOKUPS} found");
}

fn resident_kb() -> anyhow::Result<u64> {
    let status =
        fs::read_to_string("/proc/self/status").context("cannot read the status of the process")?;
    let line = status
        .lines()
        .find_map(|it| it.strip_prefix("VmRSS:"))
        .context("no VmRSS in the status of the process")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Platform calls, the writes among them, messages and encoded bytes of a fleet, per second.
struct Traffic {
    calls: f64,
    writes: f64,
    messages: f64,
    bytes: f64,
}

/// Prints platform calls and messages by number of instances, idle and at the target rate of
/// changes.
pub fn traffic(seed: u64) {
    println!(
        "instances datacentres changes/s | calls/s writes/s | messages/s bytes/s per instance"
    );
    for (instances, datacentres) in [(6, 3), (12, 3), (36, 6), (72, 4), (144, 4)] {
        let idle = measure_traffic(seed, instances, datacentres, 0.0);
        let rate = CHANGES_PER_DAY as f64 / SECONDS_PER_DAY;
        let busy = measure_traffic(seed, instances, datacentres, rate);
        for (rate, measured) in [(0.0, idle), (rate, busy)] {
            println!(
                "{instances:9} {datacentres:11} {rate:9.3} | {:7.2} {:8.2} | {:10.2} {:7.0}",
                measured.calls,
                measured.writes,
                measured.messages / instances as f64,
                measured.bytes / instances as f64,
            );
        }
    }
}

fn measure_traffic(seed: u64, instances: usize, datacentres: usize, rate: f64) -> Traffic {
    let mut world = World::new(seed, NoEndpoints);
    for (kind, name, value) in large_set(50, 100, 2).values() {
        world.edit(&Call::Put { kind: kind.as_str().into(), name, value, if_version: None });
    }
    for index in 0..instances {
        let mut settings = super::settings(index);
        settings.name = format!("instance-{index:03}").into();
        settings.datacentre = format!("dc-{}", index % datacentres).into();
        world.start(settings, 0);
    }
    // The statuses of the first set are written in this time, at 40 per second.
    world.run(world.now() + Duration::from_secs(30));
    let (calls_before, writes_before, traffic_before) =
        (world.store.calls, world.store.writes, world.traffic);
    let (end, mut edits) = (world.now() + MEASUREMENT_TIME, 0);
    let changes = (rate * MEASUREMENT_TIME.as_secs_f64()).round() as u32;
    for change in 0..changes {
        world.run(world.now() + MEASUREMENT_TIME / changes);
        let name: Name = format!("team-{:05}", change % 50).into();
        let mut value = world.store.get(Kind::Team.as_str(), &name).and_then(|it| it.value.clone());
        if let Some(value) = &mut value {
            value["rate"] = json!(200 + change);
        }
        let value = value.unwrap_or_default();
        world.edit(&Call::Put { kind: Kind::Team.as_str().into(), name, value, if_version: None });
        edits += 1;
    }
    world.run(end);
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    Traffic {
        calls: (world.store.calls - calls_before - edits) as f64 / seconds,
        writes: (world.store.writes - writes_before - edits) as f64 / seconds,
        messages: (world.traffic.0 - traffic_before.0) as f64 / seconds,
        bytes: (world.traffic.1 - traffic_before.1) as f64 / seconds,
    }
}
