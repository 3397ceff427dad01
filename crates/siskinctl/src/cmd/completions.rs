//! `siskinctl completions`: prints a completion script for a shell.

use std::io::Write;

use clap::CommandFactory;
use clap_complete::Shell;

use crate::Code;

/// Arguments of `completions`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Shell to generate the script for.
    #[arg(value_enum)]
    pub shell: Shell,
}

/// Prints the completion script.
///
/// # Errors
///
/// Returns an error if the output cannot be written.
pub fn execute(args: &Args, out: &mut dyn Write) -> anyhow::Result<Code> {
    let mut script = Vec::new();
    let mut command = crate::args::Args::command();
    clap_complete::generate(args.shell, &mut command, "siskinctl", &mut script);
    out.write_all(&script)?;
    Ok(Code::Success)
}
