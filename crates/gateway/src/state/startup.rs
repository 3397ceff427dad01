//! The start of an instance: what it waits for before it takes new connections, and the lines that tell it.

use std::time::Duration;

use siskinstile_macros::value;

use crate::{
    Instant,
    record::{self, Record},
};

use super::State;

/// Time between two lines that tell what is missing.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// What an instance needs before it takes new connections, as lines name it.
const NEEDS: [&str; 3] = ["configuration", "endpoints", "evacuations"];
/// The fields with the times of their arrival.
const FIELDS: [&str; NEEDS.len()] = ["configuration_ms", "endpoints_ms", "evacuations_ms"];

/// When what an instance needs has arrived for the first time.
#[value(default)]
pub(super) struct Startup {
    arrived: [Option<Instant>; NEEDS.len()],
    /// When a line last told what is missing.
    reported_at: Option<Instant>,
    is_over: bool,
}

impl State {
    /// Returns for each need whether it is there.
    fn needs_met(&self) -> [bool; NEEDS.len()] {
        let has_endpoints = !self.directory.is_empty();
        [self.catalog.is_some(), has_endpoints, !self.evacuations.is_missing()]
    }

    /// Returns whether nothing is missing that the instance needs to serve.
    pub(super) fn is_informed(&self) -> bool {
        self.needs_met().iter().all(|it| *it)
    }

    /// Records what has arrived; logs the end of the start, or at intervals what it waits for.
    pub(super) fn observe_start(&mut self, now: Instant) {
        let Some(started) = self.times.started.filter(|_| !self.startup.is_over) else { return };
        let met = self.needs_met();
        for (arrived, is_met) in self.startup.arrived.iter_mut().zip(met) {
            *arrived = arrived.or(is_met.then_some(now));
        }
        let waited = now.since(started);
        if self.is_informed() {
            self.startup.is_over = true;
            let line = self.with_peers(now, Record::new(record::READY));
            let arrived = FIELDS.into_iter().zip(self.startup.arrived);
            self.log(arrived.fold(line, |line, (field, at)| {
                line.with(field, at.map(|it| it.since(started).as_millis() as u64))
            }));
        } else if self.report_due().is_some_and(|it| it <= now) {
            self.startup.reported_at = Some(now);
            let missing = NEEDS.into_iter().zip(met).filter(|(_, is_met)| !is_met);
            let missing: Vec<&str> = missing.map(|(need, _)| need).collect();
            let line = Record::new(record::NOT_READY).with("missing", missing);
            self.log(self.with_peers(now, line.with("waited_ms", waited.as_millis() as u64)));
        }
    }

    /// Returns when a line is to tell what is missing; `None` once nothing is.
    pub(super) fn report_due(&self) -> Option<Instant> {
        let last = self.startup.reported_at.or(self.times.started);
        last.filter(|_| !self.startup.is_over).map(|it| it + REPORT_INTERVAL)
    }

    /// Adds the number of peers that may hand on what is missing.
    fn with_peers(&self, now: Instant, line: Record) -> Record {
        line.with("peers", self.fleet.members.reachable(now).count())
    }
}
