//! In-memory version of the platform's object store.

use indexmap::IndexMap;
use siskinstile_core::{
    member::{Record, Status},
    object::Name,
    store::{Answer, Call, Object},
};

/// Versioned objects, the history of their changes and the list of instances.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// Number of calls carried out, watches included.
    pub calls: u64,
    /// Number of writes among [`calls`](Store::calls); refused writes are not counted.
    pub writes: u64,
    revision: u64,
    objects: IndexMap<(Name, Name), Object>,
    history: Vec<Object>,
    instances: IndexMap<Name, Record>,
}

impl Store {
    /// Adds an instance to the list, or replaces its record.
    pub fn register(&mut self, record: Record) {
        self.instances.insert(record.name.clone(), record);
    }

    /// Removes an instance from the list.
    pub fn deregister(&mut self, name: &str) {
        self.instances.swap_remove(name);
    }

    /// Sets the state of an instance in the list to leaving; no effect if it is not listed.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(record) = self.instances.get_mut(name) {
            record.state = Status::Leaving;
        }
    }

    /// Returns an object, or none if it does not exist or was deleted.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.into(), name.into()))
    }

    /// Iterates over the objects of a kind.
    pub fn of_kind(&self, kind: &str) -> impl Iterator<Item = &Object> {
        self.objects.values().filter(move |it| &*it.kind == kind)
    }

    /// Carries out a call; a watch is answered with `Expired`, since the world handles watches.
    pub fn call(&mut self, call: &Call) -> Answer {
        self.calls += 1;
        match call {
            Call::List { kind } => {
                let objects = self.of_kind(kind).cloned().collect();
                Answer::Objects { revision: self.revision, objects }
            }
            Call::Get { kind, name } => {
                self.get(kind, name).cloned().map_or(Answer::Missing, Answer::Object)
            }
            Call::Put { kind, name, value, if_version } => {
                self.apply_write(kind, name, Some(value.clone()), *if_version)
            }
            Call::Delete { kind, name, if_version } => {
                self.apply_write(kind, name, None, *if_version)
            }
            Call::Watch { .. } => Answer::Expired,
            Call::Instances => Answer::Instances(self.instances.values().cloned().collect()),
        }
    }

    fn apply_write(
        &mut self,
        kind: &Name,
        name: &Name,
        value: Option<serde_json::Value>,
        if_version: Option<u64>,
    ) -> Answer {
        let key = (kind.clone(), name.clone());
        let current = self.objects.get(&key).map_or(0, |it| it.version);
        match (if_version, &value) {
            (Some(version), _) if version != current => return Answer::Conflict,
            (_, None) if current == 0 => return Answer::Missing,
            _ => {}
        }
        self.writes += 1;
        self.revision += 1;
        let removed = value.is_none();
        let object =
            Object { kind: kind.clone(), name: name.clone(), version: self.revision, value };
        self.history.push(object.clone());
        match removed {
            true => drop(self.objects.swap_remove(&key)),
            false => drop(self.objects.insert(key, object)),
        }
        Answer::Written { version: self.revision }
    }

    /// Returns the changes of objects of `kinds` after revision `since`, deletions included.
    pub fn events(&mut self, kinds: &[Name], since: u64) -> Answer {
        let start = self.history.partition_point(|it| it.version <= since);
        let objects =
            self.history[start..].iter().filter(|it| kinds.contains(&it.kind)).cloned().collect();
        Answer::Objects { revision: self.revision, objects }
    }
}
