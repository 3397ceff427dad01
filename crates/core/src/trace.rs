//! A bounded ring of recent requests with the decisions taken on each.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{Instant, request};

/// Requests whose decisions are kept.
pub const KEPT_REQUESTS: usize = 4_096;
/// Notes kept for one request.
pub const KEPT_NOTES: usize = 32;

/// One decision.
#[value]
struct Note {
    at: Instant,
    text: String,
}

/// The ring.
#[value(default)]
pub struct Ring {
    notes: IndexMap<request::Id, Vec<Note>>,
    order: VecDeque<request::Id>,
}

impl Ring {
    /// Adds a decision on a request.
    pub fn note(&mut self, now: Instant, request: request::Id, text: impl Into<String>) {
        if !self.notes.contains_key(&request) {
            self.make_room();
            self.order.push_back(request);
        }
        let notes = self.notes.entry(request).or_default();
        if notes.len() < KEPT_NOTES {
            notes.push(Note { at: now, text: text.into() });
        }
    }

    fn make_room(&mut self) {
        while self.order.len() >= KEPT_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.notes.swap_remove(&oldest);
            }
        }
    }

    /// Returns the decisions on a request, oldest first, or null if none are kept.
    pub fn explain(&self, request: request::Id) -> Value {
        let Some(notes) = self.notes.get(&request) else { return Value::Null };
        let steps: Vec<Value> = notes
            .iter()
            .map(|it| json!({ "at_ms": it.at.as_millis(), "decision": it.text }))
            .collect();
        json!({ "request": request.to_string(), "decisions": steps })
    }
}
