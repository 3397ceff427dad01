//! The segments that an instance writes, and the ring of slots that they are written to.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, directory::Software, name_hash::NameHash};

use super::{Age, Command, Content, Entry, Key, RETENTION, RETRY_INTERVAL};

/// Time of the streams in one segment.
const SEGMENT_TIME: Duration = Duration::from_secs(5);
/// Minimum time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of records in a segment; it then has 90 KB in the store, which takes 1 MiB.
const MAX_RECORDS: usize = 1 << 13;
/// Maximum number of segments; the oldest ones are dropped while the store is down.
const MAX_SEGMENTS: usize = 16;
/// Number of slots of a data centre, with those of writers that came before.
const MAX_SLOTS: u32 = 64;

/// Streams that began within [`SEGMENT_TIME`], and their versions.
#[value]
struct Segment {
    origins: IndexMap<NameHash, Software>,
    begun_at: Instant,
    /// Number of changes, and how many of them have been written.
    changes: u64,
    written: u64,
    slot: Option<u32>,
}

impl Segment {
    fn new(now: Instant) -> Segment {
        Segment { origins: IndexMap::new(), begun_at: now, changes: 0, written: 0, slot: None }
    }

    fn is_full(&self, now: Instant) -> bool {
        now.since(self.begun_at) >= SEGMENT_TIME || self.origins.len() >= MAX_RECORDS
    }

    fn is_written(&self) -> bool {
        self.written == self.changes
    }
}

/// An object of the ring.
#[value]
struct Slot {
    revision: u64,
    age: Age,
}

/// A write whose answer has not come.
#[value(id)]
struct Writing {
    slot: u32,
    changes: u64,
}

/// The segments of an instance; the last one is open.
#[value]
pub(super) struct Segments {
    datacentre: NameHash,
    segments: VecDeque<Segment>,
    /// The objects in the store, by slot; `None` if they have to be listed.
    ring: Option<IndexMap<u32, Slot>>,
    writing: Option<Writing>,
    /// No write begins before.
    next: Instant,
}

impl Segments {
    pub(super) fn new(datacentre: NameHash) -> Segments {
        Segments {
            datacentre,
            segments: VecDeque::new(),
            ring: None,
            writing: None,
            next: Instant::default(),
        }
    }

    pub(super) fn record(&mut self, now: Instant, stream: NameHash, software: Software) {
        if self.segments.back().is_none_or(|it| it.is_full(now)) {
            self.segments.push_back(Segment::new(now));
        }
        if self.segments.len() > MAX_SEGMENTS {
            self.segments.pop_front();
        }
        let Some(open) = self.segments.back_mut() else { return };
        if open.origins.insert(stream, software) != Some(software) {
            open.changes += 1;
        }
    }

    /// Removes segments whose retention time is over, written or not.
    pub(super) fn expire(&mut self, now: Instant) {
        self.segments.retain(|it| now.since(it.begun_at) < SEGMENT_TIME + RETENTION);
    }

    pub(super) fn needs_list(&self) -> bool {
        self.ring.is_none() && self.writing.is_none() && self.has_unwritten()
    }

    fn has_unwritten(&self) -> bool {
        self.segments.iter().any(|it| !it.is_written())
    }

    pub(super) fn set_listed(&mut self, now: Instant, entries: &[Entry]) {
        // A list that is not needed may be older than the last write.
        if self.ring.is_some() {
            return;
        }
        let slot = |entry: &Entry| match entry.key {
            Key::Segment { datacentre, slot } if datacentre == self.datacentre => {
                Some((slot, Slot { revision: entry.revision, age: Age::new(now, entry.age) }))
            }
            _ => None,
        };
        self.ring = Some(entries.iter().filter_map(slot).collect());
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let may_write = self.ring.is_some() && self.writing.is_none() && self.has_unwritten();
        may_write.then_some(self.next)
    }

    pub(super) fn take_due(&mut self, now: Instant) -> Option<Command> {
        if self.due().is_none_or(|it| it > now) {
            return None;
        }
        let free = self.free_slot(now)?;
        let segment = self.segments.iter_mut().find(|it| !it.is_written())?;
        let slot = *segment.slot.get_or_insert(free);
        self.writing = Some(Writing { slot, changes: segment.changes });
        self.next = now + WRITE_INTERVAL;
        Some(Command::Write {
            key: Key::Segment { datacentre: self.datacentre, slot },
            revision: self.ring.as_ref()?.get(&slot).map(|it| it.revision),
            content: Content::Segment(segment.origins.iter().map(|(k, v)| (*k, *v)).collect()),
        })
    }

    /// Returns a slot whose segment is no longer needed, a new one if there is none, or else the oldest.
    fn free_slot(&self, now: Instant) -> Option<u32> {
        let ring = self.ring.as_ref()?;
        let is_used = |slot: &u32| self.segments.iter().any(|it| it.slot == Some(*slot));
        let free = ring.iter().filter(|(slot, _)| !is_used(slot));
        let oldest = free.map(|(slot, it)| (it.age.elapsed(now), *slot)).max();
        let new = (0..MAX_SLOTS).find(|it| !ring.contains_key(it) && !is_used(it));
        match oldest {
            Some((age, slot)) if age >= RETENTION => Some(slot),
            _ => new.or(oldest.map(|(_, slot)| slot)),
        }
    }

    pub(super) fn written(&mut self, now: Instant, slot: u32, revision: u64) {
        let Some(writing) = self.writing.take_if(|it| it.slot == slot) else { return };
        if let Some(segment) = self.segments.iter_mut().find(|it| it.slot == Some(slot)) {
            segment.written = writing.changes;
        }
        if let Some(ring) = &mut self.ring {
            ring.insert(slot, Slot { revision, age: Age::new(now, Duration::ZERO) });
        }
    }

    /// Another instance has written to the slot, or an answer was lost: the segment gets another slot.
    pub(super) fn conflict(&mut self) {
        let Some(writing) = self.writing.take() else { return };
        self.ring = None;
        let segment = self.segments.iter_mut().find(|it| it.slot == Some(writing.slot));
        if let Some(segment) = segment {
            segment.slot = None;
            segment.written = 0;
        }
    }

    pub(super) fn not_written(&mut self, now: Instant) {
        self.writing = None;
        self.next = now + RETRY_INTERVAL;
    }

    pub(super) fn retry(&mut self, now: Instant) {
        self.next = self.next.min(now + WRITE_INTERVAL);
    }

    /// The restored copy may lack all segments, so that they are written again.
    pub(super) fn restored(&mut self) {
        self.ring = None;
        self.writing = None;
        for segment in &mut self.segments {
            segment.slot = None;
            segment.written = 0;
        }
    }
}
