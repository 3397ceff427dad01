//! The journal of origins in the platform's store, for streams that callers resume after every instance was lost.
//!
//! While a service has, or has just had, endpoints of several versions, the origins of its streams are collected at
//! one instance of each data centre, which writes them in segments. For each service a marker tells which versions
//! are listed, so that streams without a record are resumed where only one version can have begun them.

mod listing;
mod segments;
mod versions;

use std::{fmt, time::Duration};

use indexmap::IndexSet;
use siskinstile_macros::value;

use crate::{Instant, Name, directory::Software, name_hash::NameHash};

use listing::Listing;
use segments::Segments;
use versions::Versions;

/// Time for which segments are kept, and for which origins are journaled after one version has remained; callers
/// resume their streams sooner.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Minimum time between the starts of two lists, and the age up to which a list is used for further streams.
const LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a failed call until the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Prefix of the names of segments.
const SEGMENT_PREFIX: &str = "segment-";
/// Prefix of the names of markers.
const VERSIONS_PREFIX: &str = "versions-";

/// Identifies an object of the journal.
#[value(id)]
pub enum Key {
    /// A segment, in a slot of its data centre's ring.
    Segment {
        /// The data centre.
        datacentre: NameHash,
        /// Number of the slot.
        slot: u32,
    },
    /// The marker of a service.
    Versions {
        /// The service.
        service: NameHash,
    },
}

impl Key {
    /// Returns the key of the object with the given name; `None` if it is no object of the journal.
    pub fn parse(name: &str) -> Option<Key> {
        let hash = |text: &str| u64::from_str_radix(text, 16).ok().map(NameHash);
        if let Some(service) = name.strip_prefix(VERSIONS_PREFIX) {
            return Some(Key::Versions { service: hash(service)? });
        }
        let (datacentre, slot) = name.strip_prefix(SEGMENT_PREFIX)?.split_once('-')?;
        Some(Key::Segment { datacentre: hash(datacentre)?, slot: slot.parse().ok()? })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Segment { datacentre, slot } => write!(f, "{SEGMENT_PREFIX}{datacentre}-{slot}"),
            Key::Versions { service } => write!(f, "{VERSIONS_PREFIX}{service}"),
        }
    }
}

/// The versions of a service's endpoints.
#[value(eq)]
pub struct Marker {
    /// Versions that are listed, in ascending order.
    pub versions: Vec<Software>,
    /// Time since they last changed.
    pub age: Duration,
    /// Whether they are the same since the first start of the fleet.
    pub is_initial: bool,
}

/// The contents of an object of the journal.
#[value(eq)]
pub enum Content {
    /// The versions at which streams began.
    Segment(Vec<(NameHash, Software)>),
    /// The versions of a service.
    Versions(Marker),
}

/// An object as listed.
#[value(eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Revision of its last write.
    pub revision: u64,
    /// Time since its last write.
    pub age: Duration,
    /// Whether it was written in the present era of the store; an earlier one may have been restored from a copy.
    pub is_current: bool,
    /// The contents.
    pub content: Content,
}

/// A call to the store, which is answered by an [`Answer`].
#[value(eq)]
pub enum Command {
    /// Lists all objects of the journal, as they are now.
    List,
    /// Writes an object.
    Write {
        /// The key.
        key: Key,
        /// Revision that the object must have; `None` if it must not exist.
        revision: Option<u64>,
        /// The contents.
        content: Content,
    },
}

/// An answer of the store.
#[value(eq)]
pub enum Answer {
    /// The objects of the journal.
    Listed(Vec<Entry>),
    /// The list has failed.
    NotListed,
    /// An object has been written and has this revision.
    Written(Key, u64),
    /// An object was not written, as it has another revision.
    Conflict(Key),
    /// The write of an object has failed; it may have taken effect.
    NotWritten(Key),
    /// The store has been restored from an older copy.
    Restored,
}

/// The result of a lookup of a stream that peers do not know.
#[value(id)]
pub enum Finding {
    /// The version at which it began, from its record.
    Recorded(Software),
    /// The only version at which it can have begun.
    Single(Software),
    /// Neither is known.
    Unknown,
}

impl Finding {
    /// Returns the version, if it is known.
    pub fn software(self) -> Option<Software> {
        match self {
            Finding::Recorded(software) | Finding::Single(software) => Some(software),
            Finding::Unknown => None,
        }
    }
}

/// A growing time span, which may have begun before the start of the clock.
#[value]
struct Age {
    age: Duration,
    at: Instant,
}

impl Age {
    fn new(now: Instant, age: Duration) -> Age {
        Age { age, at: now }
    }

    fn elapsed(&self, now: Instant) -> Duration {
        self.age + now.since(self.at)
    }
}

/// The lists that are asked for.
#[value(default)]
struct Lists {
    is_wanted: bool,
    is_running: bool,
    /// No list begins before.
    next: Instant,
    /// No list for which no stream waits begins before.
    next_idle: Instant,
}

/// This instance's part of the journal.
#[value]
pub struct Journal {
    segments: Segments,
    versions: Versions,
    lists: Lists,
    listing: Option<Listing>,
}

impl Journal {
    /// Creates the part of an instance in a data centre; `first_start` is whether the whole fleet starts for the
    /// first time.
    pub fn new(datacentre: &str, first_start: bool) -> Journal {
        Journal {
            segments: Segments::new(NameHash::of(datacentre)),
            versions: Versions::new(first_start),
            lists: Lists::default(),
            listing: None,
        }
    }

    /// Records the versions of a service's listed endpoints, in any order.
    pub fn observe(&mut self, now: Instant, service: &Name, versions: IndexSet<Software>) {
        self.versions.observe(now, service, versions);
    }

    /// Returns whether the origins of a service's streams are journaled.
    pub fn is_active(&self, now: Instant, service: &str) -> bool {
        self.versions.is_active(now, service)
    }

    /// Sets whether this instance writes the markers, as the first of its data centre.
    pub fn set_writer(&mut self, now: Instant, is_writer: bool) {
        self.versions.set_writer(now, is_writer);
    }

    /// Records a stream and the version at which it began, to be written.
    pub fn record(&mut self, now: Instant, stream: NameHash, software: Software) {
        self.segments.record(now, stream, software);
    }

    /// Looks up a stream, which has no hash if its caller does not name it; `None` until a list has arrived.
    /// `listed` are the versions of the service's endpoints.
    pub fn find(
        &mut self,
        now: Instant,
        stream: Option<NameHash>,
        service: &str,
        listed: &IndexSet<Software>,
    ) -> Option<Finding> {
        match &self.listing {
            Some(listing) if listing.is_usable(now) => {
                Some(listing.find(now, stream, NameHash::of(service), listed))
            }
            _ => {
                self.lists.is_wanted = true;
                None
            }
        }
    }

    /// Handles an answer of the store.
    pub fn handle(&mut self, now: Instant, answer: Answer) {
        match answer {
            Answer::Listed(entries) => {
                self.lists.is_running = false;
                // Streams that began to wait during the call are looked up in this list.
                self.lists.is_wanted = false;
                self.segments.set_listed(now, &entries);
                self.versions.set_listed(now, &entries);
                self.listing = Some(Listing::new(now, entries));
            }
            Answer::NotListed => {
                self.lists.is_running = false;
                self.lists.next_idle = now + RETRY_INTERVAL;
            }
            Answer::Written(Key::Segment { slot, .. }, revision) => {
                self.segments.written(now, slot, revision);
            }
            Answer::Conflict(Key::Segment { .. }) => self.segments.conflict(),
            Answer::NotWritten(Key::Segment { .. }) => self.segments.not_written(now),
            Answer::Written(Key::Versions { service }, revision) => {
                self.versions.written(service, revision);
            }
            Answer::Conflict(Key::Versions { service }) => self.versions.conflict(service),
            Answer::NotWritten(Key::Versions { service }) => {
                self.versions.not_written(now, service)
            }
            Answer::Restored => {
                self.segments.restored();
                self.versions.restored();
                self.listing = None;
            }
        }
    }

    /// Makes calls due that wait since one has failed, as the store answers again.
    pub fn retry(&mut self, now: Instant) {
        self.lists.next_idle = self.lists.next_idle.min(self.lists.next.max(now));
        self.versions.retry(now);
        self.segments.retry(now);
    }

    /// Returns the calls that are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<Command> {
        self.segments.expire(now);
        self.listing.take_if(|it| !it.is_usable(now));
        let mut commands = self.versions.take_due(now);
        commands.extend(self.segments.take_due(now));
        if self.list_due().is_some_and(|it| it <= now) {
            let next = now + LIST_INTERVAL;
            self.lists = Lists { is_wanted: false, is_running: true, next, next_idle: next };
            commands.push(Command::List);
        }
        commands
    }

    /// Returns when the next call is due.
    pub fn next_due(&self) -> Option<Instant> {
        [self.list_due(), self.segments.due(), self.versions.due()].into_iter().flatten().min()
    }

    fn list_due(&self) -> Option<Instant> {
        let lists = &self.lists;
        let is_needed = self.segments.needs_list() || self.versions.needs_list();
        match lists.is_running {
            true => None,
            false if lists.is_wanted => Some(lists.next),
            false => is_needed.then_some(lists.next_idle),
        }
    }
}
