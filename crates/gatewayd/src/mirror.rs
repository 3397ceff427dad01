//! This instance's copy of the platform's objects of one kind.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_gateway::{Instant, Name};
use siskinstile_macros::value;

use crate::store::Object;

/// Time after an outage of the store within which an object that lapsed meanwhile may come back.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// A copy with the revision up to which it is known.
#[value(default)]
pub struct Mirror {
    objects: IndexMap<Name, Object>,
    /// Objects that are gone from the store but may come back, with the moment until which they
    /// count.
    lapsing: IndexMap<Name, Instant>,
    revision: u64,
    /// Revision of the last answer that changed something.
    changed: u64,
    /// When the store answered again after an outage.
    regained: Option<Instant>,
    known: bool,
}

impl Mirror {
    /// Returns whether the objects have been listed at all.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the revision up to which the objects are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last change that is known of.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Returns the objects.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Notes that the store answers again after an outage.
    pub fn store_regained(&mut self, now: Instant) {
        self.regained = Some(now);
    }

    /// Replaces all objects by a list; returns whether anything has changed.
    pub fn replace(&mut self, now: Instant, objects: Vec<Object>, revision: u64) -> bool {
        let mut fresh: IndexMap<Name, Object> =
            objects.into_iter().map(|it| (it.name.clone(), it)).collect();
        let missing: Vec<Name> =
            self.objects.keys().filter(|it| !fresh.contains_key(*it)).cloned().collect();
        for name in missing {
            if let Some(until) = self.lapse(now, &name) {
                self.lapsing.insert(name.clone(), until);
                fresh.insert(name.clone(), self.objects[&name].clone());
            }
        }
        self.lapsing.retain(|name, _| fresh.contains_key(name));
        let first = !self.known;
        let differs = first || fresh != self.objects;
        self.objects = fresh;
        self.known = true;
        self.advance(revision, differs);
        differs
    }

    /// Takes what a peer knows: the objects that have changed and the names of all; returns whether
    /// anything has changed, or none if objects are missing.
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

    /// Takes changes; returns whether anything has changed.
    pub fn apply(&mut self, now: Instant, events: Vec<(Object, bool)>, revision: u64) -> bool {
        let mut differs = false;
        for (object, deleted) in events {
            differs |= match deleted {
                true => self.remove(now, &object.name),
                false => self.put(object),
            };
        }
        self.advance(revision, differs);
        differs
    }

    /// Drops objects that have not come back; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let over: Vec<Name> = self
            .lapsing
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &over {
            self.lapsing.swap_remove(name);
            self.objects.shift_remove(name);
        }
        !over.is_empty()
    }

    /// Returns when the next object is dropped.
    pub fn wake(&self) -> Option<Instant> {
        self.lapsing.values().min().copied()
    }

    fn put(&mut self, object: Object) -> bool {
        self.lapsing.swap_remove(&object.name);
        let newer = self.objects.get(&object.name).is_none_or(|it| it.revision < object.revision);
        if newer {
            self.objects.insert(object.name.clone(), object);
        }
        newer
    }

    fn remove(&mut self, now: Instant, name: &Name) -> bool {
        match self.lapse(now, name) {
            Some(until) => {
                self.lapsing.insert(name.clone(), until);
                false
            }
            None => self.objects.shift_remove(name).is_some(),
        }
    }

    /// Returns until when an object that is gone still counts; none if it is gone for good.
    fn lapse(&self, now: Instant, name: &Name) -> Option<Instant> {
        let until = self.regained? + RETURN_GRACE;
        (until > now && self.objects.contains_key(name)).then_some(until)
    }

    fn advance(&mut self, revision: u64, differs: bool) {
        self.revision = self.revision.max(revision);
        if differs {
            self.changed = self.revision;
        }
    }
}
