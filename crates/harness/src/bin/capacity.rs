//! Measures the cost slopes of the core and computes the load of each role at the target size.

use std::{alloc::System, fs, path::PathBuf};

use anyhow::Context as _;
use clap::{Parser, Subcommand};
use siskinstile_harness::capacity::{Slopes, measure, model, spread};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the cost slopes of the core and computes the load of each role at the target size.
#[derive(Debug, Parser)]
struct Args {
    /// Command to run; `table` by default.
    #[command(subcommand)]
    command: Option<Command>,
    /// Directory with the documentation pages.
    #[arg(long, global = true, default_value = "docs")]
    docs: PathBuf,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Prints the table computed from the committed slopes.
    Table,
    /// Measures the slopes and prints them with the table computed from them.
    Measure {
        /// Also writes the slopes to their file and the table to the page.
        #[arg(long)]
        write: bool,
    },
    /// Counts the holds that the busiest peer cancels when an instance dies, by method of choosing
    /// the peers.
    Spread,
    /// Writes the table computed from the committed slopes into the page.
    Write,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let file = args.docs.join("capacity-slopes.toml");
    let committed = || Slopes::parse(&fs::read_to_string(&file).context("cannot read the slopes")?);
    match args.command.unwrap_or(Command::Table) {
        Command::Table => print!("{}", model::table(&committed()?)),
        Command::Spread => print!("{}", spread::table()),
        Command::Write => write(&args.docs, &committed()?)?,
        Command::Measure { write: write_pages } => {
            let slopes = measure::measure(&allocated);
            println!("{}", slopes.to_toml()?);
            print!("{}", model::table(&Slopes::parse(&slopes.to_toml()?)?));
            if write_pages {
                fs::write(&file, slopes.to_toml()?)?;
                write(&args.docs, &committed()?)?;
            }
        }
    }
    Ok(())
}

fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

fn write(docs: &std::path::Path, slopes: &Slopes) -> anyhow::Result<()> {
    let page = docs.join("CAPACITY.md");
    let text = fs::read_to_string(&page)?;
    fs::write(&page, model::replace(&text, slopes)?)?;
    Ok(())
}
