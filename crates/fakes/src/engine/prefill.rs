//! Prefill: queue, computation and the result that waits to be imported.

use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::json;

use super::{
    Shared,
    cache::{count_tokens, hash16},
    config::Role,
    state::{Cancel, Id, Kv},
};
use crate::http::{Answer, Call, error};

/// Body of a prefill call.
#[derive(Deserialize)]
struct Body {
    request: String,
    attempt: u64,
    model: String,
    prompt: String,
}

impl Shared {
    pub(super) fn prefill(&self, call: &Call) -> Result<Answer, Answer> {
        let body: Body = call.json()?;
        self.check(Role::Prefill, &body.model)?;
        let cancel = Cancel::default();
        let ticket = self.enter(Id { request: body.request, attempt: body.attempt }, &cancel);
        let done = self.compute(ticket, &body.prompt, &cancel);
        let mut state = self.state();
        state.queue.retain(|it| *it != ticket);
        state.prefills.shift_remove(&ticket);
        self.changed.notify_all();
        let cached = done.ok_or_else(|| error(409, "cancelled"))?;
        let tokens = count_tokens(&body.prompt);
        let kv = format!("{}-{}-{:04x}", state.config.name, state.next_kv, hash16(&body.prompt));
        let evicted_at = Instant::now() + Duration::from_millis(state.config.eviction_ms);
        state.next_kv += 1;
        state.totals.prefills += 1;
        state.kvs.insert(kv.clone(), Kv { tokens, evicted_at });
        state.cache.insert(&body.prompt, self.faults.drops_events());
        Ok(Answer::Json(200, json!({"kv": kv, "tokens": tokens, "cached": cached})))
    }

    /// Answers another engine that pulls a KV cache.
    pub(super) fn kv(&self, name: &str) -> Answer {
        let state = self.state();
        match state.kvs.get(name).filter(|it| it.evicted_at > Instant::now()) {
            Some(kv) => Answer::Json(200, json!({"kv": name, "tokens": kv.tokens})),
            None => error(410, "evicted"),
        }
    }

    fn enter(&self, id: Id, cancel: &Cancel) -> u64 {
        let mut state = self.state();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.queue.push_back(ticket);
        state.prefills.insert(ticket, (id, cancel.clone()));
        ticket
    }

    /// Waits for a place and computes; returns the tokens found in the cache, none if cancelled.
    fn compute(&self, ticket: u64, prompt: &str, cancel: &Cancel) -> Option<u64> {
        let mut state = self.state();
        let waits = |state: &super::State| {
            state.queue.front() != Some(&ticket)
                || state.prefilling() >= state.config.slots as usize
        };
        while waits(&state) {
            if self.is_over(cancel) {
                return None;
            }
            state = self.changed.wait_timeout(state, super::STEP).expect("no holder panics").0;
        }
        state.queue.pop_front();
        let cached = state.cache.lookup(prompt).min(count_tokens(prompt));
        let rate = state.config.prefill_rate.max(1);
        drop(state);
        self.changed.notify_all();
        let seconds = (count_tokens(prompt) - cached) as f64 / rate as f64;
        self.sleep(Duration::from_secs_f64(seconds), cancel).then_some(cached)
    }
}
