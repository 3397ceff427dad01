//! Quarantine of requests that crash the endpoints that run them.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::Suspect;

use crate::{
    Instant,
    error::{Failure, Kind},
    log,
    name_hash::NameHash,
    object::Name,
    quarantine::{Crash, Report, Subject},
    request::{Id, Outcome, Phase, Request},
};

use super::{State, retries::failed_endpoint};

/// Minimum time between two heartbeats that tell of a new suspicion.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the end of an endpoint is remembered.
const END_EXPIRY: Duration = Duration::from_secs(60);

/// When endpoints, which start again under the same name, last ended, and what is to be told.
#[value(default)]
pub(super) struct Ends {
    ended_at: IndexMap<Name, Instant>,
    has_news: bool,
    told_at: Instant,
}

impl Ends {
    /// Returns when the start of an endpoint ended that ran something from `began_at` until now.
    fn record(&mut self, now: Instant, endpoint: Name, began_at: Instant) -> Instant {
        let ended_at = self.ended_at.entry(endpoint).or_insert(now);
        if began_at > *ended_at {
            *ended_at = now;
        }
        *ended_at
    }
}

impl State {
    /// Refuses a request that is quarantined.
    pub(super) fn check_quarantine(&self, now: Instant, subject: Subject) -> Result<(), Failure> {
        match self.quarantine.find(now, &[subject]) {
            Some((_, remaining)) => {
                Err(Failure::not_run(Kind::Quarantined).with_retry_after(remaining))
            }
            None => Ok(()),
        }
    }

    /// Records what the outcome of a step shows of its request.
    pub(super) fn record_run_end(&mut self, now: Instant, id: Id, outcome: &Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let subject = request.subject();
        match outcome {
            Outcome::Completed { .. } => {
                self.quarantine.record_success(now, &[subject]);
            }
            Outcome::Failed { ended: true, .. } if request.first_byte.is_none() => {
                let began_at = request.phase_since;
                let Some(endpoint) = failed_endpoint(request) else { return };
                let crash = self.crash(now, endpoint, began_at);
                self.quarantine.record_crash(now, &[subject], crash);
                self.ends.has_news = true;
            }
            _ => {}
        }
    }

    /// Returns the crash of an endpoint, whose start is named by its end as this instance saw it.
    fn crash(&mut self, now: Instant, endpoint: Name, began_at: Instant) -> Crash {
        let ended_at = self.ends.record(now, endpoint.clone(), began_at).0.to_le_bytes();
        let instance = self.settings.name.as_bytes();
        let engine = NameHash::of_all([endpoint.as_bytes(), instance, &ended_at[..]]);
        Crash { engine, began_at, at: now }
    }

    /// Returns the suspects as they are sent to peers.
    pub(super) fn sent_suspects(&self, now: Instant) -> Vec<Suspect> {
        self.quarantine.reports(now).iter().map(|it| it.to_send(now)).collect()
    }

    /// Records what a peer suspects.
    pub(super) fn record_suspects(&mut self, now: Instant, suspects: &[Suspect]) {
        if suspects.is_empty() {
            return;
        }
        let known = self.quarantine.reports(now);
        let reports = suspects.iter().map(|it| Report::received(now, it));
        for subject in self.quarantine.record_reports(now, reports) {
            self.log(log::REQUEST_QUARANTINED, format!("{}, told by a peer", subject.hash));
        }
        let is_new = |it: &Report| !known.iter().any(|known| known.tells_as_much(it));
        self.ends.has_news |= self.quarantine.reports(now).iter().any(is_new);
    }

    /// Quarantines the requests whose suspicion has been confirmed, refuses those of them that wait,
    /// and tells peers what is new.
    pub(super) fn quarantine_tick(&mut self, now: Instant) {
        for report in self.quarantine.update(now) {
            self.log(log::REQUEST_QUARANTINED, report.subject.hash.to_string());
            self.ends.has_news = true;
        }
        self.refuse_quarantined(now);
        self.ends.ended_at.retain(|_, it| now.since(*it) < END_EXPIRY);
        if self.ends.has_news && now.since(self.ends.told_at) >= MIN_NEWS_INTERVAL {
            self.ends.has_news = false;
            self.ends.told_at = now;
            self.send_local_heartbeats(now);
            self.send_remote_heartbeats(now);
        }
    }

    fn refuse_quarantined(&mut self, now: Instant) {
        if self.quarantine.is_empty() {
            return;
        }
        let waiting = self.requests.iter().filter(|(_, it)| it.phase == Phase::Queued);
        let refusal = |it: &Request| self.check_quarantine(now, it.subject()).err();
        let refused: Vec<(Id, Failure)> =
            waiting.filter_map(|(id, it)| Some((*id, refusal(it)?))).collect();
        for (id, failure) in refused {
            self.withdraw(id);
            self.fail_with_refund(now, id, failure);
        }
    }
}
