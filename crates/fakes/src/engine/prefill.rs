//! Prefill: the queue, the computation and the KV cache that is kept until it is imported.

use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::json;

use super::{
    Shared,
    cache::{count_tokens, hash16},
    config::Role,
    state::{AttemptId, CancelFlag, KvCache},
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
        self.check_role_and_model(Role::Prefill, &body.model)?;
        let cancel = CancelFlag::default();
        let ticket =
            self.enqueue(AttemptId { request: body.request, attempt: body.attempt }, &cancel);
        let outcome = self.compute(ticket, &body.prompt, &cancel);
        let mut state = self.state();
        state.queue.retain(|it| *it != ticket);
        state.prefills.shift_remove(&ticket);
        self.changed.notify_all();
        let cached = outcome.ok_or_else(|| error(409, "cancelled"))?;
        let tokens = count_tokens(&body.prompt);
        let kv =
            format!("{}-{}-{:04x}", state.config.name, state.next_kv_number, hash16(&body.prompt));
        let evicted_at = Instant::now() + Duration::from_millis(state.config.eviction_ms);
        state.next_kv_number += 1;
        state.totals.prefills += 1;
        state.kv_caches.insert(kv.clone(), KvCache { tokens, evicted_at });
        state.cache.insert(&body.prompt, self.faults.drops_events());
        Ok(Answer::Json(200, json!({"kv": kv, "tokens": tokens, "cached": cached})))
    }

    /// Answers a decode engine that pulls a KV cache.
    pub(super) fn serve_kv(&self, name: &str) -> Answer {
        let state = self.state();
        match state.kv_caches.get(name).filter(|it| it.evicted_at > Instant::now()) {
            Some(kv) => Answer::Json(200, json!({"kv": name, "tokens": kv.tokens})),
            None => error(410, "evicted"),
        }
    }

    /// Adds a prefill to the queue and returns its ticket.
    fn enqueue(&self, id: AttemptId, cancel: &CancelFlag) -> u64 {
        let mut state = self.state();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.queue.push_back(ticket);
        state.prefills.insert(ticket, (id, cancel.clone()));
        ticket
    }

    /// Waits for a slot and computes the prompt.
    ///
    /// Returns the number of tokens found in the prefix cache, or `None` if cancelled.
    fn compute(&self, ticket: u64, prompt: &str, cancel: &CancelFlag) -> Option<u64> {
        let mut state = self.state();
        let must_wait = |state: &super::State| {
            state.queue.front() != Some(&ticket)
                || state.running_prefills() >= state.config.slots as usize
        };
        while must_wait(&state) {
            if self.should_stop(cancel) {
                return None;
            }
            state =
                self.changed.wait_timeout(state, super::POLL_INTERVAL).expect("lock poisoned").0;
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
