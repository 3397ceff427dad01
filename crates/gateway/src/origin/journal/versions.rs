//! Which versions the endpoints of each service have, since when, and the markers that tell it.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{Instant, Name, directory::Software, name_hash::NameHash};

use super::{Age, Command, Content, Entry, Key, Marker, RETENTION, RETRY_INTERVAL};

/// Time for which an instance has to be the first of its data centre before it writes markers: right after a
/// start, each one ranks first among the members that it knows.
const WRITER_DELAY: Duration = Duration::from_secs(1);
/// Difference up to which the times at which two instances have seen a change count as the same.
const AGE_TOLERANCE: Duration = Duration::from_secs(5);

/// The versions of one service.
#[value]
struct Service {
    /// Versions that are listed, in ascending order.
    versions: Vec<Software>,
    /// Time since they changed, as far as this instance knows.
    age: Age,
    is_initial: bool,
    /// Whether a change has been seen here, so that no marker can show an earlier one.
    is_witnessed: bool,
    /// Whether the marker has been listed, or written.
    is_listed: bool,
    /// Whether the marker says the same.
    is_written: bool,
    /// Revision of the marker, if it is known to exist.
    revision: Option<u64>,
    is_writing: bool,
    /// No write begins before.
    next: Instant,
}

/// The versions of all services.
#[value]
pub(super) struct Versions {
    first_start: bool,
    services: IndexMap<Name, Service>,
    /// Since when this instance is the first of its data centre.
    writer_since: Option<Instant>,
}

impl Versions {
    pub(super) fn new(first_start: bool) -> Versions {
        Versions { first_start, services: IndexMap::new(), writer_since: None }
    }

    pub(super) fn observe(&mut self, now: Instant, name: &Name, versions: IndexSet<Software>) {
        // A service without any endpoint says nothing of versions.
        if versions.is_empty() {
            return;
        }
        let mut versions: Vec<Software> = versions.into_iter().collect();
        versions.sort_unstable();
        let first_start = self.first_start;
        let age = Age::new(now, Duration::ZERO);
        let service = self.services.entry(name.clone()).or_insert_with(|| Service {
            versions: versions.clone(),
            age: age.clone(),
            is_initial: first_start,
            is_witnessed: false,
            is_listed: first_start,
            is_written: false,
            revision: None,
            is_writing: false,
            next: now,
        });
        if service.versions != versions {
            *service = Service {
                versions,
                age,
                is_initial: false,
                is_witnessed: true,
                is_written: false,
                next: now,
                ..service.clone()
            };
        }
    }

    pub(super) fn is_active(&self, now: Instant, name: &str) -> bool {
        self.services.get(name).is_some_and(|it| {
            it.versions.len() > 1 || !it.is_initial && it.age.elapsed(now) < RETENTION
        })
    }

    pub(super) fn set_writer(&mut self, now: Instant, is_writer: bool) {
        match is_writer {
            true if self.writer_since.is_none() => {
                self.writer_since = Some(now);
                // Another writer may have changed the markers.
                self.services.values_mut().for_each(|it| it.is_listed &= it.revision.is_none());
            }
            true => {}
            false => self.writer_since = None,
        }
    }

    pub(super) fn needs_list(&self) -> bool {
        self.services.values().any(|it| !it.is_listed && !it.is_writing)
    }

    pub(super) fn set_listed(&mut self, now: Instant, entries: &[Entry]) {
        for (name, service) in &mut self.services {
            let key = Key::Versions { service: NameHash::of(name) };
            service.is_listed = true;
            // A list during a write may be older than it.
            if service.is_writing {
                continue;
            }
            service.revision = None;
            service.is_written = false;
            for entry in entries.iter().filter(|it| it.key == key) {
                service.revision = Some(entry.revision);
                if let Content::Versions(marker) = &entry.content {
                    service.compare(now, marker, entry.is_current);
                }
            }
        }
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let start = self.writer_since? + WRITER_DELAY;
        let times = self.services.values().filter_map(Service::due);
        times.min().map(|it| it.max(start))
    }

    pub(super) fn take_due(&mut self, now: Instant) -> Vec<Command> {
        if self.due().is_none_or(|it| it > now) {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for (name, service) in &mut self.services {
            if service.due().is_some_and(|it| it <= now) {
                service.is_writing = true;
                service.is_written = true;
                commands.push(Command::Write {
                    key: Key::Versions { service: NameHash::of(name) },
                    revision: service.revision,
                    content: Content::Versions(service.marker(now)),
                });
            }
        }
        commands
    }

    pub(super) fn written(&mut self, service: NameHash, revision: u64) {
        if let Some(service) = self.get(service) {
            service.is_writing = false;
            service.revision = Some(revision);
        }
    }

    pub(super) fn conflict(&mut self, service: NameHash) {
        if let Some(service) = self.get(service) {
            service.is_writing = false;
            service.is_written = false;
            service.is_listed = false;
        }
    }

    pub(super) fn not_written(&mut self, now: Instant, service: NameHash) {
        if let Some(service) = self.get(service) {
            service.is_writing = false;
            service.is_written = false;
            service.next = now + RETRY_INTERVAL;
        }
    }

    pub(super) fn retry(&mut self, now: Instant) {
        self.services.values_mut().for_each(|it| it.next = it.next.min(now));
    }

    /// The restored copy may have earlier markers, or none.
    pub(super) fn restored(&mut self) {
        for service in self.services.values_mut() {
            service.is_writing = false;
            service.is_written = false;
            service.is_listed = false;
        }
    }

    fn get(&mut self, service: NameHash) -> Option<&mut Service> {
        let mut services = self.services.iter_mut();
        services.find(|(name, _)| NameHash::of(name) == service).map(|(_, it)| it)
    }
}

impl Service {
    fn due(&self) -> Option<Instant> {
        (self.is_listed && !self.is_writing && !self.is_written).then_some(self.next)
    }

    fn marker(&self, now: Instant) -> Marker {
        let (age, is_initial) = (self.age.elapsed(now), self.is_initial);
        Marker { versions: self.versions.clone(), age, is_initial }
    }

    /// Compares what this instance knows with the marker, and takes over from it what was before its start.
    fn compare(&mut self, now: Instant, marker: &Marker, is_current: bool) {
        match marker.versions == self.versions {
            // A marker of an earlier era is written again with what is known here.
            _ if !is_current => {}
            // The versions have changed since the marker was written, at the latest now. That also holds after a
            // change that was seen here: another instance may have seen a later one.
            false => {
                self.is_witnessed = true;
                self.is_initial = false;
                self.age = Age::new(now, Duration::ZERO);
            }
            true if !self.is_witnessed => {
                self.is_initial = marker.is_initial;
                self.age = Age::new(now, marker.age);
                self.is_written = true;
            }
            true => {
                let own = self.age.elapsed(now);
                self.is_written = marker.age <= own + AGE_TOLERANCE && !marker.is_initial;
            }
        }
    }
}
