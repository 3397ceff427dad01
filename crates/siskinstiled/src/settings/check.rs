//! The check of values that have the right type but cannot be.

use anyhow::bail;
use siskinstile_macros::value;
use toml::de::{DeTable, DeValue};

use super::Settings;

/// Longest limit that a setting may give, in milliseconds.
const MAX_LIMIT_MS: u64 = 600_000;
/// Most connections of one instance.
const MAX_CONNECTIONS: usize = 1 << 20;
/// Most instances of a fleet.
const MAX_FLEET: u64 = 100_000;

/// A value that cannot be.
#[value(eq)]
struct Problem {
    /// Table and key.
    path: [&'static str; 2],
    /// What is wrong and what would be right.
    text: String,
}

/// Checks settings that were read from `text`.
///
/// # Errors
///
/// Names each wrong value with its line and what would be right.
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
    add("instance", "name", name(&instance.name));
    add("instance", "datacentre", name(&instance.datacentre));
    add("door", "max_connections", within(connections, MAX_CONNECTIONS as u64));
    add("door", "head_limit_ms", within(frontend.head_limit_ms, MAX_LIMIT_MS));
    add("door", "body_limit_ms", within(frontend.body_limit_ms, MAX_LIMIT_MS));
    add("door", "silence_limit_ms", within(frontend.silence_limit_ms, MAX_LIMIT_MS));
    add("fleet", "size", within(fleet.size, MAX_FLEET));
    if fleet.balancer_lag_ms > MAX_LIMIT_MS {
        add("fleet", "balancer_lag_ms", within(fleet.balancer_lag_ms, MAX_LIMIT_MS));
    }
    if platform.address.port() == 0 {
        add("platform", "address", Some("has port 0; give the platform's port".into()));
    }
    if admin.listen == frontend.listen && admin.listen.port() != 0 {
        add("admin", "listen", Some("is the door's address; give it one of its own".into()));
    }
    problems
}

fn within(value: u64, most: u64) -> Option<String> {
    let fits = (1..=most).contains(&value);
    (!fits).then(|| format!("is {value}; it must be from 1 to {most}"))
}

fn name(name: &str) -> Option<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_name = !name.is_empty() && name.chars().all(fits);
    (!is_name).then(|| format!("is \"{name}\"; it must be letters, digits, `-`, `_` or `.`"))
}

/// Returns the line of a setting, of its table where the setting is absent, or 1.
fn line(text: &str, table: &str, key: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else { return 1 };
    let Some(outer) = root.get_ref().get(table) else { return 1 };
    let span = match outer.get_ref() {
        DeValue::Table(inner) => inner.get(key).map_or(outer.span(), |it| it.span()),
        _ => outer.span(),
    };
    1 + text[..span.start].matches('\n').count()
}
