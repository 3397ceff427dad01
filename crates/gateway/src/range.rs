//! Ranges of the numbers that callers, endpoints, peers and the platform state.
//!
//! Each number is brought into its range where it enters the reducer, so that no sum or product of them inside
//! exceeds its type.

use std::time::Duration;

use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::{
    call::{Notice, Outcome, ReportedLoad, StatedLimit},
    catalog::{Draft, Engine},
    directory::Endpoint,
    limit::MAX_RATE,
    request::Arrival,
};

/// Largest number of tokens of one request, and of units charged for it.
const MAX_TOKENS: u64 = 1 << 32;
/// Largest number of tokens at one endpoint, and of units charged a team since the start.
const MAX_TOTAL: u64 = 1 << 48;
/// Largest number of requests or slots at one endpoint.
const MAX_REQUESTS: u32 = 1 << 20;
/// Largest time that work takes on an endpoint's machine, in percent of the usual one.
const MAX_PACE: u32 = 100_000;
/// Longest time span.
const MAX_SPAN: Duration = Duration::from_secs(86_400);
/// Largest time of day, in milliseconds of Unix time; the year 10889.
const MAX_TIME_MS: u64 = 1 << 48;

/// A value whose numbers have ranges.
pub trait Ranged {
    /// Brings each number that is out of its range to the nearest one in it; returns whether there was one.
    fn confine(&mut self) -> bool;
}

fn clamp<T: PartialOrd>(value: &mut T, max: T) -> bool {
    let is_beyond = *value > max;
    if is_beyond {
        *value = max;
    }
    is_beyond
}

fn clamp_some<T: PartialOrd>(value: &mut Option<T>, max: T) -> bool {
    value.as_mut().is_some_and(|it| clamp(it, max))
}

impl Ranged for Arrival {
    fn confine(&mut self) -> bool {
        let tokens = self.tokens.as_mut().is_some_and(|it| {
            let expected = clamp_some(&mut it.expected, MAX_TOKENS);
            clamp(&mut it.prompt, MAX_TOKENS) | clamp(&mut it.output, MAX_TOKENS) | expected
        });
        tokens | clamp_some(&mut self.max_wait, MAX_SPAN)
    }
}

impl Ranged for ReportedLoad {
    fn confine(&mut self) -> bool {
        let counts =
            clamp(&mut self.running, MAX_REQUESTS) | clamp(&mut self.waiting, MAX_REQUESTS);
        counts | clamp_some(&mut self.slots, MAX_REQUESTS) | clamp_some(&mut self.pace, MAX_PACE)
    }
}

impl Ranged for Notice {
    fn confine(&mut self) -> bool {
        let limit = match &mut self.limit {
            StatedLimit::Rate(rate) => clamp(rate, MAX_RATE),
            StatedLimit::None | StatedLimit::Unknown => false,
        };
        let load = self.load.as_mut().is_some_and(Ranged::confine);
        let spans = clamp_some(&mut self.backoff, MAX_SPAN)
            | clamp_some(&mut self.cold_remaining, MAX_SPAN);
        limit | load | spans
    }
}

impl Ranged for Outcome {
    fn confine(&mut self) -> bool {
        match self {
            Outcome::Computed { tokens, .. } => clamp(tokens, MAX_TOKENS),
            Outcome::StartTold { started_at_ms, .. } => clamp_some(started_at_ms, MAX_TIME_MS),
            _ => false,
        }
    }
}

impl Ranged for Endpoint {
    fn confine(&mut self) -> bool {
        let times = clamp_some(&mut self.started_at_ms, MAX_TIME_MS)
            | clamp(&mut self.cold_remaining, MAX_SPAN);
        times | clamp(&mut self.slots, MAX_REQUESTS)
    }
}

impl Ranged for Draft {
    fn confine(&mut self) -> bool {
        let mut clamped = false;
        for it in &mut self.routes {
            clamped |= clamp(&mut it.timeout, MAX_SPAN);
            clamped |= clamp(&mut it.target_latency, MAX_SPAN);
            clamped |= clamp_some(&mut it.target_gap, MAX_SPAN);
            clamped |= clamp(&mut it.attempts, MAX_REQUESTS);
            for split in &mut it.splits {
                clamped |= clamp(&mut split.weight, MAX_REQUESTS);
            }
        }
        for it in &mut self.services {
            clamped |= clamp(&mut it.connection_limit, MAX_REQUESTS);
            clamped |= it.engine.as_mut().is_some_and(Ranged::confine);
            if let Some(warm_up) = &mut it.warm_up {
                clamped |= clamp(&mut warm_up.duration, MAX_SPAN);
                clamped |= clamp(&mut warm_up.rate, MAX_RATE as f64);
            }
        }
        for it in self.teams.iter_mut().filter_map(|it| it.quota.as_mut()) {
            clamped |= clamp(&mut it.rate, MAX_TOTAL);
            clamped |= clamp(&mut it.burst, MAX_TOTAL);
            clamped |= clamp(&mut it.default_tokens, MAX_TOKENS);
        }
        let timeouts = [&mut self.limits.head_timeout, &mut self.limits.idle_timeout];
        for it in timeouts {
            clamped |= clamp(it, MAX_SPAN);
        }
        clamped
    }
}

impl Ranged for Engine {
    fn confine(&mut self) -> bool {
        let sizes = clamp(&mut self.slots, MAX_REQUESTS)
            | clamp(&mut self.memory_tokens, MAX_TOTAL)
            | clamp(&mut self.event_tokens, MAX_TOKENS);
        let spans = clamp(&mut self.hold_limit, MAX_SPAN)
            | clamp(&mut self.handle_retention, MAX_SPAN)
            | clamp(&mut self.reconfigure_time, MAX_SPAN);
        sizes | spans
    }
}

impl Ranged for Heartbeat {
    fn confine(&mut self) -> bool {
        let mut clamped = false;
        let groups = self.groups.iter_mut().flat_map(|it| &mut it.loads);
        for it in self.loads.iter_mut().chain(&mut self.receiver_loads).chain(groups) {
            clamped |= clamp(&mut it.requests, MAX_REQUESTS);
            clamped |= clamp(&mut it.memory_tokens, MAX_TOTAL);
            clamped |= clamp(&mut it.prompt_tokens, MAX_TOTAL);
        }
        let members = self.groups.iter_mut().flat_map(|it| &mut it.members);
        let relayed = members.flat_map(|it| &mut it.accounts);
        for it in self.accounts.iter_mut().chain(relayed) {
            clamped |= clamp(&mut it.spent, MAX_TOTAL);
            clamped |= clamp(&mut it.refunded, MAX_TOTAL);
        }
        for it in &mut self.limits {
            clamped |= clamp_some(&mut it.rate, MAX_RATE);
            clamped |= clamp(&mut it.number, MAX_TOTAL);
            clamped |= clamp(&mut it.age_ms, MAX_TIME_MS);
        }
        let queues = self.groups.iter_mut().flat_map(|it| &mut it.waiting);
        for it in self.waiting.iter_mut().chain(&mut self.receiver_waiting).chain(queues) {
            clamped |= clamp(&mut it.count, MAX_REQUESTS.into());
        }
        for it in &mut self.paces {
            clamped |= clamp(&mut it.percent, MAX_PACE);
            clamped |= clamp(&mut it.running, MAX_REQUESTS);
            clamped |= clamp(&mut it.waiting, MAX_REQUESTS);
            clamped |= clamp(&mut it.age_ms, MAX_TIME_MS);
        }
        for it in &mut self.cold {
            clamped |= clamp(&mut it.remaining_ms, MAX_SPAN.as_millis() as u64);
            clamped |= clamp(&mut it.number, MAX_TOTAL);
        }
        for it in &mut self.suspects {
            clamped |= clamp_some(&mut it.quarantined_ms, MAX_SPAN.as_millis() as u64);
            clamped |= clamp_some(&mut it.cleared_age_ms, MAX_TIME_MS);
        }
        for it in &mut self.low_buckets {
            let level = it.level.clamp(-(MAX_TOTAL as i64), MAX_TOTAL as i64);
            clamped |= level != it.level;
            it.level = level;
        }
        clamped
    }
}
