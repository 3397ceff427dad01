//! Changes of the local copies, and their posting to the reducer.

use std::sync::Arc;

use siskinstile_gateway::{
    Directory, Event,
    record::{self, Record},
};

use super::{Follower, Replica, quarantine::unix_time};
use crate::{mirror::Mirror, status, store::Kind};

impl Follower {
    /// Changes the copy of a kind, and posts it to the reducer if an object has changed; returns
    /// false if `change` returns `None`, as it then lacks objects.
    pub(super) fn update(
        &self,
        kind: Kind,
        change: impl FnOnce(&mut Mirror) -> Option<bool>,
    ) -> bool {
        let before =
            (kind == Kind::Configuration).then(|| self.configuration.borrow().mirror.clone());
        let Some(has_changed) = change(&mut self.replica(kind).borrow_mut().mirror) else {
            return false;
        };
        {
            let mut replica = self.replica(kind).borrow_mut();
            let position = replica.mirror.position();
            replica.sources.advance(position);
            if has_changed && kind == Kind::Configuration {
                let Replica { mirror, archive, .. } = &mut *replica;
                archive.record(mirror.objects());
            }
        }
        match before {
            _ if !has_changed => {}
            Some(before) => self.apply_configuration(&before),
            None if kind == Kind::Evacuations => self.apply_evacuations(),
            None => self.apply_endpoints(),
        }
        true
    }

    /// Posts the configuration; one that is older than that in force, as a restored store lists it,
    /// is replaced by the one `before`, so that peers do not take it either.
    fn apply_configuration(&self, before: &Mirror) {
        let catalog = {
            let replica = self.configuration.borrow();
            self.control.protocol.read_catalog(&mut replica.mirror.objects())
        };
        match catalog {
            Ok(catalog) if catalog.version < self.version_in_force() => {
                self.configuration.borrow_mut().mirror.restore_objects(before);
                let line = Record::new(record::CONFIG_OUTDATED).with("version", catalog.version);
                self.control.logger.write(&line);
            }
            Ok(catalog) => self.control.post(Event::Configured(Arc::new(catalog))),
            Err(error) => {
                let line =
                    Record::new(record::CONFIG_REFUSED).with("problem", format!("{error:#}"));
                self.log_counted(&line);
            }
        }
    }

    /// Posts the endpoints, without those that cannot be read.
    pub(super) fn apply_endpoints(&self) {
        let mut endpoints = Vec::new();
        for object in self.endpoints.borrow().mirror.objects() {
            match self.control.protocol.read_endpoint(object) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => {
                    let line = Record::new(record::ENTRY_UNREADABLE)
                        .with("entry", &*object.name)
                        .with("revision", object.position.revision)
                        .with("problem", format!("{error:#}"));
                    self.log_counted(&line);
                }
            }
        }
        let directory = Directory::new(endpoints).read_at(unix_time().as_millis() as u64);
        self.control.post(Event::EndpointsListed(Arc::new(directory)));
    }

    /// Posts the evacuated data centres; the values of their objects are not read.
    fn apply_evacuations(&self) {
        let names = self.evacuations.borrow().mirror.objects().map(|it| it.name.clone()).collect();
        self.control.post(Event::Evacuated(names));
        let evacuated = self.control.read(|state| state.evacuated().len());
        metrics::gauge!("siskinstile_evacuated_datacentres").set(evacuated as f64);
    }

    /// Logs a line and counts it by its event.
    pub(super) fn log_counted(&self, line: &Record) {
        status::count_line(line);
        self.control.logger.write(line);
    }
}
