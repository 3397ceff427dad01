//! The operators' objects as a publisher follows them.
//!
//! The kinds are listed one after another and then followed by one watch from the oldest of those
//! revisions, so that each answer of the watch leaves a consistent cut.

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{
    check,
    chunk::Bucket,
    object::{Kind, Name, Set},
    store::Object,
};

/// The objects, with the versions from which they were read.
#[value(default)]
pub struct Mirror {
    /// The objects that could be read.
    pub set: Set,
    /// Buckets that have changed since they were last taken.
    pub touched: IndexSet<Bucket>,
    versions: IndexMap<(Kind, Name), u64>,
    broken: IndexMap<(Kind, Name), String>,
    listed: IndexMap<Kind, u64>,
}

impl Mirror {
    /// Takes the list of one kind.
    pub fn apply_list(&mut self, kind: Kind, revision: u64, objects: Vec<Object>) {
        self.listed.insert(kind, revision);
        objects.into_iter().for_each(|object| self.take(kind, object));
    }

    /// Returns the revision to watch from, once every kind has been listed.
    pub fn revision(&self) -> Option<u64> {
        let all = self.listed.len() == Kind::ALL.len();
        all.then(|| self.listed.values().copied().min()).flatten()
    }

    /// Returns whether all lists are of one revision.
    pub fn is_consistent(&self) -> bool {
        self.listed.values().max() == self.listed.values().min()
    }

    /// Takes a change; returns whether it is new.
    pub fn apply_change(&mut self, object: Object) -> bool {
        let Some(kind) = Kind::parse(&object.kind) else { return false };
        let known = self.versions.get(&(kind, object.name.clone())).copied().unwrap_or(0);
        let new = object.version > known;
        if new {
            self.take(kind, object);
        }
        new
    }

    fn take(&mut self, kind: Kind, object: Object) {
        let key = (kind, object.name.clone());
        self.touched.insert(Bucket::of(kind, &object.name));
        self.set.remove(kind, &object.name);
        self.broken.swap_remove(&key);
        let Some(value) = object.value else {
            self.versions.swap_remove(&key);
            return;
        };
        self.versions.insert(key.clone(), object.version);
        let named = value["name"].as_str() == Some(&*object.name);
        let fault = match named {
            true => self.set.insert(kind, value).err().map(|error| error.to_string()),
            false => Some("name: differs from the name of the object".to_owned()),
        };
        if let Some(fault) = fault {
            self.broken.insert(key, fault);
        }
    }

    /// Checks the whole set and returns every object's faults as text.
    pub fn errors(&self) -> IndexMap<(Kind, Name), String> {
        let mut faults = self.broken.clone();
        for fault in check::check(&self.set) {
            let text = faults.entry((fault.kind, fault.name)).or_default();
            if !text.is_empty() {
                text.push_str("; ");
            }
            text.push_str(&format!("{}: {}", fault.field, fault.problem));
        }
        faults
    }

    /// Iterates over the objects with their versions.
    pub fn versions(&self) -> impl Iterator<Item = (Kind, &Name, u64)> {
        self.versions.iter().map(|((kind, name), version)| (*kind, name, *version))
    }
}
