//! Objects with versions and a bounded history of their changes.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde_json::Value;
use siskinstile_macros::value;

/// One object, or the event of its change.
#[value(serde)]
pub(crate) struct Object {
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) version: u64,
    /// The value; null for a removal.
    pub(crate) value: Value,
}

/// Why a write was refused.
#[value(id)]
pub(crate) enum Refused {
    /// No such object.
    Absent,
    /// The object has this version, 0 if there is none.
    Version(u64),
}

/// The objects and their latest changes.
#[value(default)]
pub(crate) struct Store {
    revision: u64,
    objects: IndexMap<(String, String), Object>,
    history: VecDeque<Object>,
    history_limit: usize,
    /// Revision of the latest event that has left the history.
    forgotten: u64,
}

impl Store {
    pub(crate) fn new(history_limit: usize) -> Store {
        Store { history_limit, ..Store::default() }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn list(&self, kind: &str) -> Vec<&Object> {
        self.objects.values().filter(|it| it.kind == kind).collect()
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: Option<u64>,
    ) -> Result<u64, Refused> {
        self.check(kind, name, if_version)?;
        let object = self.record(kind, name, value);
        let version = object.version;
        self.objects.insert((kind.to_owned(), name.to_owned()), object);
        Ok(version)
    }

    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        if_version: Option<u64>,
    ) -> Result<(), Refused> {
        self.get(kind, name).ok_or(Refused::Absent)?;
        self.check(kind, name, if_version)?;
        self.objects.shift_remove(&(kind.to_owned(), name.to_owned()));
        self.record(kind, name, Value::Null);
        Ok(())
    }

    /// Returns the events after `since`, none if some of them are no longer known.
    pub(crate) fn events(&self, kinds: &[&str], since: u64) -> Option<Vec<Object>> {
        let wanted =
            |it: &&Object| it.version > since && (kinds.is_empty() || kinds.contains(&&*it.kind));
        (since >= self.forgotten).then(|| self.history.iter().filter(wanted).cloned().collect())
    }

    fn check(&self, kind: &str, name: &str, if_version: Option<u64>) -> Result<(), Refused> {
        let current = self.get(kind, name).map_or(0, |it| it.version);
        match if_version {
            Some(version) if version != current => Err(Refused::Version(current)),
            _ => Ok(()),
        }
    }

    fn record(&mut self, kind: &str, name: &str, value: Value) -> Object {
        self.revision += 1;
        let object = Object { kind: kind.into(), name: name.into(), version: self.revision, value };
        self.history.push_back(object.clone());
        if self.history.len() > self.history_limit {
            self.forgotten = self.history.pop_front().map_or(0, |it| it.version);
        }
        object
    }
}
