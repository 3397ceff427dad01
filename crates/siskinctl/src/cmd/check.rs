//! `siskinctl check`: checks a directory of objects.

use std::io::Write;
use std::path::PathBuf;

use serde_json::{Value, json};
use siskinstile_core::check;

use crate::options::Format;
use crate::{Code, files, output};

/// Arguments of `check`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory with the TOML files of the whole set.
    pub dir: PathBuf,
}

/// Checks the whole set and reports every problem.
///
/// # Errors
///
/// Returns an error if the directory cannot be read.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let (set, file_problems) = files::load(&args.dir)?;
    // References to the objects of a file that cannot be decoded would all be reported as missing.
    let violations = if file_problems.is_empty() { check::check(&set) } else { Vec::new() };
    report(&file_problems, &violations, format, out)
}

/// Writes the problems to `out` and returns the exit code: success if there are none.
pub(crate) fn report(
    file_problems: &[files::Problem],
    violations: &[check::Violation],
    format: Format,
    out: &mut dyn Write,
) -> anyhow::Result<Code> {
    match format {
        Format::Json => output::json(out, &document(file_problems, violations))?,
        Format::Text => {
            file_problems.iter().try_for_each(|problem| writeln!(out, "{problem}"))?;
            violations.iter().try_for_each(|violation| writeln!(out, "{violation}"))?;
        }
    }
    let passed = file_problems.is_empty() && violations.is_empty();
    Ok(if passed { Code::Success } else { Code::Refused })
}

fn document(file_problems: &[files::Problem], violations: &[check::Violation]) -> Value {
    let encode_problem = |it: &files::Problem| json!({"file": it.file, "problem": it.message});
    let encode_violation = |it: &check::Violation| {
        json!({
            "kind": it.kind,
            "name": it.name,
            "field": it.field,
            "problem": it.problem.to_string(),
        })
    };
    let files: Vec<Value> = file_problems.iter().map(encode_problem).collect();
    let violations: Vec<Value> = violations.iter().map(encode_violation).collect();
    json!({"files": files, "faults": violations})
}
