//! The benchmark: what the daemon adds to a direct call of an engine, and what many streams cost.
//!
//! Door and direct call take turns within one run, against the same stand-ins. The instance runs in
//! a process of its own, whose processor time and memory the kernel reports.

mod direct;
mod process;
mod site;

use std::{
    fmt,
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, ensure};
use hdrhistogram::Histogram;

use self::{process::Process, site::Site};
use crate::client::{self, Stream};

pub use process::serve;

/// Prompt of each request; about 25 tokens.
const PROMPT: &str = "Summarise the wash log of this subscriber, and draft a reply to the dispute.";
/// Output tokens of each request of the comparison.
const SHORT_TOKENS: u64 = 8;
/// Time for all streams to have begun.
const WARM_UP: Duration = Duration::from_secs(2);
/// Tokens a second of each of the concurrent streams.
const TOKEN_RATE: f64 = 22.0;
/// Goals: what the door may add, in microseconds, and what the streams may cost.
const MEDIAN_GOAL_US: u64 = 1_000;
const P99_GOAL_US: u64 = 3_000;
const CORES_GOAL: f64 = 1.0;
const MEMORY_GOAL_KIB: u64 = 64 << 10;

/// How much to measure.
#[derive(Debug, Clone, Copy, clap::Args)]
pub struct Plan {
    /// Requests through the door, and as many direct ones.
    #[arg(long, default_value_t = 200)]
    pub requests: usize,
    /// Concurrent streams.
    #[arg(long, default_value_t = 200)]
    pub streams: usize,
    /// Seconds for which the concurrent streams are measured.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
}

/// Times of one way to the engine, in microseconds.
struct Times {
    first: Histogram<u64>,
    between: Histogram<u64>,
}

/// Measures and prints.
///
/// # Errors
///
/// Something could not be started or a stream did not end whole.
pub fn run(plan: &Plan) -> anyhow::Result<()> {
    let site = Site::spawn(1_000.0 / TOKEN_RATE, plan.streams as u32)?;
    let process = Process::spawn(&site)?;
    compare(&site, &process, plan.requests)?;
    load(&process, plan)
}

fn compare(site: &Site, process: &Process, requests: usize) -> anyhow::Result<()> {
    let (mut door, mut direct) = (Times::new()?, Times::new()?);
    for _ in 0..requests {
        let key = site::KEY;
        let stream = client::stream(process.door, key, site::SINGLE, PROMPT, SHORT_TOKENS)?;
        door.add(&stream)?;
        direct.add(&direct::stream(site, PROMPT, SHORT_TOKENS)?)?;
    }
    println!("one stream at a time, {requests} requests each, microseconds");
    println!("{:<24}{:>9}{:>9}{:>9}{:>9}{:>9}", "", "p10", "p50", "p90", "p99", "max");
    print_added("first token", &door.first, &direct.first);
    print_added("between tokens", &door.between, &direct.between);
    Ok(())
}

fn print_added(name: &str, door: &Histogram<u64>, direct: &Histogram<u64>) {
    for (way, times) in [("door", door), ("direct", direct)] {
        let [p10, p50, p90, p99] = [0.1, 0.5, 0.9, 0.99].map(|it| times.value_at_quantile(it));
        let label = format!("{name}, {way}");
        println!("{label:<24}{p10:>9}{p50:>9}{p90:>9}{p99:>9}{:>9}", times.max());
    }
    for (word, quantile, goal) in [("median", 0.5, MEDIAN_GOAL_US), ("p99", 0.99, P99_GOAL_US)] {
        let added = door.value_at_quantile(quantile) as i64;
        let added = added - direct.value_at_quantile(quantile) as i64;
        println!(
            "{name}: the door adds {added} at the {word}, {}",
            goal_word(added <= goal as i64, goal)
        );
    }
}

fn goal_word(met: bool, goal: impl fmt::Display) -> String {
    match met {
        true => format!("goal {goal} met"),
        false => format!("goal {goal} missed"),
    }
}

fn load(process: &Process, plan: &Plan) -> anyhow::Result<()> {
    let seconds = plan.seconds as f64 + 2.0 * WARM_UP.as_secs_f64();
    let tokens = (seconds * TOKEN_RATE) as u64;
    let start = Arc::new(Barrier::new(plan.streams + 1));
    let door = process.door;
    let callers: Vec<_> = (0..plan.streams)
        .map(|_| {
            let start = start.clone();
            thread::spawn(move || {
                start.wait();
                client::stream(door, site::KEY, site::MANY, PROMPT, tokens)
            })
        })
        .collect();
    start.wait();
    thread::sleep(WARM_UP);
    let (before, at) = (process.cpu()?, Instant::now());
    thread::sleep(Duration::from_secs(plan.seconds));
    let cores = (process.cpu()? - before).as_secs_f64() / at.elapsed().as_secs_f64();
    let memory = process.memory_kib()?;
    let mut gaps = Histogram::new(3)?;
    for caller in callers {
        let stream = caller.join().ok().context("a caller panicked")??;
        ensure!(stream.done, "a stream broke: status {}", stream.status);
        record_gaps(&mut gaps, &stream.times)?;
    }
    println!("\n{} streams at {TOKEN_RATE} tokens/s for {} s", plan.streams, plan.seconds);
    println!("{cores:.2} cores, {}", goal_word(cores < CORES_GOAL, CORES_GOAL));
    println!("{memory} KiB resident, {}", goal_word(memory < MEMORY_GOAL_KIB, MEMORY_GOAL_KIB));
    let at = |quantile| gaps.value_at_quantile(quantile);
    println!("between tokens: p50 {} p99 {} max {} microseconds", at(0.5), at(0.99), gaps.max());
    Ok(())
}

impl Times {
    fn new() -> anyhow::Result<Times> {
        Ok(Times { first: Histogram::new(3)?, between: Histogram::new(3)? })
    }

    fn add(&mut self, stream: &Stream) -> anyhow::Result<()> {
        ensure!(stream.done, "a stream broke: status {}", stream.status);
        let first = stream.times.first().context("no token")?;
        self.first.record(first.as_micros() as u64)?;
        record_gaps(&mut self.between, &stream.times)
    }
}

fn record_gaps(gaps: &mut Histogram<u64>, times: &[Duration]) -> anyhow::Result<()> {
    for pair in times.windows(2) {
        gaps.record((pair[1] - pair[0]).as_micros() as u64)?;
    }
    Ok(())
}
