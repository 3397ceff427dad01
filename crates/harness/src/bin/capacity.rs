//! Measures the slopes of the core's costs and works out each role at the target size.

use std::{alloc::System, fs, path::PathBuf};

use anyhow::Context as _;
use clap::{Parser, Subcommand};
use siskinstile_harness::capacity::{Slopes, measure, model, spread};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the slopes of the core's costs and works out each role at the target size.
#[derive(Debug, Parser)]
struct Args {
    /// What to do; the table from the committed slopes by default.
    #[command(subcommand)]
    command: Option<Command>,
    /// Directory of the pages.
    #[arg(long, global = true, default_value = "docs")]
    docs: PathBuf,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Prints the table that the committed slopes give.
    Table,
    /// Measures the slopes and prints them with the table that they give.
    Measure {
        /// Also commits them to the pages.
        #[arg(long)]
        write: bool,
    },
    /// Counts the holds at the busiest peer when an instance dies, by the choice of its peers.
    Spread,
    /// Writes the table that the committed slopes give into the page.
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
        Command::Measure { write: commit } => {
            let slopes = measure::measure(&allocated);
            println!("{}", slopes.to_toml()?);
            print!("{}", model::table(&Slopes::parse(&slopes.to_toml()?)?));
            if commit {
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
