//! Ranges of the numbers that callers, endpoints, peers and the platform state.
//!
//! Each number is brought into its range where it enters the reducer, so that no sum or product of them inside
//! exceeds its type. Types of this crate implement [`Ranged`] where they are defined.

use std::time::Duration;

use siskinstile_wire::message::heartbeat::Heartbeat;

/// Largest number of tokens of one request, and of units charged for it.
pub(crate) const MAX_TOKENS: u64 = 1 << 32;
/// Largest number of tokens at one endpoint, and of units charged a team since the start.
pub(crate) const MAX_TOTAL: u64 = 1 << 48;
/// Largest number of requests or slots at one endpoint.
pub(crate) const MAX_REQUESTS: u32 = 1 << 20;
/// Largest limit that is told from another one, in requests per 1,000 seconds.
pub(crate) const MAX_RATE: u64 = 1_000_000_000;
/// Largest time that work takes on an endpoint's machine, in percent of the usual one.
pub(crate) const MAX_PACE: u32 = 100_000;
/// Longest time span.
pub(crate) const MAX_SPAN: Duration = Duration::from_secs(86_400);
/// Largest time of day, in milliseconds of Unix time; the year 10889.
pub(crate) const MAX_TIME_MS: u64 = 1 << 48;

/// A value whose numbers have ranges.
pub trait Ranged {
    /// Brings each number that is out of its range to the nearest one in it; returns whether there was one.
    fn confine(&mut self) -> bool;
}

/// Brings a number to the largest one of its range; returns whether it was beyond.
pub(crate) fn clamp<T: PartialOrd>(value: &mut T, max: T) -> bool {
    let is_beyond = *value > max;
    if is_beyond {
        *value = max;
    }
    is_beyond
}

/// Does the same with a number that need not be there.
pub(crate) fn clamp_some<T: PartialOrd>(value: &mut Option<T>, max: T) -> bool {
    value.as_mut().is_some_and(|it| clamp(it, max))
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
        let groups = self.suspect_groups.iter_mut().filter_map(|it| it.suspicion.as_mut());
        for it in self.suspects.iter_mut().chain(groups) {
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
