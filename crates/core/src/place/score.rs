//! Comparison of the endpoints that could serve a job.

use std::time::Duration;

use siskinstile_macros::value;

use super::{Job, cache::Index, endpoint::Record};
use crate::{
    Instant,
    object::{Name, Pool},
};

/// Longest time that a prompt may wait at a prefill endpoint for pending prompts.
const MAX_BACKLOG: Duration = Duration::from_millis(800);
/// Time for which a prefill result stays valid at its endpoint, less a margin.
const RESULT_TTL: Duration = Duration::from_millis(600);
/// Weight of the time to compute uncached tokens, relative to the time until the result is ready.
const MISS_WEIGHT: u32 = 1;
/// Largest penalty for an endpoint that does not cache the prompt's prefix.
const MAX_COLD_PENALTY: Duration = Duration::from_millis(400);
/// Additional time of a step at an endpoint in another data centre.
const REMOTE_PENALTY: Duration = Duration::from_millis(20);
/// Time from the end of a transfer to the first token, message delays included.
const FIRST_TOKEN_OVERHEAD: Duration = Duration::from_millis(60);

/// A prefill endpoint chosen for a job.
#[value]
pub(super) struct Prefill {
    pub(super) name: Name,
    /// Tokens to compute, without the cached ones.
    pub(super) tokens: u64,
    /// Expected start of the KV-cache transfer from it.
    pub(super) start: Instant,
    /// Expected end of that transfer.
    pub(super) ready: Instant,
    /// Number of endpoints compared.
    pub(super) candidates: usize,
}

/// A decode or plain endpoint chosen for a job.
#[value]
pub(super) struct Run {
    pub(super) name: Name,
    pub(super) used: u32,
    pub(super) candidates: usize,
}

/// Reason for which a job cannot be placed now.
#[value(id)]
pub(super) enum Blocked {
    /// No endpoint has a free slot.
    Full,
    /// The first token would miss its target.
    Late,
}

/// Returns the prefill endpoint with the earliest expected result, adjusted by penalties.
pub(super) fn prefill<'a>(
    now: Instant,
    pool: &Pool,
    records: impl Iterator<Item = &'a Record>,
    cache: (&Index, u32),
    job: &Job,
    allow_remote: bool,
) -> Result<Prefill, Blocked> {
    let cached = cache.0.cached(&job.prefixes, cache.1);
    let transfer = Duration::from_micros(job.prompt_tokens * pool.transfer_ms);
    let mut candidates = 0;
    let mut best: Option<(Instant, Estimate, &Record)> = None;
    for record in records {
        if record.endpoint.leaving
            || record.health.is_ejected(now)
            || (!record.local && !allow_remote)
        {
            continue;
        }
        candidates += 1;
        let free_at = record.free_at(now);
        let full = record.is_prefill_full();
        if full || free_at.since(now) > MAX_BACKLOG {
            continue;
        }
        let cached_tokens = cached[record.index as usize].min(job.prompt_tokens.saturating_sub(1));
        let tokens = job.prompt_tokens - cached_tokens;
        let end = free_at + record.prefill_time(tokens);
        let Some(start) = link_start(record, pool.link_slots, end) else {
            continue;
        };
        let remote = if record.local { Duration::ZERO } else { REMOTE_PENALTY };
        let ready = start + transfer + remote;
        // Computing uncached tokens delays later prompts and evicts other prefixes.
        let score = ready
            + record.prefill_time(tokens) * MISS_WEIGHT
            + cold_penalty(record, job, cached_tokens);
        if best.as_ref().is_none_or(|it| score < it.0) {
            best = Some((score, Estimate { start, ready, tokens }, record));
        }
    }
    let (_, Estimate { start, ready, tokens }, record) = best.ok_or(Blocked::Full)?;
    Ok(Prefill { name: record.endpoint.name.clone(), tokens, start, ready, candidates })
}

/// Returns a penalty for an endpoint that does not cache the prompt's prefix. It orders the
/// endpoints equally for all prompts with the same prefix, so that few endpoints compute it.
fn cold_penalty(record: &Record, job: &Job, cached: u64) -> Duration {
    let Some(first) = job.prefixes.first().filter(|_| cached == 0) else { return Duration::ZERO };
    let hash =
        (first ^ u64::from(record.index).rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Duration::from_micros((hash >> 32) % MAX_COLD_PENALTY.as_micros() as u64)
}

/// Expected times and cost of a prefill at one endpoint.
struct Estimate {
    start: Instant,
    ready: Instant,
    tokens: u64,
}

/// Returns when a link slot is free for a result that is ready at `end`, or none if the result
/// would expire before.
fn link_start(record: &Record, link_slots: u32, end: Instant) -> Option<Instant> {
    let mut ends: Vec<Instant> =
        record.transfers.iter().map(|it| it.1).filter(|it| *it > end).collect();
    if ends.len() < link_slots as usize {
        return Some(end);
    }
    ends.sort_unstable();
    let start = ends[ends.len() - link_slots as usize];
    (start.since(end) < RESULT_TTL).then_some(start)
}

/// Returns whether the first token would miss its target; never true for a retry.
pub(super) fn misses_target(job: &Job, ready: Instant) -> bool {
    !job.is_retry && ready + FIRST_TOKEN_OVERHEAD > job.deadline()
}

/// Returns the decode or plain endpoint with the lowest fraction of used slots among those with
/// capacity. Excluded endpoints rank last, and remote ones after local ones.
pub(super) fn run<'a>(
    now: Instant,
    records: impl Iterator<Item = &'a Record>,
    job: &Job,
    allow_remote: bool,
) -> Result<Run, Blocked> {
    let blocks = job.blocks();
    let mut candidates = 0;
    let mut best: Option<((bool, bool, u64), &Record)> = None;
    for record in records {
        if record.endpoint.leaving
            || record.health.is_ejected(now)
            || (!record.local && !allow_remote)
        {
            continue;
        }
        if record.health.is_too_slow(now, job.between_tokens) || !record.has_capacity(blocks) {
            continue;
        }
        candidates += 1;
        let utilization = u64::from(record.used) * 1_000 / u64::from(record.endpoint.slots.max(1));
        let key = (job.excluded.contains(&record.endpoint.name), !record.local, utilization);
        if best.is_none_or(|it| key < it.0) {
            best = Some((key, record));
        }
    }
    let (_, record) = best.ok_or(Blocked::Full)?;
    Ok(Run { name: record.endpoint.name.clone(), used: record.used, candidates })
}
