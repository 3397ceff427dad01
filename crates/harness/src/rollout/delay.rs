//! Measurement of the time from an accepted write until it is in force at every instance of a real
//! fleet on the loopback interface.

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

/// Number of instances of the fleet.
const INSTANCES: usize = 6;
/// Time after which a write that is not in force everywhere fails the measurement.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from the moment a write is in force everywhere to the next write.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);
/// Time over which the platform calls of an idle fleet are counted.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Prints percentiles of the delay and the number of platform calls.
///
/// # Errors
///
/// Returns an error if the fleet does not start or a write does not come into force.
pub fn run(objects: &Path, writes: u64) -> anyhow::Result<()> {
    let fleet = Fleet::spawn(objects, INSTANCES)?;
    let team = fleet.daemons[0]
        .config()
        .set
        .teams
        .keys()
        .next()
        .cloned()
        .context("the objects contain no team")?;
    thread::sleep(Duration::from_secs(3));
    let calls_before = platform_calls(&fleet);
    thread::sleep(IDLE_TIME);
    let idle = (platform_calls(&fleet) - calls_before) as f64 / IDLE_TIME.as_secs_f64();
    println!("platform calls per second, idle, {INSTANCES} instances: {idle:.2}");
    let mut delays = Histogram::<u64>::new(3)?;
    for change in 0..writes {
        delays.record(measure_write(&fleet, &team, 300 + change)?.as_micros() as u64)?;
        thread::sleep(WRITE_INTERVAL);
    }
    let delay_at = |quantile| Duration::from_micros(delays.value_at_quantile(quantile));
    println!(
        "accepted write to in force at all of {INSTANCES}: {writes} writes, p50 {:?} p99 {:?} max {:?}",
        delay_at(0.5),
        delay_at(0.99),
        delay_at(1.0),
    );
    println!("platform counters: {:?}", fleet.platform.counters());
    Ok(())
}

fn platform_calls(fleet: &Fleet) -> u64 {
    fleet.platform.counters().values().sum()
}

fn measure_write(fleet: &Fleet, team: &Name, rate: u64) -> anyhow::Result<Duration> {
    let url = format!("http://{}/objects/team/{team}", fleet.platform.address());
    let stored: serde_json::Value = attohttpc::get(&url).send()?.json()?;
    let mut value = stored["value"].clone();
    value["rate"] = json!(rate);
    let response = attohttpc::put(&url).json(&value)?.send()?;
    ensure!(response.is_success(), "the write was refused");
    let start = Clock::now();
    let is_everywhere = || {
        let is_adopted = |it: &siskinstiled::Daemon| it.config().set.teams[team].rate == rate;
        fleet.daemons.iter().all(is_adopted)
    };
    wait_until(WRITE_TIMEOUT, is_everywhere)?;
    Ok(start.elapsed())
}
