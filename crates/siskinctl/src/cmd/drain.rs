//! `siskinctl drain`: asks an instance to finish its requests and stop.

use std::io::Write;

use anyhow::Context;
use serde_json::Value;

use crate::client::Client;
use crate::options::Format;
use crate::{Code, output};

/// Arguments of `drain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Admin address of an instance, `IP:PORT`.
    #[arg(long)]
    pub admin: String,
}

/// Starts a drain of an instance and returns without waiting until it has stopped.
///
/// # Errors
///
/// Returns an error if the instance refuses the call or is not reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let client = Client::new(&args.admin);
    let response: Option<Value> = client.post("/drain")?;
    let value = response.context("the instance does not support drain")?;
    output::document(out, format, &value)?;
    Ok(Code::Success)
}
