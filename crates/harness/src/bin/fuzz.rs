//! Fuzzes several instances of the reducer and checks them with an oracle.

use std::{fs, path::PathBuf, process::ExitCode, time::Instant};

use clap::Parser;
use siskinstile_harness::fuzz::{self, Case};

/// Fuzzes several instances of the reducer and checks them with an oracle.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of the first case; later cases use the following numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of reducer steps after which the search ends.
    #[arg(long, default_value_t = 1_000_000)]
    steps: u64,
    /// File with a case to replay instead of a search.
    #[arg(long)]
    replay: Option<PathBuf>,
}

fn main() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    if let Some(path) = args.replay {
        let case: Case = serde_json::from_str(&fs::read_to_string(path)?)?;
        let result = fuzz::run(&case, None);
        println!("{} steps", result.steps);
        result.violations.iter().for_each(|it| println!("{it}"));
        return Ok(exit_code(result.violations.is_empty()));
    }
    let start = Instant::now();
    let report = fuzz::search(args.seed, args.steps, None);
    println!(
        "seed {}: {} cases, {} steps in {:.1} s",
        args.seed,
        report.cases,
        report.steps,
        start.elapsed().as_secs_f64(),
    );
    if let Some(finding) = &report.finding {
        println!("{}", finding.violation);
        println!("{}", serde_json::to_string(&finding.case)?);
    }
    Ok(exit_code(report.finding.is_none()))
}

fn exit_code(passed: bool) -> ExitCode {
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
