//! Reads a directory of TOML files into a set.

use std::path::{Path, PathBuf};
use std::{fmt, fs};

use anyhow::{Context, bail};
use indexmap::IndexMap;
use serde::Deserialize;
use siskinstile_core::Set;
use siskinstile_core::object::{Key, Kind, Name, Pool, Route, Service, Team};

/// The tables of one file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    service: Vec<Service>,
    team: Vec<Team>,
    key: Vec<Key>,
    route: Vec<Route>,
    pool: Vec<Pool>,
}

/// What is wrong with a file.
#[derive(Debug)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// What is wrong, with the line where the decoder knows it.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.problem)
    }
}

/// Reads every `*.toml` file of a directory and returns the set with the faults of the files.
///
/// # Errors
///
/// Returns an error if the directory or a file cannot be read, or if there is no such file.
pub fn load(dir: &Path) -> anyhow::Result<(Set, Vec<Fault>)> {
    let mut set = Set::default();
    let mut faults = Vec::new();
    for path in paths(dir)? {
        let text =
            fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
        match toml::from_str::<File>(&text) {
            Ok(file) => merge(&mut set, file, &path, &mut faults),
            Err(error) => faults.push(Fault { file: path, problem: error.to_string() }),
        }
    }
    Ok((set, faults))
}

fn paths(dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(dir).with_context(|| format!("cannot list {}", dir.display()))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.with_context(|| format!("cannot list {}", dir.display()))?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            paths.push(path);
        }
    }
    if paths.is_empty() {
        bail!("{} has no *.toml files", dir.display());
    }
    paths.sort();
    Ok(paths)
}

fn merge(set: &mut Set, file: File, path: &Path, faults: &mut Vec<Fault>) {
    let mut doubled = |kind: Kind, name: &Name| {
        let problem = format!("{} `{name}` is defined twice; keep one", kind.as_str());
        faults.push(Fault { file: path.to_owned(), problem });
    };
    add(&mut set.services, file.service, |it| &it.name, |name| doubled(Kind::Service, name));
    add(&mut set.teams, file.team, |it| &it.name, |name| doubled(Kind::Team, name));
    add(&mut set.keys, file.key, |it| &it.name, |name| doubled(Kind::Key, name));
    add(&mut set.routes, file.route, |it| &it.name, |name| doubled(Kind::Route, name));
    add(&mut set.pools, file.pool, |it| &it.name, |name| doubled(Kind::Pool, name));
}

fn add<T>(
    map: &mut IndexMap<Name, T>,
    objects: Vec<T>,
    name: impl Fn(&T) -> &Name,
    mut doubled: impl FnMut(&Name),
) {
    for object in objects {
        let name = name(&object).clone();
        if map.insert(name.clone(), object).is_some() {
            doubled(&name);
        }
    }
}
