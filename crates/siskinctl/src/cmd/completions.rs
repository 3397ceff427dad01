//! `siskinctl completions`: prints a completion script for a shell.

use std::io::Write;

use clap::Command;
use clap_complete::Shell;

use crate::Code;

/// Arguments of `completions`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Shell to generate the script for.
    #[arg(value_enum)]
    pub shell: Shell,
}

/// Prints the completion script of `command`, the definition of the whole command line.
///
/// # Errors
///
/// Returns an error if the output cannot be written.
pub fn execute(args: &Args, mut command: Command, out: &mut dyn Write) -> anyhow::Result<Code> {
    let mut script = Vec::new();
    clap_complete::generate(args.shell, &mut command, "siskinctl", &mut script);
    out.write_all(&script)?;
    Ok(Code::Success)
}
