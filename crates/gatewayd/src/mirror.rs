//! A local copy of the store's objects of one kind.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_gateway::{Instant, Name};
use siskinstile_macros::value;

use crate::store::{Object, Position};

/// Maximum time for which objects are kept that expired or got lost while the store was
/// unavailable, since their owners may write them again.
const MAX_GRACE: Duration = Duration::from_millis(2_200);
/// Margin by which such an object is dropped before the time limit on the use of a removed one.
const GRACE_MARGIN: Duration = Duration::from_millis(100);

/// The objects of one kind, with the position in the store that they reflect.
#[value]
pub struct Mirror {
    objects: IndexMap<Name, Object>,
    /// Objects that the store no longer has, each with the time until which it is kept.
    kept_until: IndexMap<Name, Instant>,
    position: Position,
    /// Position of the last update that changed an object.
    changed_position: Position,
    /// Time for which lost objects are kept.
    grace: Duration,
    /// When the store came back, if the next list or watch covers the outage. Objects that it shows as
    /// deleted may have expired in the outage, unless it comes so late that their owners would have
    /// written them again; later ones were removed by their owners.
    recovered_at: Option<Instant>,
    is_listed: bool,
}

impl Mirror {
    /// Creates an empty copy. `removal_limit` is the time after which an object that its owner has
    /// removed must not be in use any more; with zero, objects are not kept at all.
    pub fn new(removal_limit: Duration) -> Mirror {
        Mirror {
            objects: IndexMap::new(),
            kept_until: IndexMap::new(),
            position: Position::default(),
            changed_position: Position::default(),
            grace: MAX_GRACE.min(removal_limit.saturating_sub(GRACE_MARGIN)),
            recovered_at: None,
            is_listed: false,
        }
    }

    /// Returns whether the objects have been listed at least once.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the position in the store that the copy reflects.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the position of the last update that changed an object.
    pub fn changed_position(&self) -> Position {
        self.changed_position
    }

    /// Returns the objects, including those that are kept after their loss.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Returns the objects that the store no longer has, each with the time for which it is kept.
    pub fn kept(&self, now: Instant) -> impl Iterator<Item = (&Name, Duration)> {
        self.kept_until.iter().map(move |(name, until)| (name, until.since(now)))
    }

    /// Records the end of a store outage.
    ///
    /// Objects that the next list or watch shows as deleted are kept until the grace period ends, but not
    /// longer than their owners need to write them again.
    pub fn store_recovered(&mut self, now: Instant) {
        self.recovered_at = Some(now).filter(|_| !self.grace.is_zero());
    }

    /// Returns until when an object is kept that is found to be deleted now, after an outage; `None` if it
    /// is not kept.
    fn grace_end(&self, now: Instant, recovered_at: Instant) -> Option<Instant> {
        let end = (now + self.grace).min(recovered_at + MAX_GRACE);
        Some(end).filter(|it| *it > now)
    }

    /// Replaces all objects by those of a list.
    ///
    /// A list of a new era comes from an older copy of the store, which may lack objects: missing
    /// ones are kept as after an outage. Returns whether any object changed; always true for the
    /// first list.
    pub fn replace(&mut self, now: Instant, objects: Vec<Object>, position: Position) -> bool {
        let is_restored = self.is_listed && position.era > self.position.era;
        let after_outage = self.recovered_at.take().and_then(|it| self.grace_end(now, it));
        let after_restore = (is_restored && !self.grace.is_zero()).then(|| now + self.grace);
        let kept = after_restore.or(after_outage).map_or_else(Vec::new, |end| {
            let is_listed = |name: &Name| objects.iter().any(|it| it.name == *name);
            let missing = self.objects.keys().filter(|name| !is_listed(name));
            missing.map(|name| (name.clone(), self.keep_until(name, end))).collect()
        });
        self.set(objects, kept, position)
    }

    /// Applies a peer's snapshot: the objects that have changed, the names of all, and those that
    /// the peer keeps although the store no longer has them, each with the remaining time.
    ///
    /// An object that the peer no longer has is removed at once, since the peer has decided that it
    /// was not lost in an outage, or has kept it for long enough. Returns whether any object
    /// changed, or `None` if a named object is neither in the snapshot nor in this copy.
    pub fn merge(
        &mut self,
        now: Instant,
        changed: Vec<Object>,
        names: &[Name],
        kept: &[(Name, Duration)],
        position: Position,
    ) -> Option<bool> {
        let mut changed: IndexMap<Name, Object> =
            changed.into_iter().map(|it| (it.name.clone(), it)).collect();
        let mut objects = Vec::with_capacity(names.len());
        for name in names {
            let object = changed.swap_remove(name).or_else(|| self.objects.get(name).cloned())?;
            objects.push(object);
        }
        let kept = kept.iter().map(|(name, remaining)| {
            (name.clone(), self.keep_until(name, now + (*remaining).min(self.grace)))
        });
        let kept = kept.collect();
        Some(self.set(objects, kept, position))
    }

    /// Applies the changes of a watch; returns whether any object changed. An answer from before the position of
    /// this copy is ignored, as the copy reflects it.
    pub fn apply(&mut self, now: Instant, events: Vec<(Object, bool)>, position: Position) -> bool {
        if position < self.position {
            return false;
        }
        let grace_end = self.recovered_at.take().and_then(|it| self.grace_end(now, it));
        let mut has_changed = false;
        for (object, deleted) in events {
            has_changed |= match (deleted, grace_end) {
                (true, Some(end)) if self.objects.contains_key(&object.name) => {
                    let until = self.keep_until(&object.name, end);
                    self.kept_until.insert(object.name, until);
                    // Peers that rely on this copy have to learn until when the object is kept.
                    true
                }
                (true, _) => {
                    self.kept_until.swap_remove(&object.name);
                    self.objects.shift_remove(&object.name).is_some()
                }
                (false, _) => self.put(object),
            };
        }
        self.advance(position, has_changed);
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

    /// Restores the objects of an earlier state of this copy and keeps the position.
    pub fn restore_objects(&mut self, earlier: &Mirror) {
        self.objects = earlier.objects.clone();
        self.kept_until = earlier.kept_until.clone();
    }

    fn put(&mut self, object: Object) -> bool {
        self.kept_until.swap_remove(&object.name);
        let is_newer =
            self.objects.get(&object.name).is_none_or(|it| it.position < object.position);
        if is_newer {
            self.objects.insert(object.name.clone(), object);
        }
        is_newer
    }

    /// Returns the end of an object's grace period: an earlier one that was set before, or `until`.
    fn keep_until(&self, name: &Name, until: Instant) -> Instant {
        self.kept_until.get(name).map_or(until, |it| until.min(*it))
    }

    /// Replaces the objects by those listed and those that are kept.
    fn set(&mut self, listed: Vec<Object>, kept: Vec<(Name, Instant)>, position: Position) -> bool {
        let mut objects: IndexMap<Name, Object> =
            listed.into_iter().map(|it| (it.name.clone(), it)).collect();
        for (name, _) in &kept {
            if let Some(object) = self.objects.get(name) {
                objects.entry(name.clone()).or_insert_with(|| object.clone());
            }
        }
        self.kept_until = kept.into_iter().filter(|(it, _)| objects.contains_key(it)).collect();
        let has_changed = !self.is_listed || objects != self.objects;
        self.objects = objects;
        self.is_listed = true;
        self.advance(position, has_changed || !self.kept_until.is_empty());
        has_changed
    }

    fn advance(&mut self, position: Position, has_changed: bool) {
        self.position = self.position.max(position);
        if has_changed {
            self.changed_position = self.position;
        }
    }
}
