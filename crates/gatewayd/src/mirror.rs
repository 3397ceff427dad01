//! A local copy of the store's objects of one kind.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_gateway::{Instant, Name};
use siskinstile_macros::value;

use crate::store::Object;

/// Time after a store outage during which deleted objects are kept, since an object that expired
/// during the outage may be written again.
const DELETION_GRACE: Duration = Duration::from_millis(2_200);

/// The objects of one kind, with the store revision that they reflect.
#[value(default)]
pub struct Mirror {
    objects: IndexMap<Name, Object>,
    /// Objects that were deleted shortly after a store outage, each with the time until which it is
    /// kept.
    kept_until: IndexMap<Name, Instant>,
    revision: u64,
    /// Revision of the last update that changed an object.
    changed_revision: u64,
    /// When the last store outage ended.
    recovered_at: Option<Instant>,
    is_listed: bool,
}

impl Mirror {
    /// Returns whether the objects have been listed at least once.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the store revision that the copy reflects.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last update that changed an object.
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Returns the objects, including those that are kept after their deletion.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Records the end of a store outage.
    ///
    /// Objects that are deleted shortly afterwards are kept until the grace period ends.
    pub fn store_recovered(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Replaces all objects by those of a list.
    ///
    /// Returns whether any object changed; always true for the first list.
    pub fn replace(&mut self, now: Instant, objects: Vec<Object>, revision: u64) -> bool {
        let mut listed: IndexMap<Name, Object> =
            objects.into_iter().map(|it| (it.name.clone(), it)).collect();
        let missing: Vec<Name> =
            self.objects.keys().filter(|it| !listed.contains_key(*it)).cloned().collect();
        for name in missing {
            if let Some(until) = self.grace_end(now, &name) {
                self.kept_until.insert(name.clone(), until);
                listed.insert(name.clone(), self.objects[&name].clone());
            }
        }
        self.kept_until.retain(|name, _| listed.contains_key(name));
        let first = !self.is_listed;
        let has_changed = first || listed != self.objects;
        self.objects = listed;
        self.is_listed = true;
        self.advance(revision, has_changed);
        has_changed
    }

    /// Applies a peer's snapshot: the objects that have changed, and the names of all.
    ///
    /// Returns whether any object changed, or `None` if a named object is neither in the snapshot
    /// nor in this copy.
    pub fn merge(
        &mut self,
        now: Instant,
        changed: Vec<Object>,
        names: &[Name],
        revision: u64,
    ) -> Option<bool> {
        let mut changed: IndexMap<Name, Object> =
            changed.into_iter().map(|it| (it.name.clone(), it)).collect();
        let mut objects = Vec::with_capacity(names.len());
        for name in names {
            let object = changed.swap_remove(name).or_else(|| self.objects.get(name).cloned())?;
            objects.push(object);
        }
        Some(self.replace(now, objects, revision))
    }

    /// Applies the changes of a watch; returns whether any object changed.
    pub fn apply(&mut self, now: Instant, events: Vec<(Object, bool)>, revision: u64) -> bool {
        let mut has_changed = false;
        for (object, deleted) in events {
            has_changed |= match deleted {
                true => self.remove(now, &object.name),
                false => self.put(object),
            };
        }
        self.advance(revision, has_changed);
        has_changed
    }

    /// Removes objects whose grace period has ended; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<Name> = self
            .kept_until
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.kept_until.swap_remove(name);
            self.objects.shift_remove(name);
        }
        !expired.is_empty()
    }

    /// Returns when the next grace period ends.
    pub fn wake(&self) -> Option<Instant> {
        self.kept_until.values().min().copied()
    }

    fn put(&mut self, object: Object) -> bool {
        self.kept_until.swap_remove(&object.name);
        let is_newer =
            self.objects.get(&object.name).is_none_or(|it| it.revision < object.revision);
        if is_newer {
            self.objects.insert(object.name.clone(), object);
        }
        is_newer
    }

    fn remove(&mut self, now: Instant, name: &Name) -> bool {
        match self.grace_end(now, name) {
            Some(until) => {
                self.kept_until.insert(name.clone(), until);
                false
            }
            None => self.objects.shift_remove(name).is_some(),
        }
    }

    /// Returns the time until which a deleted object is kept; `None` if it is removed at once.
    fn grace_end(&self, now: Instant, name: &Name) -> Option<Instant> {
        let until = self.recovered_at? + DELETION_GRACE;
        (until > now && self.objects.contains_key(name)).then_some(until)
    }

    fn advance(&mut self, revision: u64, has_changed: bool) {
        self.revision = self.revision.max(revision);
        if has_changed {
            self.changed_revision = self.revision;
        }
    }
}
