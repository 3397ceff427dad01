//! Reads a directory of TOML files into one set of objects.

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

/// A problem in a file: invalid TOML, or an object that is defined twice.
#[derive(Debug)]
pub struct Problem {
    /// Path of the file.
    pub file: PathBuf,
    /// Description of the problem, with the line number where the decoder reports one.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.message)
    }
}

/// Reads all `*.toml` files of a directory; returns their objects as one set, and their problems.
///
/// # Errors
///
/// Returns an error if the directory or a file cannot be read, or if there is no `*.toml` file.
pub fn load(dir: &Path) -> anyhow::Result<(Set, Vec<Problem>)> {
    let mut set = Set::default();
    let mut problems = Vec::new();
    for path in toml_files(dir)? {
        let text =
            fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
        match toml::from_str::<File>(&text) {
            Ok(file) => merge(&mut set, file, &path, &mut problems),
            Err(error) => problems.push(Problem { file: path, message: error.to_string() }),
        }
    }
    Ok((set, problems))
}

/// Returns the paths of the `*.toml` files of a directory, sorted.
fn toml_files(dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
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

/// Adds the objects of a file to the set.
///
/// An object with the name of an earlier one replaces it and is reported as a problem.
fn merge(set: &mut Set, file: File, path: &Path, problems: &mut Vec<Problem>) {
    let mut report_duplicate = |kind: Kind, name: &Name| {
        let message = format!("{} `{name}` is defined twice; keep one", kind.as_str());
        problems.push(Problem { file: path.to_owned(), message });
    };
    insert_all(
        &mut set.services,
        file.service,
        |it| &it.name,
        |name| report_duplicate(Kind::Service, name),
    );
    insert_all(&mut set.teams, file.team, |it| &it.name, |name| report_duplicate(Kind::Team, name));
    insert_all(&mut set.keys, file.key, |it| &it.name, |name| report_duplicate(Kind::Key, name));
    insert_all(
        &mut set.routes,
        file.route,
        |it| &it.name,
        |name| report_duplicate(Kind::Route, name),
    );
    insert_all(&mut set.pools, file.pool, |it| &it.name, |name| report_duplicate(Kind::Pool, name));
}

fn insert_all<T>(
    map: &mut IndexMap<Name, T>,
    objects: Vec<T>,
    name: impl Fn(&T) -> &Name,
    mut report_duplicate: impl FnMut(&Name),
) {
    for object in objects {
        let name = name(&object).clone();
        if map.insert(name.clone(), object).is_some() {
            report_duplicate(&name);
        }
    }
}
