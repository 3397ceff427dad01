//! The members of the fleet as callers of cold endpoints, and their ranks.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Instant, name_hash::NameHash};

/// Time within which the others hear of a new member, and this instance of them.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The members that rank for calls to cold endpoints, reachable or not.
///
/// A member that leaves ranks for a while, and a new one calls no cold endpoint for as long. So the
/// callers of an endpoint before and after a change do not overlap while all hear of it.
#[value]
pub(super) struct Callers {
    own: NameHash,
    /// The members, each with the time at which it left.
    members: IndexMap<NameHash, Option<Instant>>,
    /// When this instance first read the list of members.
    joined_at: Option<Instant>,
}

impl Callers {
    /// Creates the set of one instance that does not know the others.
    pub(super) fn new(own: NameHash) -> Callers {
        Callers { own, members: IndexMap::from([(own, None)]), joined_at: None }
    }

    /// Sets the known members; `is_listed` is whether the platform's list has been read. Returns
    /// whether the ranks have changed.
    pub(super) fn set(
        &mut self,
        now: Instant,
        names: impl Iterator<Item = NameHash>,
        is_listed: bool,
    ) -> bool {
        if is_listed {
            self.joined_at.get_or_insert(now);
        }
        let before = self.members.len();
        let own = self.own;
        self.members.values_mut().for_each(|it| *it = it.or(Some(now)));
        for name in names.chain([own]) {
            self.members.insert(name, None);
        }
        let has_joined = self.members.len() > before;
        let is_member =
            |left_at: &Option<Instant>| left_at.is_none_or(|it| now.since(it) < SETTLING_TIME);
        self.members.retain(|_, left_at| is_member(left_at));
        has_joined || self.members.len() < before
    }

    /// Returns the time until this instance may call cold endpoints; `None` if it may now, or the
    /// longest time while it has no list of members.
    pub(super) fn wait(&self, now: Instant) -> Option<Duration> {
        let Some(joined_at) = self.joined_at else { return Some(Duration::MAX) };
        let settled_at = joined_at + SETTLING_TIME;
        (settled_at > now).then(|| settled_at.since(now))
    }

    /// Returns the number of members that precede this instance as callers of an endpoint.
    pub(super) fn rank(&self, endpoint: NameHash) -> usize {
        let weight = |it: NameHash| xxh3_64_with_seed(&it.0.to_le_bytes(), endpoint.0);
        let own = weight(self.own);
        self.members.keys().filter(|it| weight(**it) > own).count()
    }

    /// Returns the number of members.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }
}
