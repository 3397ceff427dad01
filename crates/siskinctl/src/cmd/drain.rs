//! `siskinctl drain`: asks an instance to finish its requests and stop.

use std::io::Write;

use anyhow::Context;
use serde_json::Value;

use crate::args::Format;
use crate::client::Client;
use crate::{Code, output};

/// Arguments of `drain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Admin address of an instance, `IP:PORT`.
    #[arg(long)]
    pub admin: String,
}

/// Starts the graceful shutdown of an instance.
///
/// # Errors
///
/// Returns an error if the instance refuses or is not reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let client = Client::open(&args.admin);
    let answer: Option<Value> = client.post("/drain")?;
    let value = answer.context("the instance does not offer a drain")?;
    output::document(out, format, &value)?;
    Ok(Code::Success)
}
