//! Queue of scheduled items, ordered by time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use siskinstile_core::{
    Event, Instant,
    object::Name,
    store::{Call, Tag},
};
use siskinstile_wire::Envelope;

/// A scheduled item.
pub(super) enum Item {
    /// An event for an incarnation of an instance.
    Event { to: Name, incarnation: u64, event: Event },
    /// A message for the current incarnation of an instance.
    Message { to: Name, envelope: Envelope },
    /// Arrival of a call at the platform.
    Call { from: Name, incarnation: u64, tag: Tag, call: Call },
    /// Timeout of a watch.
    WatchTimeout,
    /// A timer that the driver has set.
    Timer(u64),
}

struct Entry {
    at: Instant,
    sequence: u64,
    item: Item,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Priority queue by time; items due at the same time are returned in the order of insertion.
#[derive(Default)]
pub(super) struct Queue {
    sequence: u64,
    entries: BinaryHeap<Reverse<Entry>>,
}

impl Queue {
    /// Adds an item that is due at `at`.
    pub(super) fn push(&mut self, at: Instant, item: Item) {
        self.sequence += 1;
        self.entries.push(Reverse(Entry { at, sequence: self.sequence, item }));
    }

    /// Returns the time of the earliest item.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.entries.peek().map(|Reverse(it)| it.at)
    }

    /// Removes and returns the earliest item.
    pub(super) fn pop(&mut self) -> Option<Item> {
        self.entries.pop().map(|Reverse(it)| it.item)
    }
}
