//! `siskinctl apply`: writes what changed in a directory of objects to the platform.
//!
//! What is checked is the set that the platform would hold afterwards. Writes are conditional on
//! the versions that were read, so an edit of another operator is never overwritten.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;
use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_core::Set;
use siskinstile_core::check;
use siskinstile_core::object::{Kind, Name};

use crate::args::Format;
use crate::client::{Client, Object, Outcome};
use crate::{Code, files, output};

/// Order of writes: an object comes after those that it refers to.
const WRITE_ORDER: [Kind; 5] = [Kind::Service, Kind::Team, Kind::Key, Kind::Pool, Kind::Route];

/// Arguments of `apply`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory with the TOML files.
    pub dir: PathBuf,
    /// Address of the platform, `IP:PORT`.
    #[arg(long)]
    pub platform: String,
    /// Also removes objects that the directory does not have.
    #[arg(long)]
    pub prune: bool,
}

/// What the platform holds, by kind and name.
type Held = IndexMap<(Kind, Name), Object>;

/// A write or removal of one object.
struct Change {
    kind: Kind,
    name: Name,
    version: u64,
    /// The new value; none removes the object.
    value: Option<Value>,
}

/// Checks the resulting set, then writes each changed object.
///
/// # Errors
///
/// Returns an error if the directory cannot be read or the platform fails or is not reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let (set, broken) = files::load(&args.dir)?;
    if !broken.is_empty() {
        return super::check::report(&broken, &[], format, out);
    }
    let client = Client::open(&args.platform);
    let held = read(&client)?;
    let faults = check::check(&result(&set, &held, args.prune)?);
    if !faults.is_empty() {
        return super::check::report(&[], &faults, format, out);
    }
    write(&client, plan(&set, &held, args.prune), format, out)
}

fn read(client: &Client<'_>) -> anyhow::Result<Held> {
    let mut held = Held::new();
    for kind in Kind::ALL {
        for object in client.list(kind.as_str())? {
            held.insert((kind, object.name.clone()), object);
        }
    }
    Ok(held)
}

/// Returns the set that the platform would hold after the changes.
fn result(set: &Set, held: &Held, prune: bool) -> anyhow::Result<Set> {
    let mut result = Set::default();
    if !prune {
        for ((kind, name), object) in held {
            let context = || format!("the platform's {} `{name}` is malformed", kind.as_str());
            result.insert(*kind, object.value.clone()).with_context(context)?;
        }
    }
    for (kind, _, value) in set.values() {
        result.insert(kind, value).context("cannot merge the sets")?;
    }
    Ok(result)
}

/// Returns the writes in the order of references, then the removals in the opposite order.
fn plan(set: &Set, held: &Held, prune: bool) -> Vec<Change> {
    let mut wanted: IndexMap<(Kind, Name), Value> =
        set.values().into_iter().map(|(kind, name, value)| ((kind, name), value)).collect();
    let mut removals: Vec<Change> = held
        .iter()
        .filter(|(id, _)| prune && !wanted.contains_key(*id))
        .map(|((kind, name), object)| Change {
            kind: *kind,
            name: name.clone(),
            version: object.version,
            value: None,
        })
        .collect();
    removals.sort_by_key(|change| std::cmp::Reverse(order(change.kind)));
    wanted.retain(|id, value| held.get(id).is_none_or(|object| object.value != *value));
    let mut changes: Vec<Change> = wanted
        .into_iter()
        .map(|((kind, name), value)| {
            let version = held.get(&(kind, name.clone())).map_or(0, |object| object.version);
            Change { kind, name, version, value: Some(value) }
        })
        .collect();
    changes.sort_by_key(|change| order(change.kind));
    changes.extend(removals);
    changes
}

fn order(kind: Kind) -> usize {
    WRITE_ORDER.iter().position(|it| *it == kind).unwrap_or(WRITE_ORDER.len())
}

fn write(
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
        let word = match (outcome, &change.value) {
            (Outcome::Done, Some(_)) => "written",
            (Outcome::Done, None) => "removed",
            (Outcome::Conflict, _) => "conflict",
        };
        if outcome == Outcome::Conflict {
            log::warn!("{kind} `{}` was edited meanwhile; apply again", change.name);
            code = Code::Refused;
        }
        match format {
            Format::Text => writeln!(out, "{kind} {} {word}", change.name)?,
            Format::Json => {
                rows.push(json!({"kind": kind, "name": change.name, "outcome": word}));
            }
        }
    }
    if format == Format::Json {
        output::json(out, &json!({"changes": rows}))?;
    }
    Ok(code)
}
