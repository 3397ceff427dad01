//! Shows the whole system at work in one process.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use siskinstile_harness::demo;

/// Shows the whole system at work in one process.
#[derive(Debug, Parser)]
struct Args {
    /// Go on serving and print addresses and keys.
    #[arg(long)]
    stay: bool,
    /// Directory of the examples.
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
