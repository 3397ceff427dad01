//! Definition of the command line: global options and subcommands.

use clap::{Parser, Subcommand};

use crate::cmd;
use crate::options::Format;

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  the check failed or the change was refused
  2  the command line was wrong
  3  the platform or the instance was not reachable";

/// Edits and inspects the objects of siskinstile.
#[derive(Debug, Parser)]
#[command(name = "siskinctl", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    pub output: Format,
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a directory of objects and reports every problem.
    Check(cmd::check::Args),
    /// Checks a directory of objects and writes the changed ones to the platform.
    Apply(cmd::apply::Args),
    /// Shows objects on the platform.
    Get(cmd::get::Args),
    /// Shows the status that the instances report on objects.
    Status(cmd::status::Args),
    /// Shows the decisions that an instance made about a request.
    Explain(cmd::explain::Args),
    /// Shows the error-budget burn report of one or more instances.
    Burn(cmd::burn::Args),
    /// Asks an instance to finish its requests and stop.
    Drain(cmd::drain::Args),
    /// Generates API keys.
    Key(cmd::key::Args),
    /// Prints a completion script for a shell.
    Completions(cmd::completions::Args),
}
