//! Measures what the door adds to a direct call and what many streams cost.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use siskinstile_harness::bench;

/// Measures what the door adds to a direct call and what many streams cost.
#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    plan: bench::Plan,
    /// Run an instance with these settings; the benchmark starts itself so.
    #[arg(long, hide = true)]
    instance: Option<PathBuf>,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let args = Args::parse();
    let result = match &args.instance {
        Some(file) => bench::serve(file),
        None => bench::run(&args.plan),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
