//! `siskinctl burn`: shows the error-budget burn report, merged over instances.

mod plot;
mod text;

use std::{fs, io::Write, path::PathBuf};

use anyhow::Context;
use siskinstile_core::burn::Snapshot;

use crate::client::Client;
use crate::options::Format;
use crate::{Code, output};

/// Arguments of `burn`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Admin address of an instance, `IP:PORT`; repeat to merge the reports of several instances.
    #[arg(long, required = true)]
    pub admin: Vec<String>,
    /// Also writes the report, with plots, to this HTML file.
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// Shows the merged burn report of the instances.
///
/// # Errors
///
/// Returns an error if an instance refuses the call or is not reachable, or if the file cannot be
/// written.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let mut merged = Snapshot::default();
    for admin in &args.admin {
        let client = Client::new(admin);
        let response: Option<Snapshot> = client.fetch("/burn")?;
        merged.merge(&response.context("the instance has no burn report")?);
    }
    if let Some(path) = &args.html {
        let page = plot::page(&merged)?;
        fs::write(path, page).with_context(|| format!("cannot write {}", path.display()))?;
    }
    match format {
        Format::Text => text::write(out, &merged)?,
        Format::Json => output::json(out, &serde_json::to_value(&merged)?)?,
    }
    Ok(Code::Success)
}
