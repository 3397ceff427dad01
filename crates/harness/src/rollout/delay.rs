//! The time from an accepted write to in force at every instance of a real fleet on loopback.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant as Clock},
};

use anyhow::{Context as _, ensure};
use hdrhistogram::Histogram;
use serde_json::json;
use siskinstile_core::object::Name;

use crate::fleet::{Fleet, wait_until};

/// Instances of the fleet.
const INSTANCES: usize = 6;
/// Longest time that a write may take.
const LIMIT: Duration = Duration::from_secs(30);
/// Pause between two writes.
const PAUSE: Duration = Duration::from_millis(150);
/// Time over which calls are counted without a change.
const IDLE: Duration = Duration::from_secs(30);

/// Prints percentiles of the delay and the platform's calls.
///
/// # Errors
///
/// The fleet does not start or a write does not come into force.
pub fn run(objects: &Path, writes: u64) -> anyhow::Result<()> {
    let fleet = Fleet::spawn(objects, INSTANCES)?;
    let team = fleet.daemons[0].config().set.teams.keys().next().cloned().context("no team")?;
    thread::sleep(Duration::from_secs(3));
    let before = calls(&fleet);
    thread::sleep(IDLE);
    let idle = (calls(&fleet) - before) as f64 / IDLE.as_secs_f64();
    println!("platform calls a second, idle, {INSTANCES} instances: {idle:.2}");
    let mut delays = Histogram::<u64>::new(3)?;
    for change in 0..writes {
        delays.record(one(&fleet, &team, 300 + change)?.as_micros() as u64)?;
        thread::sleep(PAUSE);
    }
    let at = |quantile| Duration::from_micros(delays.value_at_quantile(quantile));
    println!(
        "accepted write to in force at all of {INSTANCES}: {writes} writes, p50 {:?} p99 {:?} max {:?}",
        at(0.5),
        at(0.99),
        at(1.0),
    );
    println!("platform counters: {:?}", fleet.platform.counters());
    Ok(())
}

fn calls(fleet: &Fleet) -> u64 {
    fleet.platform.counters().values().sum()
}

fn one(fleet: &Fleet, team: &Name, rate: u64) -> anyhow::Result<Duration> {
    let url = format!("http://{}/objects/team/{team}", fleet.platform.address());
    let held: serde_json::Value = attohttpc::get(&url).send()?.json()?;
    let mut value = held["value"].clone();
    value["rate"] = json!(rate);
    let response = attohttpc::put(&url).json(&value)?.send()?;
    ensure!(response.is_success(), "the write was refused");
    let start = Clock::now();
    let everywhere = || {
        let at = |it: &siskinstiled::Daemon| it.config().set.teams[team].rate == rate;
        fleet.daemons.iter().all(at)
    };
    wait_until(LIMIT, everywhere)?;
    Ok(start.elapsed())
}
