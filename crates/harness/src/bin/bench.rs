//! Measures the latency that the frontend adds to a direct call and the cost of many streams.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use siskinstile_harness::bench;

/// Measures the latency that the frontend adds to a direct call and the cost of many streams.
#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    plan: bench::Plan,
    /// Run an instance with this settings file; the benchmark starts its own instance this way.
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
