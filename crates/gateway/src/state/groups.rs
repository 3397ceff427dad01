//! Quarantine of groups of requests: those of one team on one route of a plain service.

use std::time::Duration;

use siskinstile_core::{
    error::{Failure, Kind},
    name_hash::NameHash,
};
use siskinstile_wire::message::heartbeat::{Heartbeat, SuspectGroup};

use crate::{
    Instant,
    catalog::{Route, Service, Team},
    quarantine::{Crash, GroupReport},
    record::{self, Record},
    request,
};

use super::{State, job::Job};

/// Why a request of a quarantined group is refused, as the log shows it.
const REASON: &str = "group quarantined";

impl State {
    /// Records that a request of a group went well.
    pub(super) fn record_group_success(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(group) = job.group else { return };
        let request = NameHash::of(&job.request_id);
        if self.fleet.groups.record_success(now, group, request) {
            self.log(Record::new(record::GROUP_FREED).with("group_hash", group.to_string()));
            self.announce();
        }
    }

    /// Records that a request of a group crashed an endpoint.
    pub(super) fn record_group_crash(
        &mut self,
        now: Instant,
        group: Option<NameHash>,
        request: NameHash,
        crash: Crash,
    ) {
        if let Some(group) = group {
            self.fleet.groups.record_crash(now, group, request, crash);
        }
    }

    /// Refuses a request if its group is quarantined.
    pub(super) fn check_group(
        &self,
        now: Instant,
        group: Option<NameHash>,
    ) -> Result<(), (Failure, &'static str)> {
        match group.and_then(|it| self.fleet.groups.remaining(now, it)) {
            Some(remaining) => Err(refusal(remaining)),
            None => Ok(()),
        }
    }

    /// Handles what a peer suspects.
    pub(super) fn handle_suspect_groups(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let reports = heartbeat.suspect_groups.iter();
        let reports = reports.filter_map(|it| GroupReport::received(now, it));
        for group in self.fleet.groups.record_reports(now, reports) {
            self.log_group(group, Some(&heartbeat.name));
        }
    }

    /// Returns the suspected groups as they are sent to peers.
    pub(super) fn sent_suspect_groups(&self, now: Instant) -> Vec<SuspectGroup> {
        self.fleet.groups.reports(now).iter().map(|it| it.to_send(now)).collect()
    }

    /// Quarantines the groups whose suspicion has been confirmed, and refuses their requests that have not
    /// been sent yet.
    pub(super) fn update_groups(&mut self, now: Instant) {
        for group in self.fleet.groups.update(now) {
            self.log_group(group, None);
            self.announce();
        }
        if self.fleet.groups.is_empty() {
            return;
        }
        let unsent = self.jobs.values().filter(|it| it.is_unsent());
        let remaining = |it: &Job| self.fleet.groups.remaining(now, it.group?);
        let refused: Vec<_> = unsent.filter_map(|it| Some((it.id, remaining(it)?))).collect();
        for (id, remaining) in refused {
            let (failure, reason) = refusal(remaining);
            self.fail(now, id, failure, reason);
        }
    }

    fn log_group(&mut self, group: NameHash, source: Option<&str>) {
        let line = Record::new(record::GROUP_QUARANTINED).with("group_hash", group.to_string());
        self.log(line.with("source", source));
    }
}

/// Returns the group of a request; `None` at a model service, where the parts of the prompt say more.
pub(super) fn group_of(route: &Route, service: &Service, team: Option<&Team>) -> Option<NameHash> {
    let team = team.map_or(&[][..], |it| it.name.as_bytes());
    let hash = || NameHash::of_all([route.name.as_bytes(), team]);
    service.engine.is_none().then(hash)
}

fn refusal(remaining: Duration) -> (Failure, &'static str) {
    (Failure::not_run(Kind::Quarantined).with_retry_after(remaining), REASON)
}
