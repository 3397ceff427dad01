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
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// What is wrong, with the line where the decoder knows it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.message)
    }
}

/// Reads every `*.toml` file of a directory and returns the set with the problems of the files.
///
/// # Errors
///
/// Returns an error if the directory or a file cannot be read, or if there is no such file.
pub fn load(dir: &Path) -> anyhow::Result<(Set, Vec<Problem>)> {
    let mut set = Set::default();
    let mut problems = Vec::new();
    for path in paths(dir)? {
        let text =
            fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
        match toml::from_str::<File>(&text) {
            Ok(file) => merge(&mut set, file, &path, &mut problems),
            Err(error) => problems.push(Problem { file: path, message: error.to_string() }),
        }
    }
    Ok((set, problems))
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

fn merge(set: &mut Set, file: File, path: &Path, problems: &mut Vec<Problem>) {
    let mut doubled = |kind: Kind, name: &Name| {
        let message = format!("{} `{name}` is defined twice; keep one", kind.as_str());
        problems.push(Problem { file: path.to_owned(), message });
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
