//! The publisher's local copy of the operators' objects.
//!
//! Each kind is listed on its own. One watch over all kinds then starts at the oldest revision of
//! these lists, so that the copy is a consistent snapshot after each answer of the watch.

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{
    check,
    chunk::Bucket,
    object::{Kind, Name, Set},
    store::Object,
};

/// The objects, with the store version of each.
#[value(default)]
pub struct Mirror {
    /// The objects that could be decoded.
    pub set: Set,
    /// Buckets whose objects have changed since the last publication took this set.
    pub touched: IndexSet<Bucket>,
    versions: IndexMap<(Kind, Name), u64>,
    /// Decoding errors of the objects that are not in `set`.
    decode_errors: IndexMap<(Kind, Name), String>,
    /// Store revision of each kind's list.
    list_revisions: IndexMap<Kind, u64>,
}

impl Mirror {
    /// Applies the list of one kind, read at `revision`.
    pub fn apply_list(&mut self, kind: Kind, revision: u64, objects: Vec<Object>) {
        self.list_revisions.insert(kind, revision);
        objects.into_iter().for_each(|object| self.store(kind, object));
    }

    /// Returns the revision from which to watch; none until every kind has been listed.
    pub fn revision(&self) -> Option<u64> {
        let complete = self.list_revisions.len() == Kind::ALL.len();
        complete.then(|| self.list_revisions.values().copied().min()).flatten()
    }

    /// Returns whether all lists were read at the same revision.
    pub fn is_consistent(&self) -> bool {
        self.list_revisions.values().max() == self.list_revisions.values().min()
    }

    /// Applies a change of the watch; returns false if its version is already known.
    pub fn apply_change(&mut self, object: Object) -> bool {
        let Some(kind) = Kind::parse(&object.kind) else { return false };
        let known = self.versions.get(&(kind, object.name.clone())).copied().unwrap_or(0);
        let new = object.version > known;
        if new {
            self.store(kind, object);
        }
        new
    }

    fn store(&mut self, kind: Kind, object: Object) {
        let key = (kind, object.name.clone());
        self.touched.insert(Bucket::of(kind, &object.name));
        self.set.remove(kind, &object.name);
        self.decode_errors.swap_remove(&key);
        let Some(value) = object.value else {
            self.versions.swap_remove(&key);
            return;
        };
        self.versions.insert(key.clone(), object.version);
        let name_matches = value["name"].as_str() == Some(&*object.name);
        let error = match name_matches {
            true => self.set.insert(kind, value).err().map(|error| error.to_string()),
            false => Some("name: differs from the name of the object".to_owned()),
        };
        if let Some(error) = error {
            self.decode_errors.insert(key, error);
        }
    }

    /// Validates the whole set and returns the errors of each invalid object as text.
    pub fn errors(&self) -> IndexMap<(Kind, Name), String> {
        let mut errors = self.decode_errors.clone();
        for violation in check::check(&self.set) {
            let text = errors.entry((violation.kind, violation.name)).or_default();
            if !text.is_empty() {
                text.push_str("; ");
            }
            text.push_str(&format!("{}: {}", violation.field, violation.problem));
        }
        errors
    }

    /// Iterates over the kind, name and store version of each object, decoded or not.
    pub fn versions(&self) -> impl Iterator<Item = (Kind, &Name, u64)> {
        self.versions.iter().map(|((kind, name), version)| (*kind, name, *version))
    }
}
