//! The decisions taken on recent requests, kept in a bounded ring for operators.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{Instant, request};

/// Number of requests whose decisions are kept; the oldest request is dropped first.
pub const KEPT_REQUESTS: usize = 4_096;
/// Number of decisions kept for one request; later ones are dropped.
pub const KEPT_NOTES: usize = 32;

/// A decision on a request.
#[value]
struct Note {
    at: Instant,
    text: String,
}

/// The decisions on the most recent requests.
#[value(default)]
pub struct Ring {
    notes: IndexMap<request::Id, Vec<Note>>,
    order: VecDeque<request::Id>,
}

impl Ring {
    /// Records a decision on a request.
    pub fn note(&mut self, now: Instant, request: request::Id, text: impl Into<String>) {
        if !self.notes.contains_key(&request) {
            self.evict_oldest();
            self.order.push_back(request);
        }
        let notes = self.notes.entry(request).or_default();
        if notes.len() < KEPT_NOTES {
            notes.push(Note { at: now, text: text.into() });
        }
    }

    fn evict_oldest(&mut self) {
        while self.order.len() >= KEPT_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.notes.swap_remove(&oldest);
            }
        }
    }

    /// Returns the decisions on a request as JSON, oldest first, or null if none are kept.
    pub fn explain(&self, request: request::Id) -> Value {
        let Some(notes) = self.notes.get(&request) else { return Value::Null };
        let decisions: Vec<Value> = notes
            .iter()
            .map(|it| json!({ "at_ms": it.at.as_millis(), "decision": it.text }))
            .collect();
        json!({ "request": request.to_string(), "decisions": decisions })
    }
}
