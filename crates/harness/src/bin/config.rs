//! Measures what configuration costs.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use siskinstile_harness::rollout::{self, cost, delay};

/// Measures what configuration costs.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Memory, check and lookup of a set of the target size.
    Size,
    /// Platform calls and messages by the number of instances, on virtual time.
    Traffic {
        /// Seed of the run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Sequences of edits and faults against the oracle.
    Fuzz {
        /// First seed.
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Number of sequences.
        #[arg(long, default_value_t = 1_000)]
        runs: u64,
        /// Directory of the objects.
        #[arg(long, default_value = "examples/association")]
        objects: PathBuf,
    },
    /// Time from an accepted write to in force at each of six real instances.
    Delay {
        /// Number of writes.
        #[arg(long, default_value_t = 100)]
        writes: u64,
        /// Directory of the objects.
        #[arg(long, default_value = "examples/association")]
        objects: PathBuf,
    },
}

fn main() -> anyhow::Result<()> {
    env_logger::init();
    match Args::parse().command {
        Command::Size => cost::size(),
        Command::Traffic { seed } => {
            cost::traffic(seed);
            Ok(())
        }
        Command::Fuzz { seed, runs, objects } => {
            let (set, _) = siskinctl::files::load(&objects)?;
            match rollout::fuzz(&set, seed..seed + runs, None) {
                Some((seed, breach)) => anyhow::bail!("seed {seed}: {breach:?}"),
                None => println!("{runs} sequences from seed {seed}: no breach"),
            }
            Ok(())
        }
        Command::Delay { writes, objects } => delay::run(&objects, writes),
    }
}
