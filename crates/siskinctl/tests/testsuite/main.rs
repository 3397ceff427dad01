//! Tests that run command lines in-process.

mod apply;
mod check;
mod daemon;
mod examples;
mod key;
mod platform;

use clap::Parser;
use siskinctl::Code;
use siskinctl::args::Args;

/// Runs a command line and returns its exit code and output.
fn run(line: &[&str]) -> (Code, String) {
    let args = Args::try_parse_from(["siskinctl"].iter().chain(line)).unwrap();
    let mut out = Vec::new();
    let code = siskinctl::run(&args, &mut out).unwrap_or_else(|error| Code::from_error(&error));
    (code, String::from_utf8(out).unwrap())
}

/// Returns the path of a file or directory under `examples`.
fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}
