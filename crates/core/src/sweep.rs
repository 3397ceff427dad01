//! The removal of old claims, in batches, by one instance.
//!
//! Clocks are not shared and instances do not last, so the age of a claim is told by the platform's
//! own order of writes. The sweeper writes a mark once an hour; the mark's version dates every
//! object: a claim with a version below a mark is older than it. When sweepers change, an hour only
//! gets longer.

use std::{collections::VecDeque, time::Duration};

use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{
    Instant, claim,
    object::Name,
    store::{Answer, Call, Object},
};

/// Kind of the platform's object that holds the marks.
pub const KIND: &str = "sweep";
/// Name of that object.
const NAME: &str = "claims";
/// Time between two marks.
pub const MARK_INTERVAL: Duration = Duration::from_secs(3_600);
/// Marks that are kept: a claim below the oldest has stood for 24 hours at least.
pub const MARKS_KEPT: usize = 25;
/// Time between two reads of the marks.
const READ_INTERVAL: Duration = Duration::from_secs(300);
/// Claims removed at one tick.
const BATCH: usize = 5;

/// One instance's part in the removal of old claims.
#[value(default)]
pub struct Sweeper {
    read: Option<Instant>,
    version: u64,
    marks: Vec<u64>,
    seen: Instant,
    old: VecDeque<(Name, u64)>,
}

impl Sweeper {
    /// Returns the calls that are due; `sweeps` tells whether this instance is the sweeper.
    pub fn tick(&mut self, now: Instant, sweeps: bool) -> Vec<Call> {
        if !sweeps {
            *self = Sweeper::default();
            return Vec::new();
        }
        let mut calls = self.remove();
        if self.read.is_none_or(|at| now.since(at) >= READ_INTERVAL) {
            self.read = Some(now);
            calls.push(Call::Get { kind: KIND.into(), name: NAME.into() });
        }
        calls
    }

    fn remove(&mut self) -> Vec<Call> {
        let batch = self.old.len().min(BATCH);
        let delete = |(name, version)| Call::Delete {
            kind: claim::KIND.into(),
            name,
            if_version: Some(version),
        };
        self.old.drain(..batch).map(delete).collect()
    }

    /// Takes the platform's answer and returns the next call.
    pub fn handle_answer(&mut self, now: Instant, answer: Answer) -> Option<Call> {
        match answer {
            Answer::Missing => Some(mark(&[], 0)),
            Answer::Object(object) => self.marks_read(now, object),
            Answer::Written { .. } => Some(Call::List { kind: claim::KIND.into() }),
            Answer::Objects { objects, .. } => {
                self.listed(objects);
                None
            }
            _ => None,
        }
    }

    fn marks_read(&mut self, now: Instant, object: Object) -> Option<Call> {
        let value = object.value.unwrap_or_default();
        self.marks =
            value["marks"].as_array().into_iter().flatten().flat_map(Value::as_u64).collect();
        if object.version != self.version {
            (self.version, self.seen) = (object.version, now);
        }
        if now.since(self.seen) < MARK_INTERVAL {
            return None;
        }
        self.marks.push(self.version);
        let start = self.marks.len().saturating_sub(MARKS_KEPT);
        self.marks.drain(..start);
        Some(mark(&self.marks, self.version))
    }

    fn listed(&mut self, objects: Vec<Object>) {
        let Some(oldest) = self.marks.first().filter(|_| self.marks.len() == MARKS_KEPT) else {
            return;
        };
        let old = objects.into_iter().filter(|it| it.version < *oldest);
        self.old = old.map(|it| (it.name, it.version)).collect();
    }
}

fn mark(marks: &[u64], version: u64) -> Call {
    Call::Put {
        kind: KIND.into(),
        name: NAME.into(),
        value: json!({ "marks": marks }),
        if_version: Some(version),
    }
}
