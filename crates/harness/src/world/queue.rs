//! What is to happen, in the order of time.

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

/// Something that is to happen.
pub(super) enum What {
    /// An event for an incarnation of an instance.
    Event { to: Name, incarnation: u64, event: Event },
    /// A message for whichever incarnation is there.
    Message { to: Name, envelope: Envelope },
    /// A call that has reached the platform.
    Call { from: Name, incarnation: u64, tag: Tag, call: Call },
    /// The time of a watch is over.
    Watches,
    /// A mark that the driver set.
    Mark(u64),
}

struct Entry {
    at: Instant,
    sequence: u64,
    what: What,
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

/// What is to happen; of two things at one time, the one that was pushed first comes first.
#[derive(Default)]
pub(super) struct Queue {
    sequence: u64,
    entries: BinaryHeap<Reverse<Entry>>,
}

impl Queue {
    /// Adds something.
    pub(super) fn push(&mut self, at: Instant, what: What) {
        self.sequence += 1;
        self.entries.push(Reverse(Entry { at, sequence: self.sequence, what }));
    }

    /// Returns when the next thing is to happen.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.entries.peek().map(|Reverse(it)| it.at)
    }

    /// Takes the next thing.
    pub(super) fn pop(&mut self) -> Option<What> {
        self.entries.pop().map(|Reverse(it)| it.what)
    }
}
