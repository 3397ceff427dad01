//! The `siskinctl` command-line tool, as a library so that tests can run commands in-process.

pub mod args;
mod client;
pub mod cmd;
mod code;
pub mod files;
pub mod options;
mod output;

use std::io::Write;

use clap::CommandFactory;

pub use code::Code;

use crate::args::{Args, Command};

/// Runs one command and writes its output to `out`.
///
/// # Errors
///
/// Returns the error of the command; [`Code::from_error`] maps it to an exit code.
pub fn run(args: &Args, out: &mut dyn Write) -> anyhow::Result<Code> {
    let format = args.output;
    match &args.command {
        Command::Check(args) => cmd::check::execute(args, format, out),
        Command::Apply(args) => cmd::apply::execute(args, format, out),
        Command::Get(args) => cmd::get::execute(args, format, out),
        Command::Status(args) => cmd::status::execute(args, format, out),
        Command::Explain(args) => cmd::explain::execute(args, format, out),
        Command::Burn(args) => cmd::burn::execute(args, format, out),
        Command::Drain(args) => cmd::drain::execute(args, format, out),
        Command::Key(args) => cmd::key::execute(args, format, out),
        Command::Completions(args) => cmd::completions::execute(args, Args::command(), out),
    }
}
