//! The benchmark: latency that the daemon adds to a direct call of an engine, and the processor
//! time and memory that many concurrent streams need.
//!
//! Requests through the frontend and direct calls alternate within one run, against the same fakes.
//! The instance runs in its own process, so that the kernel reports its processor time and memory
//! separately.

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
/// Output tokens per request in the latency comparison.
const SHORT_TOKENS: u64 = 8;
/// Time after which all streams are assumed to have started.
const WARM_UP: Duration = Duration::from_secs(2);
/// Tokens per second of each concurrent stream.
const TOKEN_RATE: f64 = 22.0;
/// Goals: latency that the frontend may add at the median and at the 99th percentile, and number of
/// processor cores and resident memory that the instance may use for the concurrent streams.
const MEDIAN_GOAL_US: u64 = 1_000;
const P99_GOAL_US: u64 = 3_000;
const CORES_GOAL: f64 = 1.0;
const MEMORY_GOAL_KIB: u64 = 64 << 10;

/// Extent of the measurement.
#[derive(Debug, Clone, Copy, clap::Args)]
pub struct Plan {
    /// Number of requests through the frontend, and of direct calls.
    #[arg(long, default_value_t = 200)]
    pub requests: usize,
    /// Number of concurrent streams.
    #[arg(long, default_value_t = 200)]
    pub streams: usize,
    /// Seconds during which the concurrent streams are measured.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
}

/// Latencies over one path to the engine, in microseconds.
struct Latencies {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

/// Runs the benchmark and prints the figures.
///
/// # Errors
///
/// The fakes or the instance could not be started, or a stream was incomplete.
pub fn run(plan: &Plan) -> anyhow::Result<()> {
    let site = Site::spawn(1_000.0 / TOKEN_RATE, plan.streams as u32)?;
    let process = Process::spawn(&site)?;
    compare_latency(&site, &process, plan.requests)?;
    measure_load(&process, plan)
}

fn compare_latency(site: &Site, process: &Process, requests: usize) -> anyhow::Result<()> {
    let (mut frontend, mut direct) = (Latencies::new()?, Latencies::new()?);
    for _ in 0..requests {
        let key = site::KEY;
        let stream = client::stream(process.frontend, key, site::SINGLE, PROMPT, SHORT_TOKENS)?;
        frontend.add(&stream)?;
        direct.add(&direct::stream(site, PROMPT, SHORT_TOKENS)?)?;
    }
    println!("one stream at a time, {requests} requests each, microseconds");
    println!("{:<24}{:>9}{:>9}{:>9}{:>9}{:>9}", "", "p10", "p50", "p90", "p99", "max");
    print_added("first token", &frontend.first_token, &direct.first_token);
    print_added("between tokens", &frontend.between_tokens, &direct.between_tokens);
    Ok(())
}

fn print_added(name: &str, frontend: &Histogram<u64>, direct: &Histogram<u64>) {
    for (path, times) in [("door", frontend), ("direct", direct)] {
        let [p10, p50, p90, p99] = [0.1, 0.5, 0.9, 0.99].map(|it| times.value_at_quantile(it));
        let label = format!("{name}, {path}");
        println!("{label:<24}{p10:>9}{p50:>9}{p90:>9}{p99:>9}{:>9}", times.max());
    }
    for (statistic, quantile, goal) in [("median", 0.5, MEDIAN_GOAL_US), ("p99", 0.99, P99_GOAL_US)]
    {
        let added = frontend.value_at_quantile(quantile) as i64;
        let added = added - direct.value_at_quantile(quantile) as i64;
        println!(
            "{name}: the door adds {added} at the {statistic}, {}",
            goal_text(added <= goal as i64, goal)
        );
    }
}

fn goal_text(met: bool, goal: impl fmt::Display) -> String {
    match met {
        true => format!("goal {goal} met"),
        false => format!("goal {goal} missed"),
    }
}

fn measure_load(process: &Process, plan: &Plan) -> anyhow::Result<()> {
    let seconds = plan.seconds as f64 + 2.0 * WARM_UP.as_secs_f64();
    let tokens = (seconds * TOKEN_RATE) as u64;
    let barrier = Arc::new(Barrier::new(plan.streams + 1));
    let frontend = process.frontend;
    let callers: Vec<_> = (0..plan.streams)
        .map(|_| {
            let barrier = barrier.clone();
            thread::spawn(move || {
                barrier.wait();
                client::stream(frontend, site::KEY, site::MANY, PROMPT, tokens)
            })
        })
        .collect();
    barrier.wait();
    thread::sleep(WARM_UP);
    let (cpu_before, started_at) = (process.cpu()?, Instant::now());
    thread::sleep(Duration::from_secs(plan.seconds));
    let cores = (process.cpu()? - cpu_before).as_secs_f64() / started_at.elapsed().as_secs_f64();
    let memory = process.memory_kib()?;
    let mut gaps = Histogram::new(3)?;
    for caller in callers {
        let stream = caller.join().ok().context("a caller panicked")??;
        ensure!(stream.done, "incomplete stream: status {}", stream.status);
        record_gaps(&mut gaps, &stream.times)?;
    }
    println!("\n{} streams at {TOKEN_RATE} tokens/s for {} s", plan.streams, plan.seconds);
    println!("{cores:.2} cores, {}", goal_text(cores < CORES_GOAL, CORES_GOAL));
    println!("{memory} KiB resident, {}", goal_text(memory < MEMORY_GOAL_KIB, MEMORY_GOAL_KIB));
    let percentile = |quantile| gaps.value_at_quantile(quantile);
    println!(
        "between tokens: p50 {} p99 {} max {} microseconds",
        percentile(0.5),
        percentile(0.99),
        gaps.max()
    );
    Ok(())
}

impl Latencies {
    fn new() -> anyhow::Result<Latencies> {
        Ok(Latencies { first_token: Histogram::new(3)?, between_tokens: Histogram::new(3)? })
    }

    fn add(&mut self, stream: &Stream) -> anyhow::Result<()> {
        ensure!(stream.done, "incomplete stream: status {}", stream.status);
        let first = stream.times.first().context("the stream has no tokens")?;
        self.first_token.record(first.as_micros() as u64)?;
        record_gaps(&mut self.between_tokens, &stream.times)
    }
}

fn record_gaps(gaps: &mut Histogram<u64>, times: &[Duration]) -> anyhow::Result<()> {
    for pair in times.windows(2) {
        gaps.record((pair[1] - pair[0]).as_micros() as u64)?;
    }
    Ok(())
}
