//! Output of results as text or JSON.

use std::io::Write;

use anyhow::Context;
use serde_json::Value;

use crate::options::Format;

/// Writes a document as indented JSON, or as text with one line per field or list item.
pub(crate) fn document(out: &mut dyn Write, format: Format, value: &Value) -> anyhow::Result<()> {
    match (format, value) {
        (Format::Json, _) => json(out, value),
        (Format::Text, Value::Object(fields)) => {
            fields.iter().try_for_each(|(field, value)| self::field(out, field, value))
        }
        (Format::Text, Value::Array(items)) => {
            for item in items {
                writeln!(out, "{}", scalar(item))?;
            }
            Ok(())
        }
        (Format::Text, _) => Ok(writeln!(out, "{}", scalar(value))?),
    }
}

/// Writes a field on one line, or a list with one indented line per item.
fn field(out: &mut dyn Write, field: &str, value: &Value) -> anyhow::Result<()> {
    match value {
        Value::Array(items) => {
            writeln!(out, "{field}:")?;
            items.iter().try_for_each(|it| writeln!(out, "  {}", scalar(it)))?;
        }
        _ => writeln!(out, "{field}: {}", scalar(value))?,
    }
    Ok(())
}

/// Writes indented JSON.
pub(crate) fn json(out: &mut dyn Write, value: &Value) -> anyhow::Result<()> {
    let text = serde_json::to_string_pretty(value).context("cannot encode the output")?;
    Ok(writeln!(out, "{text}")?)
}

/// Returns an object as a TOML table, in the format that `check` and `apply` read.
pub(crate) fn toml_table(kind: &str, value: &Value) -> anyhow::Result<String> {
    let document = serde_json::json!({ kind: [value] });
    toml::to_string(&document).with_context(|| format!("cannot encode the {kind} as TOML"))
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        _ => value.to_string(),
    }
}
