//! The command line's grammar.

use clap::{Parser, Subcommand, ValueEnum};
use siskinstile_core::object::Kind;

use crate::cmd;

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  the check failed or the change was refused
  2  the command line was wrong
  3  the platform or the instance was not reachable";

/// Edits and inspects the objects of siskinstile.
#[derive(Debug, Parser)]
#[command(name = "siskinctl", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    pub output: Format,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON document.
    Json,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a directory of objects and reports every fault.
    Check(cmd::check::Args),
    /// Checks a directory of objects and writes what changed to the platform.
    Apply(cmd::apply::Args),
    /// Shows objects on the platform.
    Get(cmd::get::Args),
    /// Shows the status that the instances report on objects.
    Status(cmd::status::Args),
    /// Explains what an instance decided about a request.
    Explain(cmd::explain::Args),
    /// Shows the service-level burn report of an instance.
    Burn(cmd::burn::Args),
    /// Asks an instance to finish its requests and stop.
    Drain(cmd::drain::Args),
    /// Makes keys.
    Key(cmd::key::Args),
    /// Prints a completion script for a shell.
    Completions(cmd::completions::Args),
}

/// Parses the name of a kind.
pub(crate) fn parse_kind(word: &str) -> Result<Kind, String> {
    Kind::parse(word).ok_or_else(|| {
        let kinds = Kind::ALL.map(Kind::as_str).join(", ");
        format!("no such kind; use one of {kinds}")
    })
}
