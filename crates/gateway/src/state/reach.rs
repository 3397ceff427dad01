//! Probes that show whether this instance reaches endpoints, and requests that wait for them.

use std::{collections::HashSet, sync::Arc};

use siskinstile_macros::value;

use crate::{
    Effect, Instant, Name,
    call::{self, Outcome},
    directory::{Endpoint, Readiness},
    name_hash::NameHash,
    reach::{Cause, Change},
    record::{self, Record},
    request,
};

use super::{State, job::Kind};

/// Requests that wait for a round of probes, and the endpoints probed in it.
#[value(default)]
pub(super) struct Doubt {
    waiting: Vec<request::Id>,
    probed: Vec<Name>,
}

impl State {
    /// Records what the outcome of a call shows of the reach.
    pub(super) fn record_reach(&mut self, now: Instant, report: call::Id, outcome: &Outcome) {
        let Some(open) = self.calls.get(&report) else { return };
        let job = open.request.and_then(|it| self.jobs.get(&it));
        let has_answered = job.is_some_and(|it| it.relaying == Some(report));
        match outcome {
            // Whatever accepted the connection has closed it without an answer.
            Outcome::Failed { sent: true, unresponsive: false, .. } if !has_answered => {
                self.reach.record_unanswered(now, &open.endpoint.id);
            }
            Outcome::Failed { sent: false, unresponsive: true, .. } => {
                self.reach.record_unanswered(now, &open.endpoint.id);
            }
            Outcome::Failed { .. } => {}
            _ => self.reach.record_sign(now),
        }
    }

    /// Removes from an outcome that the endpoint has ended, while this may be the fault of own links.
    pub(super) fn without_own_faults(
        &mut self,
        now: Instant,
        endpoint: &Name,
        outcome: Outcome,
    ) -> Outcome {
        let Outcome::Failed { sent, unresponsive, ended, closed, last_event, cause } = outcome
        else {
            return outcome;
        };
        if ended {
            self.reach.record_unanswered(now, endpoint);
        }
        let is_own_fault = self.reach.is_in_doubt() || self.reach.cut_off_since().is_some();
        let (ended, closed) = (ended && !is_own_fault, closed && !is_own_fault);
        Outcome::Failed { sent, unresponsive, ended, closed, last_event, cause }
    }

    /// Returns whether a request should wait for a round of probes, and starts one if none is under way.
    pub(super) fn must_wait_for_probes(&mut self, now: Instant) -> bool {
        let has_peers = self.fleet.members.connected(now).next().is_some();
        let is_stale = self.reach.is_stale(now) && !self.directory.is_empty();
        if !has_peers || self.reach.cut_off_since().is_some() {
            return false;
        }
        if is_stale && !self.reach.is_in_doubt() {
            let count = self.reach.start_round(now, Cause::Silent);
            self.doubt.probed.clear();
            self.start_probes(now, count);
        }
        self.reach.is_in_doubt()
    }

    /// Lets a request wait for the end of the round of probes.
    pub(super) fn wait_for_probes(&mut self, id: request::Id) {
        self.doubt.waiting.push(id);
    }

    /// Returns the start of the oldest open call to an endpoint.
    pub(super) fn oldest_call(&self) -> Option<Instant> {
        let answered = |it: &Kind| matches!(it, Kind::Order | Kind::Other);
        self.calls.values().filter(|it| !answered(&it.kind)).map(|it| it.started).min()
    }

    /// Starts the probes that are due. An instance without a peer that reaches endpoints goes on trying them itself.
    pub(super) fn probe_due(&mut self, now: Instant) {
        let has_peers = self.fleet.members.connected(now).next().is_some();
        self.reach.record_peers(has_peers);
        let oldest_call = self.oldest_call();
        let count = self.reach.due_probes(now, oldest_call);
        if count > 0 {
            self.doubt.probed.clear();
            self.start_probes(now, count);
        }
    }

    /// Records the end of a probe.
    pub(super) fn handle_probe(&mut self, now: Instant, round: u64, answered: bool) {
        let (further, change) = self.reach.record_probe(now, round, answered);
        if further > 0 {
            self.start_probes(now, further);
        }
        if let Some(change) = change {
            self.change_reach(now, change);
        }
    }

    fn start_probes(&mut self, now: Instant, count: usize) {
        let chosen = self.probe_targets(now, count);
        let round = self.reach.round();
        let change = self.reach.set_started(now, chosen.len());
        for endpoint in chosen {
            self.doubt.probed.push(endpoint.id.clone());
            self.emit(Effect::Probe { endpoint, round });
        }
        if let Some(change) = change {
            self.change_reach(now, change);
        }
    }

    /// Returns endpoints that the round has not probed: of different services as far as possible, those
    /// of the own data centre first.
    fn probe_targets(&self, now: Instant, count: usize) -> Vec<Arc<Endpoint>> {
        let round = self.reach.round().to_le_bytes();
        let own = self.settings.incarnation.to_le_bytes();
        let order = |it: &Arc<Endpoint>| {
            let is_remote = it.datacentre != self.settings.datacentre;
            (is_remote, NameHash::of_all([it.id.as_bytes(), &round[..], &own[..]]))
        };
        let may_be_asked = |it: &Endpoint| {
            let is_cold = self.fleet.warm_up.remaining(now, it).is_some();
            let wants_no_calls = self.fleet.health.backoff(now, &it.id).is_some();
            let is_limited = self.fleet.limits.is_limited(now, it);
            !is_cold && !wants_no_calls && !is_limited && !self.is_evacuated(it)
        };
        let is_usable = |it: &&Arc<Endpoint>| {
            let is_probed = self.doubt.probed.contains(&it.id);
            it.readiness != Readiness::Draining && !is_probed && may_be_asked(it)
        };
        let mut candidates: Vec<Arc<Endpoint>> =
            self.directory.iter().filter(is_usable).cloned().collect();
        candidates.sort_by_cached_key(order);
        let mut services = HashSet::new();
        let (firsts, rest): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|it| services.insert(it.service.clone()));
        firsts.into_iter().chain(rest).take(count).collect()
    }

    fn change_reach(&mut self, now: Instant, change: Change) {
        let waiting = std::mem::take(&mut self.doubt.waiting);
        match change {
            Change::Confirmed => {}
            Change::Returned => {
                self.fleet.health.clear_ejections();
                self.log(Record::new(record::CONNECTED));
                self.announce();
            }
            Change::CutOff(cause) => {
                let line = Record::new(record::CUT_OFF)
                    .with("cause", cause.as_str())
                    .with("endpoints", self.directory.len())
                    .with("peers", self.fleet.members.connected(now).count());
                self.log(line);
                self.announce();
                return self.hand_over_open(now, waiting);
            }
        }
        for id in waiting {
            self.proceed(now, id);
        }
    }
}
