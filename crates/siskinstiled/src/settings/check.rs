//! Validation of settings that have the right type but may have an invalid value.

use anyhow::bail;
use siskinstile_macros::value;
use toml::de::{DeTable, DeValue};

use super::Settings;

/// Maximum value of the settings that are times, in milliseconds.
const MAX_LIMIT_MS: u64 = 600_000;
/// Maximum value of `max_connections`.
const MAX_CONNECTIONS: usize = 1 << 20;
/// Maximum value of the fleet's size, in instances.
const MAX_FLEET_SIZE: u64 = 100_000;

/// An invalid value.
#[value(eq)]
struct Problem {
    /// Table and key of the setting.
    path: [&'static str; 2],
    /// What is wrong and which values are valid, to follow the path in the error message.
    text: String,
}

/// Validates settings that were read from `text`.
///
/// # Errors
///
/// A value is invalid; the message gives each invalid value with its line and what is valid.
pub(super) fn check(settings: &Settings, text: &str) -> anyhow::Result<()> {
    let lines: Vec<String> = problems(settings)
        .into_iter()
        .map(|it| {
            let [table, key] = it.path;
            format!("line {}: {table}.{key} {}", line(text, table, key), it.text)
        })
        .collect();
    match lines.is_empty() {
        true => Ok(()),
        false => bail!("{}", lines.join("\n")),
    }
}

fn problems(settings: &Settings) -> Vec<Problem> {
    let Settings { instance, frontend, admin, peer: _, platform, fleet } = settings;
    let connections = frontend.max_connections as u64;
    let mut problems = Vec::new();
    let mut add = |table, key, text: Option<String>| {
        problems.extend(text.map(|text| Problem { path: [table, key], text }));
    };
    add("instance", "name", name_problem(&instance.name));
    add("instance", "datacentre", name_problem(&instance.datacentre));
    add("door", "max_connections", range_problem(connections, MAX_CONNECTIONS as u64));
    add("door", "head_limit_ms", range_problem(frontend.head_limit_ms, MAX_LIMIT_MS));
    add("door", "body_limit_ms", range_problem(frontend.body_limit_ms, MAX_LIMIT_MS));
    add("door", "silence_limit_ms", range_problem(frontend.silence_limit_ms, MAX_LIMIT_MS));
    add("fleet", "size", range_problem(fleet.size, MAX_FLEET_SIZE));
    if fleet.balancer_lag_ms > MAX_LIMIT_MS {
        add("fleet", "balancer_lag_ms", range_problem(fleet.balancer_lag_ms, MAX_LIMIT_MS));
    }
    if platform.address.port() == 0 {
        add("platform", "address", Some("has port 0; give the platform's port".into()));
    }
    if admin.listen == frontend.listen && admin.listen.port() != 0 {
        add("admin", "listen", Some("is the door's address; give it one of its own".into()));
    }
    problems
}

/// Returns the problem of a value that is not from 1 to `max`, or `None`.
fn range_problem(value: u64, max: u64) -> Option<String> {
    let is_valid = (1..=max).contains(&value);
    (!is_valid).then(|| format!("is {value}; it must be from 1 to {max}"))
}

/// Returns the problem of a name that is empty or contains an invalid character, or `None`.
fn name_problem(name: &str) -> Option<String> {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_name = !name.is_empty() && name.chars().all(is_valid);
    (!is_name).then(|| format!("is \"{name}\"; it must be letters, digits, `-`, `_` or `.`"))
}

/// Returns the line of a setting; the line of its table if it is absent, or 1 if both are.
fn line(text: &str, table: &str, key: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else { return 1 };
    let Some(table_value) = root.get_ref().get(table) else { return 1 };
    let span = match table_value.get_ref() {
        DeValue::Table(keys) => keys.get(key).map_or(table_value.span(), |it| it.span()),
        _ => table_value.span(),
    };
    1 + text[..span.start].matches('\n').count()
}
