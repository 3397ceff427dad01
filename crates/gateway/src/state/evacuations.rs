//! Evacuations of data centres, as the platform's store lists them.

use crate::{
    Instant, Name,
    directory::Endpoint,
    record::{self, Record},
    request,
};

use super::State;

impl State {
    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &[Name] {
        self.evacuations.datacentres()
    }

    /// Returns whether an endpoint must get no calls since its data centre is evacuated.
    pub(super) fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuations.contains(&endpoint.datacentre)
    }

    /// Handles the complete list of evacuations; names that are no data centre's are ignored.
    pub(super) fn handle_evacuations(&mut self, now: Instant, listed: Vec<Name>) {
        let is_known = |it: &Name| self.settings.regions.contains_key(it);
        let (known, unknown): (Vec<Name>, Vec<Name>) = listed.into_iter().partition(is_known);
        for name in unknown {
            let line = Record::new(record::ENTRY_UNREADABLE)
                .with("entry", &*name)
                .with("kind", "evacuations")
                .with("problem", "no data centre of the settings' zones");
            self.log(line);
        }
        let change = self.evacuations.replace(known);
        let begun = change.begun.iter().map(|it| (it, "begun"));
        let ended = change.ended.iter().map(|it| (it, "ended"));
        for (datacentre, state) in begun.chain(ended) {
            let line = Record::new(record::EVACUATION).with("datacentre", &**datacentre);
            self.log(line.with("state", state));
        }
        self.announce();
        self.update_directory();
        self.refuse_unplaceable(now);
    }

    /// Refuses the waiting requests for whose version or regions no endpoint is left.
    fn refuse_unplaceable(&mut self, now: Instant) {
        let waiting: Vec<request::Id> = self.queue.iter().map(|it| it.request).collect();
        for id in waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            if let Some(reason) = self.lacks_endpoint(job) {
                self.refuse_version(now, id, reason);
            }
        }
    }

    /// Serves requests without the list of evacuations once it has been waited for long enough.
    pub(super) fn end_evacuations_wait(&mut self, now: Instant) {
        let Some(waited) = self.evacuations.end_wait(now) else { return };
        let waited_ms = waited.as_millis() as u64;
        self.log(Record::new(record::EVACUATIONS_UNKNOWN).with("waited_ms", waited_ms));
    }
}
