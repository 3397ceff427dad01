//! Removal of old claims, in batches, by one instance of the fleet.
//!
//! Clocks are not synchronised and instances may be replaced at any time, so the age of a claim is
//! derived from the order of writes on the platform. The sweeper writes a mark once an hour, and
//! the versions of the marks date all objects: a claim with a lower version than a mark is older
//! than that mark. A change of the sweeper can only lengthen the interval between two marks.

use std::{collections::VecDeque, time::Duration};

use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{
    Instant, claim,
    object::Name,
    store::{Answer, Call, Object},
};

/// Stored kind of the object that contains the marks.
pub const KIND: &str = "sweep";
/// Name of that object.
const NAME: &str = "claims";
/// Interval between marks.
pub const MARK_INTERVAL: Duration = Duration::from_secs(3_600);
/// Number of marks that are kept: a claim older than the oldest of 25 is at least 24 hours old.
pub const MARKS_KEPT: usize = 25;
/// Interval between reads of the marks.
const READ_INTERVAL: Duration = Duration::from_secs(300);
/// Largest number of claims removed in one tick.
const MAX_REMOVALS_PER_TICK: usize = 5;

/// The sweeper's state at one instance; reset while another instance is the sweeper.
#[value(default)]
pub struct Sweeper {
    last_read: Option<Instant>,
    /// Version of the newest mark, which is the version of the stored object.
    version: u64,
    /// Versions of the earlier marks, oldest first.
    marks: Vec<u64>,
    /// When this instance first read the newest mark.
    mark_seen: Instant,
    /// Names and versions of the claims to remove.
    expired: VecDeque<(Name, u64)>,
}

impl Sweeper {
    /// Returns the calls that are due; `is_sweeper` states whether this instance is the sweeper.
    pub fn tick(&mut self, now: Instant, is_sweeper: bool) -> Vec<Call> {
        if !is_sweeper {
            *self = Sweeper::default();
            return Vec::new();
        }
        let mut calls = self.next_removals();
        if self.last_read.is_none_or(|at| now.since(at) >= READ_INTERVAL) {
            self.last_read = Some(now);
            calls.push(Call::Get { kind: KIND.into(), name: NAME.into() });
        }
        calls
    }

    fn next_removals(&mut self) -> Vec<Call> {
        let count = self.expired.len().min(MAX_REMOVALS_PER_TICK);
        let delete = |(name, version)| Call::Delete {
            kind: claim::KIND.into(),
            name,
            if_version: Some(version),
        };
        self.expired.drain(..count).map(delete).collect()
    }

    /// Processes the platform's answer and returns the call that follows.
    pub fn handle_answer(&mut self, now: Instant, answer: Answer) -> Option<Call> {
        match answer {
            Answer::Missing => Some(write_mark(&[], 0)),
            Answer::Object(object) => self.handle_marks(now, object),
            Answer::Written { .. } => Some(Call::List { kind: claim::KIND.into() }),
            Answer::Objects { objects, .. } => {
                self.select_expired(objects);
                None
            }
            _ => None,
        }
    }

    fn handle_marks(&mut self, now: Instant, object: Object) -> Option<Call> {
        let value = object.value.unwrap_or_default();
        self.marks =
            value["marks"].as_array().into_iter().flatten().flat_map(Value::as_u64).collect();
        if object.version != self.version {
            (self.version, self.mark_seen) = (object.version, now);
        }
        if now.since(self.mark_seen) < MARK_INTERVAL {
            return None;
        }
        self.marks.push(self.version);
        let start = self.marks.len().saturating_sub(MARKS_KEPT);
        self.marks.drain(..start);
        Some(write_mark(&self.marks, self.version))
    }

    fn select_expired(&mut self, objects: Vec<Object>) {
        let Some(oldest) = self.marks.first().filter(|_| self.marks.len() == MARKS_KEPT) else {
            return;
        };
        let expired = objects.into_iter().filter(|it| it.version < *oldest);
        self.expired = expired.map(|it| (it.name, it.version)).collect();
    }
}

fn write_mark(marks: &[u64], version: u64) -> Call {
    Call::Put {
        kind: KIND.into(),
        name: NAME.into(),
        value: json!({ "marks": marks }),
        if_version: Some(version),
    }
}
