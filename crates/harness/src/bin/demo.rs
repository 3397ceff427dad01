//! Runs the complete system in one process and shows how it handles example requests.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use siskinstile_harness::demo;

/// Runs the complete system in one process and shows how it handles example requests.
#[derive(Debug, Parser)]
struct Args {
    /// Keep serving after the demo and print the addresses and keys.
    #[arg(long)]
    stay: bool,
    /// Directory that contains the examples.
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let args = Args::parse();
    match demo::run(&args.examples, args.stay) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
