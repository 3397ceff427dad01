//! Writes the validation status of each object to the platform, a few changed ones at a time.

use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};
use siskinstile_macros::value;

use super::mirror::Mirror;
use crate::{
    object::{Kind, Name},
    store::{Call, Object},
};

/// Stored kind of object statuses.
pub const KIND: &str = "status";
/// Largest number of writes in one tick.
const MAX_WRITES_PER_TICK: usize = 2;

/// The statuses stored on the platform and those that still have to be written.
#[value(default)]
pub struct Writer {
    /// Hash of each stored status; a status without an entry is written.
    written: IndexMap<Name, Name>,
    /// Values to write; null for a removal.
    pending: IndexMap<Name, Value>,
}

impl Writer {
    /// Replaces the record of the stored statuses by the list read from the platform.
    pub fn read(&mut self, objects: Vec<Object>) {
        self.written.clear();
        for object in objects {
            let value = object.value.unwrap_or_default();
            self.written.insert(object.name, crate::chunk::hash(&value.to_string()));
        }
    }

    /// Queues writes for the statuses that differ from the result of a validation.
    pub fn update(&mut self, mirror: &Mirror, errors: &IndexMap<(Kind, Name), String>) {
        let mut present = IndexSet::new();
        for (kind, name, version) in mirror.versions() {
            let error = errors.get(&(kind, name.clone()));
            let value =
                json!({ "checked_version": version, "valid": error.is_none(), "error": error });
            let status: Name = format!("{}.{name}", kind.as_str()).into();
            present.insert(status.clone());
            let hash = crate::chunk::hash(&value.to_string());
            match self.written.get(&status) {
                Some(written) if *written == hash => drop(self.pending.swap_remove(&status)),
                _ => drop(self.pending.insert(status, value)),
            }
        }
        for removed in self.written.keys().filter(|it| !present.contains(*it)) {
            self.pending.insert(removed.clone(), Value::Null);
        }
    }

    /// Removes the next writes from the queue and returns them.
    pub fn next_writes(&mut self) -> Vec<Call> {
        let count = self.pending.len().min(MAX_WRITES_PER_TICK);
        let next: Vec<(Name, Value)> = self.pending.drain(..count).collect();
        next.into_iter().map(|(name, value)| self.write(name, value)).collect()
    }

    fn write(&mut self, name: Name, value: Value) -> Call {
        let kind = KIND.into();
        if value.is_null() {
            self.written.swap_remove(&name);
            return Call::Delete { kind, name, if_version: None };
        }
        self.written.insert(name.clone(), crate::chunk::hash(&value.to_string()));
        Call::Put { kind, name, value, if_version: None }
    }
}
