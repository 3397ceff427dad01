//! `siskinctl explain`: shows the decisions that an instance made about a request.

use std::io::Write;

use anyhow::Context;
use serde_json::Value;

use crate::client::Client;
use crate::options::Format;
use crate::{Code, output};

/// Arguments of `explain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Request id, 16 hexadecimal digits.
    pub request: String,
    /// Admin address of an instance, `IP:PORT`.
    #[arg(long)]
    pub admin: String,
}

/// Shows the decisions about one request.
///
/// # Errors
///
/// Returns an error if the instance has no record of the request, refuses the call or is not
/// reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let client = Client::new(&args.admin);
    let response: Option<Value> = client.fetch(&format!("/explain/{}", args.request))?;
    let value = response.context("the instance has no record of this request")?;
    output::document(out, format, &value)?;
    Ok(Code::Success)
}
