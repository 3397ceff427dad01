//! What must hold, checked on what instances and endpoints did.

use std::{fmt, time::Duration};

use indexmap::{IndexMap, IndexSet};
use siskinstile_core::{
    Effect, Instant,
    error::{Kind as Error, Ran},
    object::Name,
    request::Id,
};

use super::{
    case::Kind,
    model::{Hold, Model},
};
use crate::world::Output;

/// Longest time that engine memory stays held by a request that is gone.
const HOLD_LIMIT: Duration = Duration::from_secs(8);
/// Time before a hold is taken in which its peers are told.
const TELL_TIME: Duration = Duration::from_secs(3);
/// Longest time in which a leaving endpoint still gets new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promise {
    /// A request is answered once.
    Once,
    /// A whole answer has every token once, in order.
    Whole,
    /// A non-idempotent request runs at most once.
    RunOnce,
    /// `ran: no` is true.
    NotRun,
    /// No engine memory stays held by requests that are gone.
    NoHold,
    /// Every accepted request is answered.
    Answered,
    /// An idempotency key is never stuck.
    KeyFree,
    /// A leaving endpoint gets no new work.
    Leaving,
    /// A planned stop cuts no request.
    NoCut,
}

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When, and what was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.text)
    }
}

/// A request as its caller sees it.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Instance that has the caller.
    pub instance: Name,
    /// What it asks for.
    pub kind: Kind,
    /// Idempotency key.
    pub key: Option<u64>,
    /// When it was answered, left or lost with its instance.
    pub ended: Option<Instant>,
    /// Whether its instance has died.
    pub lost: bool,
    /// The error that it got.
    pub error: Option<Error>,
    answers: u32,
    not_run: bool,
}

/// Checks the promises.
#[derive(Default)]
pub struct Oracle {
    /// Every request, by identifier.
    pub asked: IndexMap<Id, Asked>,
    /// Instances that have stopped as planned.
    pub stopped: Vec<Name>,
    /// When each instance that is not running has stopped as planned.
    pub stops: IndexMap<Name, Instant>,
    /// What did not hold.
    pub violations: Vec<Violation>,
    disturbed: Vec<(Instant, Name)>,
    leaving: IndexMap<(Name, Name), Instant>,
}

impl Oracle {
    /// Notes a request.
    pub fn ask(&mut self, id: Id, instance: &Name, kind: Kind, key: Option<u64>) {
        let asked = Asked {
            instance: instance.clone(),
            kind,
            key,
            ended: None,
            lost: false,
            error: None,
            answers: 0,
            not_run: false,
        };
        self.asked.insert(id, asked);
    }

    /// Notes that the caller of a request has left.
    pub fn leave(&mut self, now: Instant, id: Id) {
        if let Some(asked) = self.asked.get_mut(&id) {
            asked.ended.get_or_insert(now);
        }
    }

    /// Notes that an instance is no longer what it was: dead, paused, or with bad links.
    pub fn disturb(&mut self, until: Instant, instance: &Name) {
        self.disturbed.push((until, instance.clone()));
    }

    /// Notes the death of an instance: what it had open is gone.
    pub fn die(&mut self, now: Instant, instance: &Name) {
        for asked in self.asked.values_mut().filter(|it| it.instance == *instance) {
            if asked.ended.is_none() {
                (asked.ended, asked.lost) = (Some(now), true);
            }
        }
        self.leaving.retain(|(name, _), _| name != instance);
    }

    fn fault(&mut self, now: Instant, promise: Promise, text: String) {
        let text = format!("at {} ms, {text}", now.as_millis());
        self.violations.push(Violation { promise, text });
    }

    /// Checks what an instance did.
    pub fn see(&mut self, output: &Output, model: &Model) {
        let at = output.at;
        match &output.effect {
            Effect::Fail { request, failure } => {
                self.answer(at, *request);
                let Some(asked) = self.asked.get_mut(request) else { return };
                asked.error = Some(failure.kind);
                asked.not_run = failure.ran == Ran::No;
            }
            Effect::Replay { request, .. } => self.answer(at, *request),
            Effect::Finish { request } => {
                self.answer(at, *request);
                self.check_whole(at, *request, model);
            }
            Effect::Stopped => self.stop(at, &output.instance),
            Effect::Adopt(config) => {
                for endpoint in config.pools().flat_map(|pool| &pool.endpoints) {
                    let key = (output.instance.clone(), endpoint.name.clone());
                    match endpoint.leaving {
                        true => drop(self.leaving.entry(key).or_insert(at)),
                        false => drop(self.leaving.swap_remove(&key)),
                    }
                }
            }
            _ => {}
        }
    }

    fn answer(&mut self, at: Instant, id: Id) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        asked.answers += 1;
        asked.ended.get_or_insert(at);
        if asked.answers > 1 {
            self.fault(at, Promise::Once, format!("{id} was answered again"));
        }
    }

    fn check_whole(&mut self, at: Instant, id: Id, model: &Model) {
        let Some(asked) = self.asked.get(&id) else { return };
        let relay = model.relays.get(&id).cloned().unwrap_or_default();
        let length = model.lengths.get(&id).copied().unwrap_or(0);
        let in_order = relay.tokens.iter().enumerate().all(|(n, it)| it.1 == n as u64);
        let whole = match asked.kind {
            Kind::Completion => in_order && relay.tokens.len() as u64 == length,
            Kind::Lookup | Kind::Issue => relay.whole,
        };
        if !whole {
            let text = format!("{id} ended with {} of {length} tokens", relay.tokens.len());
            self.fault(at, Promise::Whole, text);
        }
    }

    fn stop(&mut self, at: Instant, instance: &Name) {
        self.stopped.push(instance.clone());
        let open = |it: &&Asked| it.instance == *instance && it.ended.is_none();
        let cut = self.asked.values().filter(open).count();
        if cut > 0 {
            self.fault(at, Promise::NoCut, format!("{instance} stopped with {cut} requests open"));
        }
    }

    /// Checks the calls of endpoints since the last time, and the holds.
    pub fn check(&mut self, now: Instant, model: &mut Model) {
        for (at, instance, endpoint) in std::mem::take(&mut model.work) {
            let since = self.leaving.get(&(instance.clone(), endpoint.clone()));
            if since.is_some_and(|since| at.since(*since) > LEAVING_LIMIT) {
                let text = format!("{instance} gave work to {endpoint}, which is leaving");
                self.fault(at, Promise::Leaving, text);
            }
        }
        for hold in &model.holds {
            self.check_hold(now, hold);
        }
    }

    /// A hold must end if its instance, or all peers but one, had no trouble meanwhile.
    fn check_hold(&mut self, now: Instant, hold: &Hold) {
        let Some(asked) = self.asked.get(&hold.request) else { return };
        let Some(ended) = asked.ended else { return };
        if now.since(ended.max(hold.since)) < HOLD_LIMIT {
            return;
        }
        let from = hold.since - TELL_TIME;
        let others: IndexSet<&Name> = self
            .disturbed
            .iter()
            .filter(|(until, name)| *until >= from && *name != hold.instance)
            .map(|(_, name)| name)
            .chain(self.stops.iter().filter(|(_, at)| **at <= hold.since).map(|(name, _)| name))
            .collect();
        if others.len() <= 1 {
            let text = format!("{} holds memory for {}", hold.endpoint, hold.request);
            self.fault(now, Promise::NoHold, text);
        }
    }

    /// Checks what must hold when all faults have ended and time has passed.
    pub fn finish(&mut self, now: Instant, model: &Model) {
        let open: Vec<Id> =
            self.asked.iter().filter(|(_, it)| it.ended.is_none()).map(|(id, _)| *id).collect();
        for id in open {
            self.fault(now, Promise::Answered, format!("{id} has no answer"));
        }
        let lies = self.asked.iter().filter(|(id, it)| it.not_run && model.received.contains(*id));
        for id in lies.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.fault(now, Promise::NotRun, format!("{id} was said not to have run"));
        }
        self.check_runs(now, model);
    }

    fn check_runs(&mut self, now: Instant, model: &Model) {
        let mut runs: IndexMap<String, u32> = IndexMap::new();
        for id in &model.runs {
            match self.asked.get(id) {
                Some(Asked { kind: Kind::Issue, key: Some(key), .. }) => {
                    *runs.entry(format!("key {key}")).or_default() += 1;
                }
                Some(Asked { kind: Kind::Issue, key: None, .. }) => {
                    *runs.entry(id.to_string()).or_default() += 1;
                }
                _ => {}
            }
        }
        for (name, count) in runs.into_iter().filter(|(_, count)| *count > 1) {
            self.fault(now, Promise::RunOnce, format!("{name} ran {count} times"));
        }
    }

    /// Checks a request that repeats an idempotency key after all faults.
    pub fn check_retry(&mut self, now: Instant, id: Id) {
        if self.asked.get(&id).is_some_and(|it| it.error == Some(Error::InProgress)) {
            self.fault(now, Promise::KeyFree, format!("{id} found its key in use for good"));
        }
    }
}
