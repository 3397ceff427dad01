//! `siskinctl apply`: writes the changed objects of a directory to the platform.
//!
//! Before any write, the set that the platform would store afterwards is checked. Writes are
//! conditional on the versions that were read, so that changes by another operator are never
//! overwritten.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;
use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_core::Set;
use siskinstile_core::check;
use siskinstile_core::object::{Kind, Name};

use crate::client::{Client, Object, Outcome};
use crate::options::Format;
use crate::{Code, files, output};

/// Order of writes: an object is written after the objects that it refers to.
const WRITE_ORDER: [Kind; 5] = [Kind::Service, Kind::Team, Kind::Key, Kind::Pool, Kind::Route];

/// Arguments of `apply`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory with the TOML files.
    pub dir: PathBuf,
    /// Address of the platform, `IP:PORT`.
    #[arg(long)]
    pub platform: String,
    /// Also removes objects that are not in the directory.
    #[arg(long)]
    pub prune: bool,
}

/// The objects stored on the platform, by kind and name.
type Stored = IndexMap<(Kind, Name), Object>;

/// A write or removal of one object.
struct Change {
    kind: Kind,
    name: Name,
    /// Version of the stored object; 0 for a new one.
    version: u64,
    /// The new value; `None` removes the object.
    value: Option<Value>,
}

/// Checks the resulting set, then writes each changed object and removes pruned ones.
///
/// # Errors
///
/// Returns an error if the directory cannot be read, or if the platform refuses a request or is
/// not reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let (set, file_problems) = files::load(&args.dir)?;
    if !file_problems.is_empty() {
        return super::check::report(&file_problems, &[], format, out);
    }
    let client = Client::new(&args.platform);
    let stored = read_objects(&client)?;
    let violations = check::check(&resulting_set(&set, &stored, args.prune)?);
    if !violations.is_empty() {
        return super::check::report(&[], &violations, format, out);
    }
    write_changes(&client, plan_changes(&set, &stored, args.prune), format, out)
}

fn read_objects(client: &Client<'_>) -> anyhow::Result<Stored> {
    let mut stored = Stored::new();
    for kind in Kind::ALL {
        for object in client.list(kind.as_str())? {
            stored.insert((kind, object.name.clone()), object);
        }
    }
    Ok(stored)
}

/// Returns the set that the platform would store after the changes.
fn resulting_set(set: &Set, stored: &Stored, prune: bool) -> anyhow::Result<Set> {
    let mut result = Set::default();
    if !prune {
        for ((kind, name), object) in stored {
            let context = || format!("the platform's {} `{name}` is malformed", kind.as_str());
            result.insert(*kind, object.value.clone()).with_context(context)?;
        }
    }
    for (kind, _, value) in set.values() {
        result.insert(kind, value).context("cannot merge the sets")?;
    }
    Ok(result)
}

/// Returns the writes in [`WRITE_ORDER`], then the removals in the reverse order.
fn plan_changes(set: &Set, stored: &Stored, prune: bool) -> Vec<Change> {
    let mut desired: IndexMap<(Kind, Name), Value> =
        set.values().into_iter().map(|(kind, name, value)| ((kind, name), value)).collect();
    let mut removals: Vec<Change> = stored
        .iter()
        .filter(|(id, _)| prune && !desired.contains_key(*id))
        .map(|((kind, name), object)| Change {
            kind: *kind,
            name: name.clone(),
            version: object.version,
            value: None,
        })
        .collect();
    removals.sort_by_key(|change| std::cmp::Reverse(write_rank(change.kind)));
    desired.retain(|id, value| stored.get(id).is_none_or(|object| object.value != *value));
    let mut changes: Vec<Change> = desired
        .into_iter()
        .map(|((kind, name), value)| {
            let version = stored.get(&(kind, name.clone())).map_or(0, |object| object.version);
            Change { kind, name, version, value: Some(value) }
        })
        .collect();
    changes.sort_by_key(|change| write_rank(change.kind));
    changes.extend(removals);
    changes
}

fn write_rank(kind: Kind) -> usize {
    WRITE_ORDER.iter().position(|it| *it == kind).unwrap_or(WRITE_ORDER.len())
}

/// Makes the changes in order and writes the outcome of each to `out`; a conflict does not stop it.
fn write_changes(
    client: &Client<'_>,
    changes: Vec<Change>,
    format: Format,
    out: &mut dyn Write,
) -> anyhow::Result<Code> {
    let mut code = Code::Success;
    let mut rows = Vec::new();
    for change in changes {
        let kind = change.kind.as_str();
        let outcome = match &change.value {
            Some(value) => client.put(kind, &change.name, change.version, value)?,
            None => client.delete(kind, &change.name, change.version)?,
        };
        let outcome_name = match (outcome, &change.value) {
            (Outcome::Done, Some(_)) => "written",
            (Outcome::Done, None) => "removed",
            (Outcome::Conflict, _) => "conflict",
        };
        if outcome == Outcome::Conflict {
            log::warn!("{kind} `{}` was changed by another writer; run `apply` again", change.name);
            code = Code::Refused;
        }
        match format {
            Format::Text => writeln!(out, "{kind} {} {outcome_name}", change.name)?,
            Format::Json => {
                rows.push(json!({"kind": kind, "name": change.name, "outcome": outcome_name}));
            }
        }
    }
    if format == Format::Json {
        output::json(out, &json!({"changes": rows}))?;
    }
    Ok(code)
}
