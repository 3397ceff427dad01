//! Measures the cost of configuration and fuzzes its distribution.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use siskinstile_harness::rollout::{self, cost, delay};

/// Measures the cost of configuration and fuzzes its distribution.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measures the memory of a set of the target size, and the time to check it and to look up
    /// a key.
    Size,
    /// Counts platform calls and messages by number of instances, on virtual time.
    Traffic {
        /// Seed of the simulation.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs random sequences of edits and faults and checks them with an oracle.
    Fuzz {
        /// Seed of the first sequence; later sequences use the following numbers.
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Number of sequences.
        #[arg(long, default_value_t = 1_000)]
        runs: u64,
        /// Directory of the objects.
        #[arg(long, default_value = "examples/association")]
        objects: PathBuf,
    },
    /// Measures the time from an accepted write until it is in force at each of six real instances.
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
                Some((seed, violation)) => anyhow::bail!("seed {seed}: {violation:?}"),
                None => println!("{runs} sequences from seed {seed}: no violation"),
            }
            Ok(())
        }
        Command::Delay { writes, objects } => delay::run(&objects, writes),
    }
}
