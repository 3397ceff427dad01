//! Versioned objects and a bounded history of their changes.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde_json::Value;
use siskinstile_macros::value;

/// An object, or the event for a change of it.
#[value(serde)]
pub(crate) struct Object {
    pub(crate) kind: String,
    pub(crate) name: String,
    /// Revision of the store at the object's last change.
    pub(crate) version: u64,
    /// The object's value; null in the event for a removal.
    pub(crate) value: Value,
}

/// Why a write or removal was refused.
#[value(id)]
pub(crate) enum Refusal {
    /// The object to remove does not exist.
    NotFound,
    /// The object has this version rather than the expected one; 0 if it does not exist.
    VersionMismatch(u64),
}

/// The objects and their latest changes.
#[value(default)]
pub(crate) struct Store {
    revision: u64,
    objects: IndexMap<(String, String), Object>,
    history: VecDeque<Object>,
    history_limit: usize,
    /// Revision of the latest event that was removed from the history.
    truncated_revision: u64,
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

    /// Writes an object and returns its new version.
    ///
    /// If `if_version` is given, the object must have this version; 0 stands for a missing object.
    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: Option<u64>,
    ) -> Result<u64, Refusal> {
        self.check_version(kind, name, if_version)?;
        let object = self.record_change(kind, name, value);
        let version = object.version;
        self.objects.insert((kind.to_owned(), name.to_owned()), object);
        Ok(version)
    }

    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        if_version: Option<u64>,
    ) -> Result<(), Refusal> {
        self.get(kind, name).ok_or(Refusal::NotFound)?;
        self.check_version(kind, name, if_version)?;
        self.objects.shift_remove(&(kind.to_owned(), name.to_owned()));
        self.record_change(kind, name, Value::Null);
        Ok(())
    }

    /// Returns the events after the revision `since`, or `None` if the history no longer has all of
    /// them; an empty `kinds` selects every kind.
    pub(crate) fn events(&self, kinds: &[&str], since: u64) -> Option<Vec<Object>> {
        let is_selected =
            |it: &&Object| it.version > since && (kinds.is_empty() || kinds.contains(&&*it.kind));
        (since >= self.truncated_revision)
            .then(|| self.history.iter().filter(is_selected).cloned().collect())
    }

    fn check_version(
        &self,
        kind: &str,
        name: &str,
        if_version: Option<u64>,
    ) -> Result<(), Refusal> {
        let current = self.get(kind, name).map_or(0, |it| it.version);
        match if_version {
            Some(version) if version != current => Err(Refusal::VersionMismatch(current)),
            _ => Ok(()),
        }
    }

    /// Advances the revision and adds the change to the history.
    fn record_change(&mut self, kind: &str, name: &str, value: Value) -> Object {
        self.revision += 1;
        let object = Object { kind: kind.into(), name: name.into(), version: self.revision, value };
        self.history.push_back(object.clone());
        if self.history.len() > self.history_limit {
            self.truncated_revision = self.history.pop_front().map_or(0, |it| it.version);
        }
        object
    }
}
