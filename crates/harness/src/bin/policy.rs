//! Simulates a policy scenario on virtual time and prints its figures and those of the baselines.

use clap::Parser;
use siskinstile_harness::policy;

/// Simulates a policy scenario on virtual time and prints its figures and those of the baselines.
#[derive(Debug, Parser)]
struct Args {
    /// Scenario to run.
    #[arg(long, value_enum)]
    scenario: policy::Scenario,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    policy::run(args.scenario, args.seed)
}
