//! Endpoints that are cold: what entries, responses and peers tell, and the calls that count.

use std::{sync::Arc, time::Duration};

use siskinstile_wire::message::heartbeat::{Cold as SentCold, Heartbeat};

use crate::{
    Directory, Instant, Name, call,
    directory::Endpoint,
    name_hash::NameHash,
    record::{self, Record},
    warm_up::Report,
};

use super::{State, job::Kind};

impl State {
    /// Records the cold endpoints of a list.
    pub(super) fn record_cold_entries(&mut self, now: Instant, directory: &Directory) {
        for id in self.fleet.warm_up.record_list(now, directory) {
            self.log_cold(now, &id, directory, "entry");
        }
    }

    /// Records for how long an endpoint has said in a response that it is cold.
    pub(super) fn record_cold_statement(
        &mut self,
        now: Instant,
        endpoint: &Arc<Endpoint>,
        remaining: Option<Duration>,
    ) {
        let Some(remaining) = remaining else { return };
        if self.fleet.warm_up.record_statement(now, endpoint, remaining) {
            let listed = self.listed.clone();
            self.log_cold(now, &endpoint.id, &listed, "endpoint");
            self.announce();
        }
    }

    /// Records what a peer tells of cold endpoints.
    pub(super) fn handle_cold(&mut self, now: Instant, heartbeat: &Heartbeat) {
        for report in heartbeat.cold.iter().map(received) {
            if let Some(id) = self.fleet.warm_up.record_report(now, report) {
                let listed = self.listed.clone();
                self.log_cold(now, &id, &listed, &heartbeat.name);
            }
        }
    }

    /// Returns the statements of cold endpoints as they are sent to peers.
    pub(super) fn sent_cold(&self, now: Instant) -> Vec<SentCold> {
        self.fleet.warm_up.reports(now).iter().map(sent).collect()
    }

    /// Returns the time for which an endpoint is known to be still cold; `None` if it is not.
    pub fn cold_remaining(&self, now: Instant, endpoint: &str) -> Option<Duration> {
        self.fleet.warm_up.remaining(now, self.listed.get(endpoint)?)
    }

    /// Counts a call to an endpoint that may be cold.
    pub(super) fn count_cold_call(
        &mut self,
        now: Instant,
        endpoint: &Endpoint,
        kind: Kind,
        request: call::Owner,
    ) {
        match (kind, request) {
            (Kind::Hold, Some(id)) => self.fleet.warm_up.record_reservation(now, endpoint, id),
            // The prompt may be computed at the engine that has the reservation.
            (Kind::Run, id) => self.fleet.warm_up.record_call(now, endpoint, id),
            _ => self.fleet.warm_up.record_call(now, endpoint, None),
        }
    }

    fn log_cold(&mut self, now: Instant, id: &Name, directory: &Directory, source: &str) {
        let endpoint = directory.get(id);
        let remaining = endpoint.and_then(|it| self.fleet.warm_up.remaining(now, it));
        let line = Record::new(record::ENDPOINT_COLD)
            .with("endpoint", &**id)
            .with("remaining_ms", remaining.map(|it| it.as_millis() as u64))
            .with("source", source);
        self.log(line);
    }
}

fn received(sent: &SentCold) -> Report {
    Report {
        endpoint: NameHash(sent.endpoint),
        started_at_ms: sent.started_at_ms,
        remaining: Duration::from_millis(sent.remaining_ms),
        number: sent.number,
    }
}

fn sent(report: &Report) -> SentCold {
    SentCold {
        endpoint: report.endpoint.0,
        started_at_ms: report.started_at_ms,
        remaining_ms: report.remaining.as_millis() as u64,
        number: report.number,
    }
}
