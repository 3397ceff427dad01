//! The `siskinctl` binary.

use std::io;
use std::process::ExitCode;

use clap::Parser;
use siskinctl::Code;
use siskinctl::args::Args;

fn main() -> ExitCode {
    env_logger::init();
    let args = Args::parse();
    match siskinctl::run(&args, &mut io::stdout().lock()) {
        Ok(code) => code.into(),
        Err(error) => {
            log::debug!("command failed: {error:?}");
            eprintln!("siskinctl: {error:#}");
            Code::from_error(&error).into()
        }
    }
}
