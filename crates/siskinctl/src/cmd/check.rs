//! `siskinctl check`: checks a directory of objects.

use std::io::Write;
use std::path::PathBuf;

use serde_json::{Value, json};
use siskinstile_core::check;

use crate::args::Format;
use crate::{Code, files, output};

/// Arguments of `check`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory with the TOML files of the whole set.
    pub dir: PathBuf,
}

/// Checks the whole set and reports every fault.
///
/// # Errors
///
/// Returns an error if the directory cannot be read.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let (set, broken) = files::load(&args.dir)?;
    // References into a file that cannot be read would all look dangling.
    let faults = if broken.is_empty() { check::check(&set) } else { Vec::new() };
    report(&broken, &faults, format, out)
}

/// Writes the faults and returns the exit code that they call for.
pub(crate) fn report(
    files: &[files::Problem],
    faults: &[check::Violation],
    format: Format,
    out: &mut dyn Write,
) -> anyhow::Result<Code> {
    match format {
        Format::Json => output::json(out, &document(files, faults))?,
        Format::Text => {
            files.iter().try_for_each(|fault| writeln!(out, "{fault}"))?;
            faults.iter().try_for_each(|fault| writeln!(out, "{fault}"))?;
        }
    }
    let passed = files.is_empty() && faults.is_empty();
    Ok(if passed { Code::Success } else { Code::Refused })
}

fn document(files: &[files::Problem], faults: &[check::Violation]) -> Value {
    let file = |it: &files::Problem| json!({"file": it.file, "problem": it.message});
    let fault = |it: &check::Violation| {
        json!({
            "kind": it.kind,
            "name": it.name,
            "field": it.field,
            "problem": it.problem.to_string(),
        })
    };
    let files: Vec<Value> = files.iter().map(file).collect();
    let faults: Vec<Value> = faults.iter().map(fault).collect();
    json!({"files": files, "faults": faults})
}
