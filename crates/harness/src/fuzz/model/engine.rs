//! Steps of a simulated engine: prefill, import into held memory and token streams.

use std::time::Duration;

use rand::RngExt as _;
use siskinstile_core::{
    Instant,
    object::Name,
    request::{Id, Outcome},
};

use super::{BROKEN_STREAM_HOLD_TIMEOUT, Hold, Item, Model, fault::Fault};
use crate::world::EndpointCall;

/// Time after its computation at which a prefill result that was not imported expires.
const RESULT_TTL: Duration = Duration::from_millis(800);
/// Time after which an imported KV cache without a decode call is released.
const IDLE_HOLD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without data after which a stream is reported to the calling instance as failed.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two chunks of a token stream.
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

impl Model {
    pub(super) fn prefill(&mut self, now: Instant, call: &EndpointCall, fault: Fault) {
        let kv = Name::from(format!("{}-{}", call.request, call.attempt));
        let done_at = now + Duration::from_millis(10) + self.random_millis(60);
        self.prefill_results.insert(kv.clone(), done_at + RESULT_TTL);
        self.report_outcome(done_at, call, fault, Outcome::Computed { kv, cached: 0 });
    }

    pub(super) fn import(&mut self, now: Instant, call: &EndpointCall, fault: Fault, kv: &str) {
        if self.prefill_results.get(kv).is_none_or(|until| *until < now) {
            return self.report_outcome(now, call, fault, Outcome::Refused { status: 410 });
        }
        let held_count = self.holds.iter().filter(|it| it.endpoint == call.endpoint.name).count();
        if held_count >= call.endpoint.slots as usize {
            return self.report_outcome(now, call, fault, Outcome::Refused { status: 409 });
        }
        self.prefill_results.swap_remove(kv);
        self.holds.push(Hold {
            request: call.request,
            attempt: call.attempt,
            endpoint: call.endpoint.name.clone(),
            instance: call.instance.clone(),
            reserved_at: now,
            expires_at: Some(now + IDLE_HOLD_TIMEOUT),
            stream: 0,
        });
        self.report_outcome(now, call, fault, Outcome::Imported);
    }

    fn find_hold(&mut self, call: &EndpointCall) -> Option<&mut Hold> {
        self.holds.iter_mut().find(|it| {
            (it.request, it.attempt, &it.endpoint)
                == (call.request, call.attempt, &call.endpoint.name)
        })
    }

    pub(super) fn decode(&mut self, now: Instant, call: EndpointCall, fault: Fault, index: u64) {
        self.last_id += 1;
        let stream = self.last_id;
        let Some(hold) = self.find_hold(&call) else {
            return self.report_outcome(now, &call, fault, Outcome::Refused { status: 410 });
        };
        (hold.stream, hold.expires_at) = (stream, None);
        let relay = self.relays.entry(call.request).or_default();
        relay.splice.begin(call.attempt);
        if fault == Fault::Unresponsive {
            self.report_failure(now + STREAM_TIMEOUT, &call, true);
        }
        let unresponsive = fault == Fault::Unresponsive;
        self.push(now + CHUNK_INTERVAL, Item::Chunk { call, index, stream, unresponsive });
    }

    pub(super) fn send_chunk(
        &mut self,
        now: Instant,
        call: EndpointCall,
        index: u64,
        stream: u64,
        unresponsive: bool,
    ) {
        if self.find_hold(&call).is_none_or(|it| it.stream != stream) {
            return match unresponsive {
                true => {}
                false => self.report_failure(now, &call, true),
            };
        }
        let token_count = self.token_counts.get(&call.request).copied().unwrap_or(0);
        let end = token_count.min(index + self.rng.random_range(1..9));
        let relay = self.relays.entry(call.request).or_default();
        let was_empty = relay.tokens.is_empty();
        for index in (index..end).filter(|_| !unresponsive) {
            if relay.splice.accept(call.attempt, index) {
                relay.tokens.push((call.attempt, index));
            }
        }
        if was_empty && !relay.tokens.is_empty() {
            self.report(now, &call, Outcome::FirstByte);
        }
        match self.random_fault() {
            _ if unresponsive && end < token_count => {}
            _ if end >= token_count => return self.end_stream(now, &call, unresponsive),
            Fault::RequestLost | Fault::ResponseLost => return self.break_stream(now, &call),
            Fault::Unresponsive => {
                self.report_failure(now + STREAM_TIMEOUT, &call, true);
                let chunk = Item::Chunk { call, index: end, stream, unresponsive: true };
                return self.push(now + CHUNK_INTERVAL, chunk);
            }
            _ => {}
        }
        self.push(now + CHUNK_INTERVAL, Item::Chunk { call, index: end, stream, unresponsive });
    }

    fn end_stream(&mut self, now: Instant, call: &EndpointCall, unresponsive: bool) {
        self.drop_hold(call.request, call.attempt, &call.endpoint.name);
        let relay = self.relays.entry(call.request).or_default();
        let tokens = relay.splice.next_index();
        match self.random_fault() {
            _ if unresponsive => {}
            Fault::Duplicated => self.report_outcome(
                now,
                call,
                Fault::Duplicated,
                Outcome::Completed { tokens, answer: None },
            ),
            _ => self.report(now, call, Outcome::Completed { tokens, answer: None }),
        }
    }

    fn break_stream(&mut self, now: Instant, call: &EndpointCall) {
        if let Some(hold) = self.find_hold(call) {
            (hold.stream, hold.expires_at) = (0, Some(now + BROKEN_STREAM_HOLD_TIMEOUT));
        }
        self.report_failure(now, call, true);
    }

    pub(super) fn drop_hold(&mut self, request: Id, attempt: u32, endpoint: &str) {
        self.holds
            .retain(|it| (it.request, it.attempt, &*it.endpoint) != (request, attempt, endpoint));
    }
}
