//! Publication: the operators' objects are followed, checked as a whole and put in force.
//!
//! Only the holder of the publish lease publishes. It writes the chunks that changed, then an
//! index of all chunks, then the manifest by one conditional update. What a lost answer means is
//! settled by reading back. Each call carries the number of the run that made it, so that answers
//! from before a lost lease or a broken run change nothing.

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
    store::{Answer, Call, Tag},
    sync::Output,
};

use lease::Lease;
use mirror::Mirror;
use run::Run;
use status::Writer;

/// Time without a change after which the objects are published.
const QUIET: Duration = Duration::from_millis(100);
/// Longest time for which changes are gathered.
const GATHER: Duration = Duration::from_millis(500);
/// Time without an answer after which a step is given up.
const STALLED: Duration = Duration::from_secs(12);
/// Pause after something broke.
const PAUSE: Duration = Duration::from_secs(1);
/// Generations for which chunks that are no longer used are kept.
const KEPT_GENERATIONS: u64 = 16;
/// Time for which chunks that are no longer used are kept.
const KEPT_AGE: Duration = Duration::from_secs(600);
/// Removals in a tick.
const REMOVALS_PER_TICK: usize = 2;

/// A step of the publisher.
#[value(id)]
pub enum Step {
    /// A read or write of the lease.
    Lease,
    /// The list of one kind of object.
    Objects(Kind),
    /// The watch on the objects, by its number.
    Watch(u64),
    /// The list of statuses.
    Statuses,
    /// A write of a status.
    Status,
    /// The read of the manifest.
    Manifest,
    /// The read of the index.
    Index,
    /// The write of a chunk.
    PutChunk(crate::chunk::Bucket),
    /// The write of the index.
    PutIndex,
    /// The write of the manifest.
    PutManifest,
    /// The read that settles a lost write of the manifest.
    Verify,
    /// The removal of a chunk.
    Remove,
}

/// The publisher of one instance, idle unless it holds the lease.
#[value]
pub struct Publisher {
    lease: Lease,
    /// Number of the following that is under way.
    number: u64,
    /// Number of the publication that is under way.
    run_number: u64,
    watch_number: u64,
    mirror: Option<Mirror>,
    statuses: Writer,
    /// Whether the objects have changed since they were last published, and when.
    changed: Option<Span>,
    statuses_read: bool,
    run: Option<Run>,
    /// Chunks that may be removed after a while.
    retired: Vec<Retired>,
    /// Chunks that were removed, to be left out of the next index.
    removed: Vec<Name>,
    /// When the watch under way was opened; none while it is to be opened.
    watched: Option<Instant>,
    /// Revision up to which the objects have been followed.
    revision: u64,
    /// Whether the objects are a consistent cut.
    consistent: bool,
    paused_until: Instant,
    fault: Option<Fault>,
}

/// The first and the last of several changes.
#[value(id)]
struct Span {
    first: Instant,
    last: Instant,
}

/// A chunk that is no longer used.
#[value]
struct Retired {
    name: Name,
    generation: u64,
    seen: Instant,
}

impl Publisher {
    /// Creates the idle publisher of an instance.
    pub fn new(own: Name, incarnation: u64) -> Publisher {
        Publisher {
            lease: Lease::new(own, incarnation),
            number: 0,
            run_number: 0,
            watch_number: 0,
            mirror: None,
            statuses: Writer::default(),
            changed: None,
            statuses_read: false,
            run: None,
            retired: Vec::new(),
            removed: Vec::new(),
            watched: None,
            revision: 0,
            consistent: false,
            paused_until: Instant::default(),
            fault: None,
        }
    }

    /// Plants a fault; for tests.
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.lease.unfenced = fault == Fault::PublishUnfenced;
    }

    /// Returns whether this instance may publish now.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease.fence(now).is_some()
    }

    /// Does what is due; `candidate` tells whether this instance should try for the lease.
    pub fn tick(&mut self, now: Instant, candidate: bool) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(call) = self.lease.tick(now, candidate) {
            out.push(Output::Call(Tag::Publish(0, Step::Lease), call));
        }
        if !self.holds_lease(now) {
            self.stop();
            return out;
        }
        if now < self.paused_until {
            return out;
        }
        let stalled = self.run.as_ref().is_some_and(|it| now.since(it.since) >= STALLED);
        match &self.mirror {
            None => out.extend(self.follow()),
            Some(_) if stalled => self.give_up(now),
            Some(mirror) => {
                let silent = self.watched.is_none_or(|at| now.since(at) >= STALLED);
                if silent && mirror.revision().is_some() {
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

    /// Gives up the lease, so that another instance can take it at once.
    pub fn release(&mut self, now: Instant) -> Vec<Output> {
        self.stop();
        let call = self.lease.release(now);
        call.map(|it| Output::Call(Tag::Publish(0, Step::Lease), it)).into_iter().collect()
    }

    /// Takes an answer of the platform.
    pub fn handle_answer(
        &mut self,
        now: Instant,
        number: u64,
        step: Step,
        answer: Answer,
    ) -> Vec<Output> {
        if step == Step::Lease {
            let call = self.lease.handle_answer(now, answer);
            return call.map(|it| Output::Call(Tag::Publish(0, step), it)).into_iter().collect();
        }
        // The term is read at the moment of use: a holder that was paused does nothing.
        if number != self.number_of(step) || !self.holds_lease(now) {
            return Vec::new();
        }
        match (step, answer) {
            (Step::Objects(kind), Answer::Objects { revision, objects }) => {
                self.listed(now, kind, revision, objects)
            }
            (Step::Watch(number), _) if number != self.watch_number => Vec::new(),
            (Step::Watch(_), Answer::Objects { revision, objects }) => {
                self.changed(now, revision, objects)
            }
            (Step::Watch(_), Answer::Lost) => {
                self.watched = None;
                self.paused_until = now + PAUSE;
                Vec::new()
            }
            (Step::Statuses, Answer::Objects { objects, .. }) => {
                self.statuses.read(objects);
                self.statuses_read = true;
                self.mark(now);
                Vec::new()
            }
            (Step::Objects(_) | Step::Watch(_) | Step::Statuses, _) => {
                self.give_up(now);
                Vec::new()
            }
            (Step::Status, Answer::Lost) => {
                self.statuses_read = false;
                vec![self.call(Step::Statuses, Call::List { kind: status::KIND.into() })]
            }
            (Step::Status | Step::Remove, _) => Vec::new(),
            (step, answer) => self.advance(now, step, answer),
        }
    }

    fn call(&self, step: Step, call: Call) -> Output {
        Output::Call(Tag::Publish(self.number_of(step), step), call)
    }

    /// Returns the number that answers on a step have to carry.
    fn number_of(&self, step: Step) -> u64 {
        match step {
            Step::Objects(_) | Step::Watch(_) | Step::Statuses | Step::Status | Step::Remove => {
                self.number
            }
            _ => self.run_number,
        }
    }

    /// Forgets everything but the lease.
    fn stop(&mut self) {
        if self.mirror.is_some() || self.run.is_some() {
            self.number += 1;
            self.run_number += 1;
            self.mirror = None;
            self.run = None;
            self.changed = None;
            self.consistent = false;
            self.statuses = Writer::default();
            self.retired.clear();
            self.removed.clear();
        }
    }

    fn give_up(&mut self, now: Instant) {
        self.stop();
        self.paused_until = now + PAUSE;
    }

    /// Begins to follow the objects.
    fn follow(&mut self) -> Vec<Output> {
        self.number += 1;
        self.mirror = Some(Mirror::default());
        self.statuses_read = false;
        self.watched = None;
        let list =
            |kind: Kind| self.call(Step::Objects(kind), Call::List { kind: kind.as_str().into() });
        let mut out: Vec<Output> = Kind::ALL.into_iter().map(list).collect();
        out.push(self.call(Step::Statuses, Call::List { kind: status::KIND.into() }));
        out
    }

    fn listed(
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
        self.mark(now);
        vec![self.watch(now)]
    }

    fn watch(&mut self, now: Instant) -> Output {
        self.watched = Some(now);
        self.watch_number += 1;
        let since = self.revision;
        let kinds = Kind::ALL.iter().map(|it| Name::from(it.as_str())).collect();
        self.call(Step::Watch(self.watch_number), Call::Watch { kinds, since })
    }

    fn changed(
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
            self.mark(now);
        }
        // The first answer makes lists of several revisions a consistent cut.
        self.consistent = true;
        self.revision = revision;
        vec![self.watch(now)]
    }

    fn mark(&mut self, now: Instant) {
        let first = self.changed.map_or(now, |it| it.first);
        self.changed = Some(Span { first, last: now });
    }

    fn publish_when_due(&mut self, now: Instant) -> Vec<Output> {
        let due = |it: Span| now.since(it.last) >= QUIET || now.since(it.first) >= GATHER;
        if !self.changed.is_some_and(due) {
            return Vec::new();
        }
        self.changed = None;
        let Some(mirror) = &mut self.mirror else { return Vec::new() };
        let faults = mirror.errors();
        if self.statuses_read {
            self.statuses.check(mirror, &faults);
        }
        if faults.is_empty() || self.fault == Some(Fault::PublishUnchecked) {
            let (set, touched) = (mirror.set.clone(), std::mem::take(&mut mirror.touched));
            return self.begin(now, set, touched);
        }
        let detail = format!("{} objects with errors", faults.len());
        vec![Output::Log(log::Record::new(log::CONFIG_REFUSED, detail))]
    }

    fn write_statuses(&mut self) -> Vec<Output> {
        match self.statuses_read {
            true => self.statuses.due().into_iter().map(|it| self.call(Step::Status, it)).collect(),
            false => Vec::new(),
        }
    }
}
