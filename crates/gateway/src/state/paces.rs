//! Paces of the endpoints, and the admission of plain requests by what they leave room for.

use std::time::Duration;

use siskinstile_core::error::{Failure, Kind as ErrorKind};
use siskinstile_wire::message::heartbeat::{Heartbeat, Pace as SentPace};

use crate::{
    Instant,
    call::{Outcome, Report, ReportedLoad},
    directory::Endpoint,
    name_hash::NameHash,
    pace::{Source, Statement},
    plain::{self, Usual},
    request,
};

use super::{
    State,
    job::{Job, Kind, OpenCall},
};

/// Lowest status of an error.
const FIRST_ERROR: u16 = 400;

impl State {
    /// Records how long a plain call took, if it was answered without an error.
    pub(super) fn measure_answer(&mut self, now: Instant, open: &OpenCall, report: &Report) {
        let Outcome::Buffered { status } = report.outcome else { return };
        let job = open.request.and_then(|it| self.jobs.get(&it));
        let Some(job) = job.filter(|it| it.slot.is_none()) else { return };
        if open.kind != Kind::Run || status >= FIRST_ERROR {
            return;
        }
        let took = now.since(open.started);
        let key = (job.service.name.clone(), job.route.name.clone());
        let usual = self.fleet.usuals.entry(key).or_default();
        // A call of an endpoint with a queue may have waited in it.
        let may_have_waited = report.notice.load.is_some_and(|it| it.waiting > 0);
        let is_local = open.endpoint.datacentre == self.settings.datacentre;
        let way = if is_local { Duration::ZERO } else { plain::WAY };
        let known = usual.get();
        if let Some(known) = known.filter(|_| !may_have_waited) {
            self.fleet.paces.measure(now, &open.endpoint.id, took, known + way);
        }
        match may_have_waited || !is_local && known.is_some() {
            true => usual.record_bound(took),
            false => usual.record(took),
        }
    }

    /// Records what an endpoint has stated. The queue of an engine is known from its loads.
    pub(super) fn record_pace(&mut self, now: Instant, endpoint: &Endpoint, load: ReportedLoad) {
        let load = match endpoint.stage {
            Some(_) => ReportedLoad { running: 0, waiting: 0, ..load },
            None => load,
        };
        self.fleet.paces.record(now, &endpoint.id, load);
    }

    /// Records what a peer tells of the endpoints' paces.
    pub(super) fn handle_paces(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let is_local = *heartbeat.datacentre == *self.settings.datacentre;
        let source = match heartbeat.groups.is_empty() {
            _ if !is_local => Source::Remote,
            true => Source::Member,
            false => Source::Relay,
        };
        for sent in &heartbeat.paces {
            self.fleet.paces.record_report(now, received(now, sent), source);
        }
    }

    /// Returns the paces of some sources as they are sent to peers.
    pub(super) fn sent_paces(&self, now: Instant, sources: &[Source]) -> Vec<SentPace> {
        let statements = self.fleet.paces.statements(now, sources);
        statements.iter().map(|it| sent(now, it)).collect()
    }

    /// Returns an endpoint's pace for the log, if it states one.
    pub(super) fn stated_pace(&self, now: Instant, endpoint: &str) -> Option<f64> {
        let is_stated = self.fleet.paces.is_stated(endpoint);
        is_stated.then(|| (self.fleet.paces.pace(now, endpoint) * 100.0).round() / 100.0)
    }

    /// Counts a new plain request; returns the time until it may be admitted if no endpoint is expected
    /// to respond before its deadline.
    pub(super) fn plain_refusal(&mut self, now: Instant, id: request::Id) -> Option<Duration> {
        let job = self.jobs.get(&id)?;
        let rank = job.rank(now);
        let arrivals = self.fleet.arrivals.entry(job.service.name.clone()).or_default();
        arrivals.record(now, rank);
        let expected = self.with_plain_view(now, job, |view| view.expected(&job.excluded))?;
        let arrivals = self.fleet.arrivals.get(&job.service.name)?;
        arrivals.refuse(rank, expected, job.deadline.since(now))
    }

    /// Refuses a plain request that may be admitted after `wait`.
    pub(super) fn refuse_plain(&mut self, now: Instant, id: request::Id, wait: Duration) {
        let Some(job) = self.jobs.get(&id) else { return };
        let interval = self.plain_interval(job) * self.fleet.members.len() as u32;
        let service = job.service.name.clone();
        let schedule = self.fleet.retry_afters.entry(service).or_default();
        let retry_after = schedule.schedule(now, wait, interval);
        let failure = Failure::not_run(ErrorKind::TooLate).with_retry_after(retry_after);
        self.fail(now, id, failure, "no response before the deadline");
    }

    /// Returns the mean time between two responses of a plain service whose slots are all in use.
    fn plain_interval(&self, job: &Job) -> Duration {
        let endpoints = self.directory.of_service(&job.service.name).iter();
        let slots: u32 = endpoints.filter(|it| it.is_ready()).map(|it| it.slots).sum();
        self.usual(job).unwrap_or_default() / slots.max(1)
    }

    /// Returns the usual duration of a plain call for a request, by those of its route, or else of
    /// another route to the same service.
    pub(super) fn usual(&self, job: &Job) -> Option<Duration> {
        let usuals = &self.fleet.usuals;
        let own = usuals.get(&(job.service.name.clone(), job.route.name.clone()));
        let others = usuals.iter().filter(|((service, _), _)| *service == job.service.name);
        own.and_then(Usual::get).or_else(|| others.filter_map(|(_, it)| it.get()).min())
    }
}

fn received(now: Instant, sent: &SentPace) -> Statement {
    Statement {
        endpoint: NameHash(sent.endpoint),
        percent: sent.percent,
        running: sent.running,
        waiting: sent.waiting,
        stated_at: now - Duration::from_millis(sent.age_ms),
    }
}

fn sent(now: Instant, statement: &Statement) -> SentPace {
    SentPace {
        endpoint: statement.endpoint.0,
        percent: statement.percent,
        running: statement.running,
        waiting: statement.waiting,
        age_ms: now.since(statement.stated_at).as_millis() as u64,
    }
}
