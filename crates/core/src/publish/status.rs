//! The statuses of objects, of which only changed ones are written, a few at a time.

use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};
use siskinstile_macros::value;

use super::mirror::Mirror;
use crate::{
    object::{Kind, Name},
    store::{Call, Object},
};

/// Kind of the statuses.
pub const KIND: &str = "status";
/// Writes in a tick.
const PER_TICK: usize = 2;

/// The statuses that the platform holds and those that it should hold.
#[value(default)]
pub struct Writer {
    /// Hash of each status as written; a status that is not known is written.
    written: IndexMap<Name, Name>,
    /// Values to write; null for a removal.
    waiting: IndexMap<Name, Value>,
}

impl Writer {
    /// Takes the statuses that the platform holds.
    pub fn read(&mut self, objects: Vec<Object>) {
        self.written.clear();
        for object in objects {
            let value = object.value.unwrap_or_default();
            self.written.insert(object.name, crate::chunk::hash(&value.to_string()));
        }
    }

    /// Sets what the statuses should say after a check.
    pub fn check(&mut self, mirror: &Mirror, faults: &IndexMap<(Kind, Name), String>) {
        let mut present = IndexSet::new();
        for (kind, name, version) in mirror.versions() {
            let error = faults.get(&(kind, name.clone()));
            let value =
                json!({ "checked_version": version, "valid": error.is_none(), "error": error });
            let status: Name = format!("{}.{name}", kind.as_str()).into();
            present.insert(status.clone());
            let hash = crate::chunk::hash(&value.to_string());
            match self.written.get(&status) {
                Some(written) if *written == hash => drop(self.waiting.swap_remove(&status)),
                _ => drop(self.waiting.insert(status, value)),
            }
        }
        for gone in self.written.keys().filter(|it| !present.contains(*it)) {
            self.waiting.insert(gone.clone(), Value::Null);
        }
    }

    /// Returns the writes that are due now.
    pub fn due(&mut self) -> Vec<Call> {
        let count = self.waiting.len().min(PER_TICK);
        let due: Vec<(Name, Value)> = self.waiting.drain(..count).collect();
        due.into_iter().map(|(name, value)| self.write(name, value)).collect()
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
