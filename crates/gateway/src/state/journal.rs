//! The journal of origins: what this instance sends to its writer, and what it looks up in the store.

use std::time::Duration;

use indexmap::IndexSet;
use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::{Origin as SentOrigin, Streams};

use crate::{
    Effect, Instant, Name,
    call::Outcome,
    directory::{Endpoint, Software},
    member::PEER_TIMEOUT,
    name_hash::NameHash,
    origin::{
        Lifetimes, Unverified,
        journal::{Answer, Finding, Journal},
    },
    record::{self, Record},
    request,
};

use super::{
    Settings, State,
    job::{Job, Search},
};

/// Time after a caller has asked for its stream at which the lookup ends without an answer.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time from the beginning of an outage of the store to the first call that shows it.
const MAX_UNNOTICED_OUTAGE: Duration = Duration::from_secs(1);
/// Time for which an entry may be on its way from an endpoint to this instance.
const MAX_ENTRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of origins in one message, which then has 25 KB.
const MAX_SENT_ORIGINS: usize = 1_000;

/// Lookups in the store since the start.
#[value(id)]
#[derive(Default)]
pub struct Lookups {
    /// All that have ended.
    pub ended: u64,
    /// Those that found the version of the stream.
    pub found: u64,
}

/// The journal of origins and this instance's part in it.
#[value]
pub(super) struct Journaling {
    pub(super) journal: Journal,
    pub(super) unverified: Unverified,
    pub(super) lifetimes: Lifetimes,
    /// Since when the store does not answer this instance.
    store_lost: Option<Instant>,
    /// When the last outage of the store began.
    outage_began: Option<Instant>,
    /// When it last began to again.
    store_regained: Option<Instant>,
    /// The instance of the data centre that writes the journal; `None` before one is known.
    pub(super) writer: Option<Name>,
    /// Services whose origins are journaled.
    active: IndexSet<Name>,
    lookups: Lookups,
}

impl Journaling {
    pub(super) fn new(settings: &Settings) -> Journaling {
        Journaling {
            journal: Journal::new(&settings.datacentre, settings.first_start),
            unverified: Unverified::default(),
            lifetimes: Lifetimes::default(),
            store_lost: None,
            outage_began: None,
            store_regained: None,
            writer: None,
            active: IndexSet::new(),
            lookups: Lookups::default(),
        }
    }
}

impl State {
    /// Records the listed versions of the services with resumable streams.
    pub(super) fn observe_versions(&mut self, now: Instant) {
        self.fleet.journaling.unverified.record_list(&self.listed);
        self.fleet.journaling.lifetimes.retain_listed(&self.listed);
        self.correct_origins(now);
        let Some(catalog) = self.catalog.clone() else { return };
        for service in catalog.resumable_services() {
            let versions = self.listed.versions(service);
            self.fleet.journaling.journal.observe(now, service, versions);
        }
        self.update_active(now);
    }

    /// Records that the store has begun to answer this instance, or no longer does.
    pub(super) fn handle_store_contact(&mut self, now: Instant, has_contact: bool) {
        let journaling = &mut self.fleet.journaling;
        match has_contact {
            true => {
                journaling.store_lost = None;
                journaling.store_regained = Some(now);
                journaling.journal.retry(now);
            }
            false => {
                journaling.store_lost = journaling.store_lost.or(Some(now));
                journaling.outage_began = journaling.store_lost;
            }
        }
    }

    /// Returns the time within which an endpoint that has started has written its entry, and this instance has read it,
    /// while the store answers.
    pub(super) fn entry_limit(&self) -> Duration {
        self.settings.entry_interval * 2 + MAX_ENTRY_DELAY
    }

    /// Returns for how long an endpoint must have lived so that it has an entry that this instance has read.
    pub(super) fn proving_age(&self, now: Instant) -> Duration {
        let Journaling { outage_began, .. } = self.fleet.journaling;
        let outage = outage_began.filter(|_| self.are_entries_doubtful(now));
        let unread = outage.map(|it| now.since(it) + MAX_UNNOTICED_OUTAGE);
        unread.unwrap_or_default() + self.entry_limit()
    }

    /// Returns whether the entries of endpoints may be out of date, as the store does not answer, or does so again
    /// for so short a time that endpoints may not have written theirs yet. An instance that relies on peers calls the
    /// store itself as soon as it answers none of them.
    pub(super) fn are_entries_doubtful(&self, now: Instant) -> bool {
        let Journaling { store_lost, store_regained, .. } = self.fleet.journaling;
        let is_recent = store_regained.is_some_and(|it| now.since(it) < self.entry_limit());
        store_lost.is_some() || is_recent
    }

    /// Chooses the writer; a new one is sent the origins of all running streams.
    pub(super) fn update_writer(&mut self, now: Instant) {
        let writer = self.choose_writer(now);
        let is_own = writer == self.settings.name;
        self.fleet.journaling.journal.set_writer(now, is_own);
        self.update_active(now);
        if self.fleet.journaling.writer.replace(writer.clone()) != Some(writer) {
            let active = self.fleet.journaling.active.clone();
            self.journal_running(now, &active);
        }
    }

    /// Returns the writer of the data centre: the first relay, or while the store does not answer it the instance with
    /// the lowest name hash that it answers.
    fn choose_writer(&self, now: Instant) -> Name {
        let Settings { name: own, datacentre, .. } = &self.settings;
        let members = &self.fleet.members;
        let first = self.fleet.relays.choice.relays().first().unwrap_or(own);
        let has_store_contact = |name: &Name| match members.get(name) {
            // Single answers may be lost.
            _ if name == own => {
                let lost = self.fleet.journaling.store_lost;
                lost.is_none_or(|it| now.since(it) < PEER_TIMEOUT)
            }
            Some(peer) => peer.has_store_contact(),
            // One that has not been heard is taken for a writer until it is passed over as a relay.
            None => true,
        };
        let local = members.peers_in(datacentre).map(|(name, _)| name);
        let local = local.filter(|it| members.is_reachable(now, it)).chain([own]);
        let next = || local.filter(|it| has_store_contact(it)).min_by_key(|it| NameHash::of(it));
        match has_store_contact(first) {
            true => first.clone(),
            false => next().unwrap_or(first).clone(),
        }
    }

    /// Records which services are journaled; when that begins, the origins of their running streams are sent.
    fn update_active(&mut self, now: Instant) {
        let Some(catalog) = &self.catalog else { return };
        let journal = &self.fleet.journaling.journal;
        let services = catalog.resumable_services();
        let active: IndexSet<Name> =
            services.iter().filter(|it| journal.is_active(now, it)).cloned().collect();
        let old = std::mem::replace(&mut self.fleet.journaling.active, active.clone());
        for service in old.symmetric_difference(&active) {
            let line = Record::new(record::JOURNALING)
                .with("service", &**service)
                .with("active", active.contains(service))
                .with("versions", self.listed.versions(service).len());
            self.log(line);
        }
        let begun: IndexSet<Name> = active.difference(&old).cloned().collect();
        self.journal_running(now, &begun);
    }

    fn journal_running(&mut self, now: Instant, services: &IndexSet<Name>) {
        let running = self.jobs.values().filter(|it| services.contains(&it.service.name));
        let origins: Vec<_> = running.filter_map(Job::origin).collect();
        self.journal(now, &origins);
    }

    /// Journals the origin of a stream whose first event is relayed; before, it has no version to keep.
    pub(super) fn journal_begun(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        let is_active = self.fleet.journaling.journal.is_active(now, &job.service.name);
        if let Some(origin) = job.origin().filter(|_| is_active) {
            self.journal(now, &[origin]);
        }
    }

    /// Records origins if this instance is the writer, and sends them to the writer otherwise.
    fn journal(&mut self, now: Instant, origins: &[(NameHash, Software)]) {
        match self.fleet.journaling.writer.clone() {
            Some(writer) if writer != self.settings.name => {
                for part in origins.chunks(MAX_SENT_ORIGINS) {
                    let journaled = part.iter().map(sent).collect();
                    let streams = Streams { journaled, ..Streams::default() };
                    self.send_streams(vec![writer.clone()], streams);
                }
            }
            _ => {
                for (stream, software) in origins {
                    self.fleet.journaling.journal.record(now, *stream, *software);
                }
            }
        }
    }

    /// Makes the calls to the store that are due.
    pub(super) fn run_journal(&mut self, now: Instant) {
        for command in self.fleet.journaling.journal.take_due(now) {
            self.emit(Effect::Journal(command));
        }
    }

    /// Returns when the next call to the store is due.
    pub(super) fn journal_due(&self) -> Option<Instant> {
        self.fleet.journaling.journal.next_due()
    }

    /// Handles an answer of the store, and looks up the streams that wait for a list.
    pub(super) fn handle_journal(&mut self, now: Instant, answer: Answer) {
        let unwritten = match &answer {
            Answer::Conflict(key) => Some((key, "conflict")),
            Answer::NotWritten(key) => Some((key, "store lost")),
            _ => None,
        };
        if let Some((key, cause)) = unwritten {
            let line = Record::new(record::JOURNAL_NOT_WRITTEN).with("object", key.to_string());
            self.log(line.with("cause", cause));
        }
        let is_list = matches!(answer, Answer::Listed(_) | Answer::NotListed);
        self.fleet.journaling.journal.handle(now, answer);
        if is_list {
            self.update_active(now);
            let is_in_store = |it: &Job| it.search.as_ref().is_some_and(|it| it.is_in_store);
            let waiting = self.jobs.values().filter(|it| is_in_store(it)).map(|it| it.id);
            for id in waiting.collect::<Vec<_>>() {
                self.look_up(now, id);
            }
        }
    }

    /// Looks a stream up in the store that peers do not know.
    pub(super) fn begin_lookup(&mut self, now: Instant, id: request::Id, search: Search) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let until = search.began_at + LOOKUP_TIMEOUT;
        job.search = Some(Search { until, is_in_store: true, ..search });
        self.look_up(now, id);
    }

    fn look_up(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // What a peer has told holds; the search ends with it.
        if job.search.as_ref().is_some_and(|it| it.found.is_some()) {
            return;
        }
        let listed = self.listed.versions(&job.service.name);
        let journal = &mut self.fleet.journaling.journal;
        let found = journal.find(now, job.stream, &job.service.name, &listed);
        let Some(search) = job.search.take_if(|_| found.is_some()) else { return };
        self.end_lookup(now, id, search.began_at, found);
    }

    /// Resumes a stream at the version that was found, or refuses it; `finding` is `None` if the
    /// store has not answered.
    pub(super) fn end_lookup(
        &mut self,
        now: Instant,
        id: request::Id,
        began_at: Instant,
        finding: Option<Finding>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.software = finding.and_then(Finding::software);
        let is_found = job.software.is_some();
        let conclusion = match finding {
            Some(Finding::Recorded(_)) => "recorded",
            Some(Finding::Single(_)) => "single version",
            Some(Finding::Unknown) => "unknown",
            None => "no answer",
        };
        let line = job
            .log_record(record::ORIGIN_LOOKED_UP, now)
            .with("resumes", job.resumes.as_ref().map(|it| it.to_string()))
            .with("conclusion", conclusion)
            .with("took_ms", now.since(began_at).as_millis() as u64);
        self.log(line);
        let lookups = &mut self.fleet.journaling.lookups;
        lookups.ended += 1;
        lookups.found += u64::from(is_found);
        match is_found {
            true => self.proceed(now, id),
            false => self.refuse_version(now, id, "version of the stream not known"),
        }
    }

    /// Returns the numbers of lookups in the store since the start.
    pub fn lookups(&self) -> Lookups {
        self.fleet.journaling.lookups
    }

    /// Records whether an endpoint may have restarted, so that its entry does not tell its version.
    pub(super) fn record_connection(&mut self, endpoint: &Endpoint, outcome: &Outcome) {
        // A call may have begun before the present entry was read.
        let listed = self.listed.get(&endpoint.id).map_or(endpoint, |it| it);
        self.fleet.journaling.unverified.record(listed, outcome);
    }

    /// Returns the endpoints that a request must not be sent to.
    pub(super) fn barred(&self, job: &Job) -> Vec<Name> {
        let unverified = self.fleet.journaling.unverified.names();
        let unverified = unverified.filter(|_| job.software.is_some());
        job.excluded.iter().chain(unverified).cloned().collect()
    }
}

impl Job {
    /// Returns the stream and its version once an event of it has been relayed.
    fn origin(&self) -> Option<(NameHash, Software)> {
        self.stream.zip(self.software)
    }
}

fn sent((stream, software): &(NameHash, Software)) -> SentOrigin {
    SentOrigin { stream: stream.0, software: software.0.0, run: 0 }
}
