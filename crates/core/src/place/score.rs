//! The comparison of endpoints for one job.

use std::time::Duration;

use siskinstile_macros::value;

use super::{Job, cache::Index, endpoint::Record};
use crate::{
    Instant,
    object::{Name, Pool},
};

/// Longest time that a prompt may wait at a prefill endpoint for the one before it.
const MOST_BACKLOG: Duration = Duration::from_millis(800);
/// Time that a prefill result lives at its endpoint, less a margin.
const RESULT_LIFE: Duration = Duration::from_millis(600);
/// How often the time to compute what is not cached counts beside the time until the result.
const COLD_WEIGHT: u32 = 1;
/// Greatest handicap of an endpoint without the prompt's prefix.
const MOST_AWAY: Duration = Duration::from_millis(400);
/// Extra time of each step at an endpoint of another data centre.
const REMOTE_COST: Duration = Duration::from_millis(20);
/// Time from a transfer to the first token, and for messages.
const FIRST_STEP: Duration = Duration::from_millis(60);

/// A prefill endpoint that a job could use.
#[value]
pub(super) struct Prefill {
    pub(super) name: Name,
    /// Tokens to be computed.
    pub(super) tokens: u64,
    /// When its transfer starts.
    pub(super) start: Instant,
    /// When its transfer ends.
    pub(super) ready: Instant,
    /// How many were compared.
    pub(super) candidates: usize,
}

/// A decode or plain endpoint that a job could use.
#[value]
pub(super) struct Run {
    pub(super) name: Name,
    pub(super) used: u32,
    pub(super) candidates: usize,
}

/// Why a job gets no endpoints now.
#[value(id)]
pub(super) enum Blocked {
    /// No place is free.
    Full,
    /// Its first token would come after its target.
    Late,
}

/// Returns the prefill endpoint whose result is at hand first.
pub(super) fn prefill<'a>(
    now: Instant,
    pool: &Pool,
    records: impl Iterator<Item = &'a Record>,
    cache: (&Index, u32),
    job: &Job,
    may_spill: bool,
) -> Result<Prefill, Blocked> {
    let cached = cache.0.cached(&job.prefixes, cache.1);
    let transfer = Duration::from_micros(job.prompt_tokens * pool.transfer_ms);
    let mut candidates = 0;
    let mut best: Option<(Instant, Choice, &Record)> = None;
    for record in records {
        if record.endpoint.leaving || record.health.rests(now) || (!record.local && !may_spill) {
            continue;
        }
        candidates += 1;
        let free_at = record.free_at(now);
        let full = record.is_full_of_prompts();
        if full || free_at.since(now) > MOST_BACKLOG {
            continue;
        }
        let held = cached[record.number as usize].min(job.prompt_tokens.saturating_sub(1));
        let tokens = job.prompt_tokens - held;
        let end = free_at + record.compute(tokens);
        let Some(start) = link_start(record, pool.link_slots, end) else {
            continue;
        };
        let remote = if record.local { Duration::ZERO } else { REMOTE_COST };
        let ready = start + transfer + remote;
        // What is computed anew takes time of later prompts and evicts other prefixes.
        let score = ready + record.compute(tokens) * COLD_WEIGHT + away(record, job, held);
        if best.as_ref().is_none_or(|it| score < it.0) {
            best = Some((score, Choice { start, ready, tokens }, record));
        }
    }
    let (_, Choice { start, ready, tokens }, record) = best.ok_or(Blocked::Full)?;
    Ok(Prefill { name: record.endpoint.name.clone(), tokens, start, ready, candidates })
}

/// Returns a handicap for an endpoint without the prompt's prefix, which puts the endpoints in the
/// same order for all prompts of a prefix, so that it is computed at few of them.
fn away(record: &Record, job: &Job, held: u64) -> Duration {
    let Some(first) = job.prefixes.first().filter(|_| held == 0) else { return Duration::ZERO };
    let mixed =
        (first ^ u64::from(record.number).rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Duration::from_micros((mixed >> 32) % MOST_AWAY.as_micros() as u64)
}

/// What a prefill endpoint would give.
struct Choice {
    start: Instant,
    ready: Instant,
    tokens: u64,
}

/// Returns when a record of the link is free for a result that is ready at `end`, if that is within
/// its life.
fn link_start(record: &Record, link_slots: u32, end: Instant) -> Option<Instant> {
    let mut ends: Vec<Instant> =
        record.transfers.iter().map(|it| it.1).filter(|it| *it > end).collect();
    if ends.len() < link_slots as usize {
        return Some(end);
    }
    ends.sort_unstable();
    let start = ends[ends.len() - link_slots as usize];
    (start.since(end) < RESULT_LIFE).then_some(start)
}

/// Returns whether the first token would come after its target.
pub(super) fn late(job: &Job, ready: Instant) -> bool {
    !job.is_retry && ready + FIRST_STEP > job.deadline()
}

/// Returns the endpoint with room of which the smallest part is taken.
pub(super) fn run<'a>(
    now: Instant,
    records: impl Iterator<Item = &'a Record>,
    job: &Job,
    may_spill: bool,
) -> Result<Run, Blocked> {
    let blocks = job.blocks();
    let mut candidates = 0;
    let mut best: Option<((bool, bool, u64), &Record)> = None;
    for record in records {
        if record.endpoint.leaving || record.health.rests(now) || (!record.local && !may_spill) {
            continue;
        }
        if record.health.slow(now, job.between_tokens) || !record.has_room(blocks) {
            continue;
        }
        candidates += 1;
        let part = u64::from(record.used) * 1_000 / u64::from(record.endpoint.slots.max(1));
        let key = (job.excluded.contains(&record.endpoint.name), !record.local, part);
        if best.is_none_or(|it| key < it.0) {
            best = Some((key, record));
        }
    }
    let (_, record) = best.ok_or(Blocked::Full)?;
    Ok(Run { name: record.endpoint.name.clone(), used: record.used, candidates })
}
