//! The configuration and the endpoints, as the platform lists them.

use std::sync::Arc;

use crate::{
    Catalog, Directory, Instant,
    directory::Endpoint,
    record::{self, Record},
    residency,
};

use super::State;

impl State {
    /// Puts a newer configuration in force.
    pub(super) fn handle_configuration(&mut self, now: Instant, catalog: Arc<Catalog>) {
        let is_up_to_date = |it: &Arc<Catalog>| it.version >= catalog.version;
        if self.catalog.as_ref().is_some_and(is_up_to_date) {
            return;
        }
        if !self.check_regions(&catalog) {
            return;
        }
        self.evacuations.start_waiting(now);
        let start_full = self.settings.first_start && self.catalog.is_none();
        let reachable_share = self.fleet.members.reachable_share(now);
        self.fleet.ledger.set_reachable_share(now, reachable_share);
        self.fleet.ledger.configure(now, catalog.teams(), start_full);
        self.fleet.warm_up.configure(now, &catalog);
        self.announce();
        self.log(Record::new(record::CONFIGURED).with("version", catalog.version));
        self.catalog = Some(catalog);
        self.observe_versions(now);
    }

    /// Logs the regions in a configuration that no data centre has; returns whether it may be in force.
    fn check_regions(&mut self, catalog: &Catalog) -> bool {
        match residency::check(catalog, &self.settings.regions) {
            Ok(unknown) => {
                for it in unknown {
                    self.log(it.log_record(catalog.version));
                }
                true
            }
            Err(problem) => {
                let line = Record::new(record::CONFIG_REFUSED).with("version", catalog.version);
                self.log(line.with("problem", problem.to_string()));
                false
            }
        }
    }

    /// Replaces the list of endpoints.
    pub(super) fn handle_endpoint_list(&mut self, now: Instant, directory: Arc<Directory>) {
        let ready = directory.iter().filter(|it| it.is_ready()).count();
        let line = Record::new(record::LISTED).with("endpoints", directory.len());
        self.log(line.with("ready", ready));
        self.fleet.health.retain(now, |id| directory.get(id).is_some());
        self.readmit_changed(&directory);
        self.fleet.reported_loads.retain(|id, _| directory.get(id).is_some());
        self.announce();
        self.planner.record_endpoint_list(now, &directory);
        self.fleet.departures.record_list(now, &self.listed, &directory);
        self.record_cold_entries(now, &directory);
        self.listed = directory;
        self.update_directory();
        self.observe_versions(now);
        self.confirm_crashes(now);
    }

    /// Ends the ejections of endpoints at whose listed addresses other ones have answered, if these are listed elsewhere now
    /// or have started again.
    fn readmit_changed(&mut self, directory: &Directory) {
        for endpoint in directory.iter() {
            let has_changed = |it: &Arc<Endpoint>| {
                it.address != endpoint.address || it.started_at_ms != endpoint.started_at_ms
            };
            if self.listed.get(&endpoint.id).is_some_and(has_changed) {
                self.fleet.health.readmit(&endpoint.id);
            }
        }
    }

    /// Derives the endpoints in use from those listed, those known to leave and the evacuations.
    pub(super) fn update_directory(&mut self) {
        self.directory = self.evacuations.apply(self.fleet.departures.apply(&self.listed));
    }
}
