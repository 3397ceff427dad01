//! `siskinctl burn`: shows the service-level burn report of an instance.

use std::io::Write;

use anyhow::Context;
use serde_json::Value;

use crate::args::Format;
use crate::client::Client;
use crate::{Code, output};

/// Arguments of `burn`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Admin address of an instance, `IP:PORT`.
    #[arg(long)]
    pub admin: String,
}

/// Shows the burn report.
///
/// # Errors
///
/// Returns an error if the instance refuses or is not reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let client = Client::open(&args.admin);
    let answer: Option<Value> = client.fetch("/burn")?;
    let value = answer.context("the instance has no burn report")?;
    output::document(out, format, &value)?;
    Ok(Code::Success)
}
