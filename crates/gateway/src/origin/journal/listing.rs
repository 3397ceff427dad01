//! Lookups of streams in a list of the journal.

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{Instant, directory::Software, name_hash::NameHash};

use super::{Content, Entry, Finding, Key, LIST_INTERVAL, Marker, RETENTION};

/// The objects of the journal at one point in time.
#[value]
pub(super) struct Listing {
    arrived_at: Instant,
    /// The version of each recorded stream; `None` if two are recorded.
    origins: IndexMap<NameHash, Option<Software>>,
    /// Markers of the store's present era, by service.
    markers: IndexMap<NameHash, Marker>,
}

impl Listing {
    pub(super) fn new(now: Instant, entries: Vec<Entry>) -> Listing {
        let mut listing =
            Listing { arrived_at: now, origins: IndexMap::new(), markers: IndexMap::new() };
        for entry in entries {
            match (entry.key, entry.content) {
                (Key::Versions { service }, Content::Versions(marker)) if entry.is_current => {
                    listing.markers.insert(service, marker);
                }
                (_, Content::Segment(origins)) => {
                    origins.into_iter().for_each(|(stream, it)| listing.add(stream, it));
                }
                _ => {}
            }
        }
        listing
    }

    fn add(&mut self, stream: NameHash, software: Software) {
        let known = self.origins.entry(stream).or_insert(Some(software));
        *known = known.filter(|it| *it == software);
    }

    /// Returns whether it may be used for streams that were not waiting for it.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        now.since(self.arrived_at) < LIST_INTERVAL
    }

    pub(super) fn find(
        &self,
        now: Instant,
        stream: Option<NameHash>,
        service: NameHash,
        listed: &IndexSet<Software>,
    ) -> Finding {
        match stream.and_then(|it| self.origins.get(&it)) {
            Some(Some(software)) => Finding::Recorded(*software),
            Some(None) => Finding::Unknown,
            None => self.single(now, service, listed).map_or(Finding::Unknown, Finding::Single),
        }
    }

    /// Returns the version at which all streams of a service must have begun that are in no segment.
    fn single(
        &self,
        now: Instant,
        service: NameHash,
        listed: &IndexSet<Software>,
    ) -> Option<Software> {
        let marker = self.markers.get(&service)?;
        let [version] = marker.versions[..] else { return None };
        let age = marker.age + now.since(self.arrived_at);
        let is_settled = marker.is_initial || age >= RETENTION;
        let is_listed_alone = listed.len() == 1 && listed.contains(&version);
        (is_settled && is_listed_alone).then_some(version)
    }
}
