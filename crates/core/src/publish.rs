//! Publication of the operators' objects: watch, validate as a unit, write, switch the manifest.
//!
//! Only the holder of the publish lease publishes. It writes the chunks that changed, then an
//! index of all chunks, then the manifest with one conditional update. If the answer to that update
//! is lost, the publisher reads the manifest back to find out whether the update took effect. Each
//! call carries the number of the session or run that made it, so that answers from before a lost
//! lease or an aborted run are ignored.

pub mod lease;
pub mod mirror;
mod run;
pub mod status;

use std::time::Duration;

use siskinstile_macros::value;

use crate::{
    Instant,
    fault::Fault,
    log,
    object::{Kind, Name},
    store::{Answer, Call, PublishStep, Tag},
    sync::Output,
};

use lease::LeaseClient;
use mirror::Mirror;
use run::Run;
use status::Writer;

/// Time without further changes after which the objects are published.
const DEBOUNCE: Duration = Duration::from_millis(100);
/// Longest time from the first unpublished change to the start of its publication.
const MAX_DEBOUNCE: Duration = Duration::from_millis(500);
/// Time without an answer after which a run is aborted or a watch is reopened.
const STEP_TIMEOUT: Duration = Duration::from_secs(12);
/// Delay after a failure before the publisher tries again.
const BACKOFF: Duration = Duration::from_secs(1);
/// Generations for which unreferenced chunks are retained.
const RETAINED_GENERATIONS: u64 = 16;
/// Time for which unreferenced chunks are retained.
const RETENTION: Duration = Duration::from_secs(600);
/// Largest number of chunks removed in one tick.
const MAX_REMOVALS_PER_TICK: usize = 2;

/// The publisher of one instance; idle unless the instance holds the publish lease.
#[value]
pub struct Publisher {
    lease: LeaseClient,
    /// Number of the current session, in which the objects are listed and then watched.
    session: u64,
    /// Number of the current publication run.
    run_number: u64,
    /// Number of the current watch.
    watch_number: u64,
    /// Local copy of the objects; none while no session is open.
    mirror: Option<Mirror>,
    statuses: Writer,
    /// Times of the changes that have not been published; none without such changes.
    unpublished: Option<Span>,
    /// Whether the stored statuses have been listed; until then no status is written.
    statuses_read: bool,
    run: Option<Run>,
    /// Unreferenced chunks that are removed after their retention.
    retired: Vec<Retired>,
    /// Chunks that were removed and have to be left out of the next index.
    removed: Vec<Name>,
    /// When the current watch was opened; none if one has to be opened.
    watch_opened: Option<Instant>,
    /// Store revision up to which the mirror is current.
    revision: u64,
    /// Whether the mirror is a consistent snapshot of one store revision.
    consistent: bool,
    paused_until: Instant,
    fault: Option<Fault>,
}

/// Times of the first and the last of several changes.
#[value(id)]
struct Span {
    first: Instant,
    last: Instant,
}

/// A chunk that the newest index no longer references.
#[value]
struct Retired {
    name: Name,
    /// Generation that dropped it.
    generation: u64,
    /// When this instance first saw it listed as retired.
    seen: Instant,
}

impl Publisher {
    /// Creates the publisher of the instance `own`, without the lease.
    pub fn new(own: Name, incarnation: u64) -> Publisher {
        Publisher {
            lease: LeaseClient::new(own, incarnation),
            session: 0,
            run_number: 0,
            watch_number: 0,
            mirror: None,
            statuses: Writer::default(),
            unpublished: None,
            statuses_read: false,
            run: None,
            retired: Vec::new(),
            removed: Vec::new(),
            watch_opened: None,
            revision: 0,
            consistent: false,
            paused_until: Instant::default(),
            fault: None,
        }
    }

    /// Injects a fault; for tests.
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.lease.ignore_term = fault == Fault::PublishUnfenced;
    }

    /// Returns whether this instance holds an unexpired publish lease.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease.fence(now).is_some()
    }

    /// Returns the calls that are due; `candidate` states whether to try to acquire the lease.
    pub fn tick(&mut self, now: Instant, candidate: bool) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(call) = self.lease.tick(now, candidate) {
            out.push(Output::Call(Tag::Publish(0, PublishStep::Lease), call));
        }
        if !self.holds_lease(now) {
            self.reset();
            return out;
        }
        if now < self.paused_until {
            return out;
        }
        let stalled =
            self.run.as_ref().is_some_and(|it| now.since(it.last_progress) >= STEP_TIMEOUT);
        match &self.mirror {
            None => out.extend(self.start_session()),
            Some(_) if stalled => self.back_off(now),
            Some(mirror) => {
                let expired = self.watch_opened.is_none_or(|at| now.since(at) >= STEP_TIMEOUT);
                if expired && mirror.revision().is_some() {
                    out.push(self.watch(now));
                }
                if self.run.is_none() && self.consistent {
                    out.extend(self.publish_when_due(now));
                }
            }
        }
        out.extend(self.write_statuses());
        out.extend(self.remove_retired(now));
        out
    }

    /// Releases the lease, so that another instance can acquire it without waiting for its term.
    pub fn release(&mut self, now: Instant) -> Vec<Output> {
        self.reset();
        let call = self.lease.release(now);
        call.map(|it| Output::Call(Tag::Publish(0, PublishStep::Lease), it)).into_iter().collect()
    }

    /// Processes the platform's answer to `step` and returns the calls that follow.
    ///
    /// An answer whose `number` is not that of the current session or run is ignored.
    pub fn handle_answer(
        &mut self,
        now: Instant,
        number: u64,
        step: PublishStep,
        answer: Answer,
    ) -> Vec<Output> {
        if step == PublishStep::Lease {
            let call = self.lease.handle_answer(now, answer);
            return call.map(|it| Output::Call(Tag::Publish(0, step), it)).into_iter().collect();
        }
        // The term is checked at each use, so that a holder whose process was paused past its term
        // does nothing.
        if number != self.current_number(step) || !self.holds_lease(now) {
            return Vec::new();
        }
        match (step, answer) {
            (PublishStep::Objects(kind), Answer::Objects { revision, objects }) => {
                self.handle_list(now, kind, revision, objects)
            }
            (PublishStep::Watch(number), _) if number != self.watch_number => Vec::new(),
            (PublishStep::Watch(_), Answer::Objects { revision, objects }) => {
                self.handle_changes(now, revision, objects)
            }
            (PublishStep::Watch(_), Answer::Lost) => {
                self.watch_opened = None;
                self.paused_until = now + BACKOFF;
                Vec::new()
            }
            (PublishStep::Statuses, Answer::Objects { objects, .. }) => {
                self.statuses.read(objects);
                self.statuses_read = true;
                self.mark_changed(now);
                Vec::new()
            }
            (PublishStep::Objects(_) | PublishStep::Watch(_) | PublishStep::Statuses, _) => {
                self.back_off(now);
                Vec::new()
            }
            (PublishStep::Status, Answer::Lost) => {
                self.statuses_read = false;
                vec![self.call(PublishStep::Statuses, Call::List { kind: status::KIND.into() })]
            }
            (PublishStep::Status | PublishStep::Remove, _) => Vec::new(),
            (step, answer) => self.advance(now, step, answer),
        }
    }

    fn call(&self, step: PublishStep, call: Call) -> Output {
        Output::Call(Tag::Publish(self.current_number(step), step), call)
    }

    /// Returns the number of the current session or run, whichever issues calls for `step`.
    fn current_number(&self, step: PublishStep) -> u64 {
        match step {
            PublishStep::Objects(_)
            | PublishStep::Watch(_)
            | PublishStep::Statuses
            | PublishStep::Status
            | PublishStep::Remove => self.session,
            _ => self.run_number,
        }
    }

    /// Discards all state except the lease.
    fn reset(&mut self) {
        if self.mirror.is_some() || self.run.is_some() {
            self.session += 1;
            self.run_number += 1;
            self.mirror = None;
            self.run = None;
            self.unpublished = None;
            self.consistent = false;
            self.statuses = Writer::default();
            self.retired.clear();
            self.removed.clear();
        }
    }

    /// Discards the session and starts a new one after a delay.
    fn back_off(&mut self, now: Instant) {
        self.reset();
        self.paused_until = now + BACKOFF;
    }

    /// Starts a session: lists every kind of object and the statuses.
    fn start_session(&mut self) -> Vec<Output> {
        self.session += 1;
        self.mirror = Some(Mirror::default());
        self.statuses_read = false;
        self.watch_opened = None;
        let list = |kind: Kind| {
            self.call(PublishStep::Objects(kind), Call::List { kind: kind.as_str().into() })
        };
        let mut out: Vec<Output> = Kind::ALL.into_iter().map(list).collect();
        out.push(self.call(PublishStep::Statuses, Call::List { kind: status::KIND.into() }));
        out
    }

    fn handle_list(
        &mut self,
        now: Instant,
        kind: Kind,
        revision: u64,
        objects: Vec<crate::store::Object>,
    ) -> Vec<Output> {
        let Some(mirror) = &mut self.mirror else { return Vec::new() };
        mirror.apply_list(kind, revision, objects);
        let Some(since) = mirror.revision() else { return Vec::new() };
        self.revision = since;
        self.consistent = mirror.is_consistent();
        self.mark_changed(now);
        vec![self.watch(now)]
    }

    fn watch(&mut self, now: Instant) -> Output {
        self.watch_opened = Some(now);
        self.watch_number += 1;
        let since = self.revision;
        let kinds = Kind::ALL.iter().map(|it| Name::from(it.as_str())).collect();
        self.call(PublishStep::Watch(self.watch_number), Call::Watch { kinds, since })
    }

    fn handle_changes(
        &mut self,
        now: Instant,
        revision: u64,
        objects: Vec<crate::store::Object>,
    ) -> Vec<Output> {
        let Some(mirror) = &mut self.mirror else { return Vec::new() };
        let mut new = false;
        for object in objects {
            new |= mirror.apply_change(object);
        }
        if new {
            self.mark_changed(now);
        }
        // The first answer brings lists that were read at different revisions to a common one.
        self.consistent = true;
        self.revision = revision;
        vec![self.watch(now)]
    }

    fn mark_changed(&mut self, now: Instant) {
        let first = self.unpublished.map_or(now, |it| it.first);
        self.unpublished = Some(Span { first, last: now });
    }

    fn publish_when_due(&mut self, now: Instant) -> Vec<Output> {
        let due = |it: Span| now.since(it.last) >= DEBOUNCE || now.since(it.first) >= MAX_DEBOUNCE;
        if !self.unpublished.is_some_and(due) {
            return Vec::new();
        }
        self.unpublished = None;
        let Some(mirror) = &mut self.mirror else { return Vec::new() };
        let errors = mirror.errors();
        if self.statuses_read {
            self.statuses.update(mirror, &errors);
        }
        if errors.is_empty() || self.fault == Some(Fault::PublishUnchecked) {
            let (set, touched) = (mirror.set.clone(), std::mem::take(&mut mirror.touched));
            return self.start_run(now, set, touched);
        }
        let detail = format!("{} objects with errors", errors.len());
        vec![Output::Log(log::Record::new(log::CONFIG_REFUSED, detail))]
    }

    fn write_statuses(&mut self) -> Vec<Output> {
        match self.statuses_read {
            true => self
                .statuses
                .next_writes()
                .into_iter()
                .map(|it| self.call(PublishStep::Status, it))
                .collect(),
            false => Vec::new(),
        }
    }
}
