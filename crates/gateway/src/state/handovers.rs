//! Requests that this instance, as it reaches no endpoint, has handed over to peers.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_core::error::{Failure, Kind as ErrorKind, Ran};
use siskinstile_macros::value;

use crate::{
    Effect, Instant, Name, call,
    catalog::Retry,
    effect::HandOver,
    handover::{self, Outcome, Report},
    record, request,
};

use super::{
    State,
    job::{Job, Phase},
};

/// Maximum number of requests that are handed over at a time; each has a connection and its body.
const MAX_OPEN: usize = 512;
/// Maximum number of peers that a request is handed over to.
const MAX_PEERS: usize = 3;
/// Time that a peer has, beyond the deadline of a request, to tell its own answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Retry-after time if no peer takes a request.
const NO_PEER_RETRY: Duration = Duration::from_millis(500);

/// A request that has been handed over.
#[value]
struct Handover {
    job: Job,
    id: call::Id,
    peer: Name,
    /// Peers that have not taken it.
    tried: Vec<Name>,
    /// Status of the response that is being relayed.
    status: Option<u16>,
}

/// The requests that have been handed over and not answered completely.
#[value(default)]
pub(super) struct Handovers {
    open: IndexMap<request::Id, Handover>,
}

impl Handovers {
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns when the next one without a response ends.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let unanswered = self.open.values().filter(|it| it.status.is_none());
        unanswered.map(|it| it.job.deadline + ANSWER_MARGIN).min()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = request::Id> {
        self.open.keys().copied()
    }

    /// Returns the number of open handovers, by peer.
    fn counts(&self) -> IndexMap<Name, usize> {
        let mut counts = IndexMap::new();
        for it in self.open.values() {
            *counts.entry(it.peer.clone()).or_default() += 1;
        }
        counts
    }
}

impl State {
    /// Returns whether a request that arrives now is handed over.
    pub(super) fn hands_over(&self, handed_over: bool) -> bool {
        self.reach.cut_off_since().is_some() && !handed_over
    }

    /// Hands a request over to a peer, or refuses it if none can take it.
    pub(super) fn hand_over(&mut self, now: Instant, job: Job, tried: Vec<Name>) {
        let has_room = self.handovers.len() < MAX_OPEN;
        let peer = match has_room && tried.len() < MAX_PEERS && job.deadline > now {
            true => self.taker(now, &job, &tried),
            false => None,
        };
        let Some(peer) = peer else {
            let id = job.id;
            self.jobs.insert(id, job);
            let failure = Failure::not_run(ErrorKind::NoEndpoint).with_retry_after(NO_PEER_RETRY);
            return self.fail(now, id, failure, "no endpoint and no peer reached");
        };
        let id = call::Id(self.next_call);
        self.next_call += 1;
        let line = job.log_record(record::HANDED_OVER, now).with("peer", &*peer);
        self.log(line);
        self.emit(Effect::HandOver(HandOver {
            id,
            request: job.id,
            peer: peer.clone(),
            time_left: job.deadline.since(now),
            version: self.catalog.as_ref().map_or(0, |it| it.version),
        }));
        let handover = Handover { id, peer, tried, status: None, job };
        self.handovers.open.insert(handover.job.id, handover);
    }

    /// Returns the peer that a request is handed over to: one in another data centre than those that have
    /// not taken it, if there is any, as their data centre may be cut off.
    fn taker(&self, now: Instant, job: &Job, tried: &[Name]) -> Option<Name> {
        let regions = &self.settings.regions;
        let own = &self.settings.datacentre;
        let has_refused = |datacentre: &Name| {
            let tried = tried.iter().filter_map(|it| self.fleet.members.get(it));
            tried.into_iter().any(|it| it.datacentre == *datacentre)
        };
        let distance = |datacentre: &Name| match datacentre {
            it if has_refused(it) => 3,
            it if it == own => 0,
            it if regions.get(it) == regions.get(own) => 1,
            _ => 2,
        };
        let peers = self.fleet.members.connected(now);
        let peers = peers.filter(|(name, _)| !tried.contains(name));
        let peers = peers.filter(|(_, datacentre)| job.residency.allows(datacentre));
        let peers = peers.map(|(name, datacentre)| (name, distance(datacentre)));
        let seed = self.settings.incarnation ^ job.id.0;
        handover::choose(peers, &self.handovers.counts(), seed).cloned()
    }

    /// Hands over the requests that wait for the reach to be known, and the open ones that have not run
    /// or may run again.
    pub(super) fn hand_over_open(&mut self, now: Instant, waiting: Vec<request::Id>) {
        let open: Vec<request::Id> = self.jobs.keys().copied().collect();
        for id in open {
            match self.may_move(now, id) {
                true => {}
                false if waiting.contains(&id) => {
                    self.proceed(now, id);
                    continue;
                }
                false => continue,
            }
            let Some(mut job) = self.jobs.swap_remove(&id) else { continue };
            self.clean_up(now, &mut job);
            self.refund(now, &job);
            job.charged = 0;
            match job.handed_over {
                true => self.refuse_handover(now, job),
                false => self.hand_over(now, job, Vec::new()),
            }
        }
    }

    /// Returns whether an open request may be handed over; takes a retry if it has been sent.
    fn may_move(&mut self, now: Instant, id: request::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let is_sent = job.may_have_run || self.has_open_run(job);
        // A stream that was sent has told its origin, which a run at a peer would contradict.
        let is_rerunnable = job.route.retry == Retry::Idempotent;
        let may_move = match job.phase {
            Phase::Relaying => false,
            _ if job.fallback.is_some() => false,
            // The endpoints that it was sent to are not reached any more, so that they do not count
            // as attempts.
            _ if is_sent => is_rerunnable,
            _ => true,
        };
        may_move && (!is_sent || self.take_retry(now, id))
    }

    /// Refuses a request that a peer has handed over, as this instance cannot serve it either.
    pub(super) fn refuse_handover(&mut self, now: Instant, job: Job) {
        let id = job.id;
        self.jobs.insert(id, job);
        let failure = Failure::not_run(ErrorKind::NotReady).with_retry_after(NO_PEER_RETRY);
        self.fail(now, id, failure, "no endpoint reached for a peer");
    }

    /// Handles the progress or the end of a handover.
    pub(super) fn handle_handover(&mut self, now: Instant, report: Report) {
        let found = self.handovers.open.values_mut().find(|it| it.id == report.id);
        let Some(handover) = found else { return };
        let id = handover.job.id;
        if let Outcome::Answered { status } = report.outcome {
            handover.status = Some(status);
            return;
        }
        let Some(handover) = self.handovers.open.swap_remove(&id) else { return };
        let Handover { mut job, peer, mut tried, .. } = handover;
        let cause = match report.outcome {
            Outcome::NotTaken { cause } => cause,
            _ => "connection broke",
        };
        let line = job.log_record(record::NOT_TAKEN, now).with("peer", &*peer).with("cause", cause);
        self.log(line);
        match report.outcome {
            Outcome::NotTaken { .. } if self.hands_over(job.handed_over) => {
                tried.push(peer);
                self.hand_over(now, job, tried);
            }
            Outcome::NotTaken { .. } => self.start(now, job),
            _ => {
                job.may_have_run = true;
                self.jobs.insert(id, job);
                let failure = Failure::not_run(ErrorKind::EndpointFailed).with_ran(Ran::Unknown);
                self.fail(now, id, failure, "the handover broke off");
            }
        }
    }

    /// Ends a handover whose caller has the whole response, or has left.
    pub(super) fn end_handover(&mut self, now: Instant, id: request::Id) {
        let Some(handover) = self.handovers.open.swap_remove(&id) else { return };
        let line = match handover.status {
            Some(status) => handover.job.log_record(record::ANSWERED, now).with("status", status),
            None => {
                self.emit(Effect::Cancel(handover.id));
                handover.job.log_record(record::CALLER_DISCONNECTED, now)
            }
        };
        self.log(line.with("peer", &*handover.peer));
    }

    /// Ends the handovers without a response at the deadline of their request.
    pub(super) fn fail_late_handovers(&mut self, now: Instant) {
        let is_late =
            |it: &&Handover| it.status.is_none() && it.job.deadline + ANSWER_MARGIN <= now;
        let late = self.handovers.open.values().filter(is_late).map(|it| it.job.id);
        for id in late.collect::<Vec<_>>() {
            self.abort_handover(now, id, "time is over");
        }
    }

    /// Ends a handover that has no response.
    pub(super) fn abort_handover(&mut self, now: Instant, id: request::Id, reason: &'static str) {
        let Some(handover) = self.handovers.open.swap_remove(&id) else { return };
        self.emit(Effect::Cancel(handover.id));
        let mut job = handover.job;
        job.may_have_run = true;
        self.jobs.insert(id, job);
        self.fail(now, id, Failure::not_run(ErrorKind::TooLate), reason);
    }
}
