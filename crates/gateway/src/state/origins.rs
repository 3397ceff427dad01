//! Streams that callers take up: where they began, and the search for it among peers.

use std::time::Duration;

use siskinstile_core::error::{Failure, Kind as ErrorKind};
use siskinstile_wire::message::heartbeat::{Heartbeat, Origin as SentOrigin, Streams};

use crate::{
    Effect, Instant, Name, call,
    catalog::Retry,
    directory::{Endpoint, Software},
    effect::{Recipient, Recipients},
    name_hash::NameHash,
    origin::{self, Origin},
    request,
};

use super::{
    State,
    job::{Job, Phase, Plan, Search},
};

/// Time after which a search ends with what peers have told.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after the first peer has told an origin in which others may tell that of a later run.
const CONFIRMATION_TIME: Duration = Duration::from_millis(30);
/// Retry-after time of streams that cannot go on now.
const VERSION_RETRY: Duration = Duration::from_secs(1);

impl State {
    /// Tells peers the version at which a stream is about to begin, or goes on, before its first event
    /// can reach the caller.
    pub(super) fn tell_origin(&mut self, now: Instant, id: request::Id, plan: &Plan) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !matches!(plan.step, call::Step::Run { .. }) {
            return;
        }
        // Once an event has been relayed the version stays.
        let has_begun_here = job.last_event.is_none() || job.sends > 1;
        if job.software.is_some() && has_begun_here {
            return;
        }
        self.tell_version(now, id, plan.endpoint.software());
    }

    /// Tells peers the version at which the last run of a stream begins.
    pub(super) fn tell_version(&mut self, now: Instant, id: request::Id, software: Software) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(stream) = job.stream else { return };
        let run = if job.resumes.is_some() { 0 } else { job.sends };
        let origin = Origin { software, run };
        self.fleet.origins.record(now, stream, origin);
        let members = self.fleet.members.reachable_places(now);
        let holders = origin::told(stream, &self.settings.datacentre, members);
        let streams = Streams { origins: vec![sent(stream, origin)], ..Streams::default() };
        self.send_streams(holders, streams);
    }

    pub(super) fn send_streams(&mut self, to: Vec<Name>, streams: Streams) {
        if to.is_empty() {
            return;
        }
        let heartbeat = Heartbeat {
            name: self.settings.name.to_string(),
            incarnation: self.settings.incarnation,
            streams: Some(streams),
            ..Heartbeat::default()
        };
        let recipients = Recipients::Members(to.into_iter().map(Recipient::new).collect());
        self.emit(Effect::Heartbeat { heartbeat: heartbeat.into(), recipients });
    }

    /// Handles what a peer tells or asks of streams.
    pub(super) fn handle_streams(&mut self, now: Instant, from: &Name, streams: &Streams) {
        for it in &streams.origins {
            let stream = NameHash(it.stream);
            let origin = Origin { software: Software(NameHash(it.software)), run: it.run };
            self.fleet.origins.record(now, stream, origin);
            self.search_answered(now, stream, Some(origin));
        }
        for it in &streams.journaled {
            let software = Software(NameHash(it.software));
            self.fleet.journaling.journal.record(now, NameHash(it.stream), software);
        }
        for stream in &streams.unknown {
            self.search_answered(now, NameHash(*stream), None);
        }
        if !streams.asked.is_empty() {
            let answer = self.origins_asked(now, &streams.asked);
            self.send_streams(vec![from.clone()], answer);
        }
    }

    fn origins_asked(&self, now: Instant, asked: &[u64]) -> Streams {
        let mut answer = Streams::default();
        for stream in asked {
            match self.fleet.origins.get(now, NameHash(*stream)) {
                Some(origin) => answer.origins.push(sent(NameHash(*stream), origin)),
                None => answer.unknown.push(*stream),
            }
        }
        answer
    }

    /// Finds out where the stream began that a caller takes up, and goes on with it there.
    pub(super) fn locate(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.route.retry != (Retry::Stream { resumable: true }) {
            return self.locate_unjournaled(now, id);
        }
        let stream = job.stream;
        if stream.is_none() && job.route.splits.len() > 1 {
            return self.refuse_version(now, id, "service of the stream not known");
        }
        if let Some(origin) = stream.and_then(|it| self.fleet.origins.get(now, it)) {
            job.software = Some(origin.software);
            return self.proceed(now, id);
        }
        let members = self.fleet.members.reachable_places(now);
        let asked = stream
            .map(|it| origin::asked(it, &self.settings.datacentre, members))
            .unwrap_or_default();
        job.phase = Phase::Locating;
        job.search = Some(Search {
            missing_answers: asked.len(),
            found: None,
            until: if asked.is_empty() { now } else { now + SEARCH_TIMEOUT },
            began_at: now,
            is_in_store: false,
        });
        let asks = Streams { asked: stream.iter().map(|it| it.0).collect(), ..Streams::default() };
        self.send_streams(asked, asks);
    }

    /// Resumes a stream of a route that is not resumable, if the endpoints of its service have one version
    /// only.
    fn locate_unjournaled(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let endpoints = self.directory.of_service(&job.service.name);
        let mut versions = endpoints.iter().map(|it| it.software());
        match versions.next() {
            Some(first) if versions.all(|it| it == first) => {
                job.software = Some(first);
                self.proceed(now, id);
            }
            _ => self.refuse_version(now, id, "version of the stream not known"),
        }
    }

    /// Records the answer of a peer that was asked for a stream; `None` if it does not know it.
    fn search_answered(&mut self, now: Instant, stream: NameHash, origin: Option<Origin>) {
        let searching = self.jobs.values_mut().filter(|it| it.stream == Some(stream));
        for search in searching.filter_map(|it| it.search.as_mut()) {
            search.missing_answers = search.missing_answers.saturating_sub(1);
            search.found = search.found.into_iter().chain(origin).max_by_key(|it| it.run);
            if search.found.is_some() {
                search.until = search.until.min(now + CONFIRMATION_TIME);
            }
            if search.missing_answers == 0 && !search.is_in_store {
                search.until = now;
            }
        }
    }

    /// Ends the searches that have all answers, or whose time is over.
    pub(super) fn end_searches(&mut self, now: Instant) {
        let is_over = |it: &Job| it.search_end().is_some_and(|until| until <= now);
        let over: Vec<request::Id> =
            self.jobs.values().filter(|it| is_over(it)).map(|it| it.id).collect();
        for id in over {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(search) = job.search.take() else { continue };
            job.software = search.found.map(|it| it.software);
            match search.found {
                Some(_) => self.proceed(now, id),
                None if search.is_in_store => self.end_lookup(now, id, search.began_at, None),
                None => self.begin_lookup(now, id, search),
            }
        }
    }

    /// Returns whether an endpoint that is ready can go on with a request, as far as its version goes.
    pub(super) fn has_version(&self, job: &Job) -> bool {
        let mut endpoints = self.directory.of_service(&job.service.name).iter();
        let barred = self.barred(job);
        let may_run = |it: &Endpoint| {
            it.is_ready() && !barred.contains(&it.id) && job.residency.allows(&it.datacentre)
        };
        job.software.is_none() || endpoints.any(|it| may_run(it) && job.may_go_on_at(it))
    }

    /// Refuses a stream that must not go on at any endpoint, or ends one that has begun.
    pub(super) fn refuse_version(&mut self, now: Instant, id: request::Id, reason: &'static str) {
        let failure = Failure::not_run(ErrorKind::NoEndpoint).with_retry_after(VERSION_RETRY);
        self.fail(now, id, failure, reason);
    }
}

impl Job {
    /// Returns when the search for the stream's origin ends, if there is one.
    pub(super) fn search_end(&self) -> Option<Instant> {
        self.search.as_ref().map(|it| it.until)
    }
}

fn sent(stream: NameHash, origin: Origin) -> SentOrigin {
    SentOrigin { stream: stream.0, software: origin.software.0.0, run: origin.run }
}
