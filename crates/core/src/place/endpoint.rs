//! The dispatcher's record of one endpoint.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use siskinstile_macros::value;

use super::{BLOCK_TOKENS, health::Health};
use crate::{
    Instant,
    object::{self, Role},
    request,
};

/// Weight of a new sample of the prefill rate, as one part in this number.
const RATE_PARTS: f64 = 8.0;
/// A learned prefill rate is at least this part of the configured one.
const LEAST_RATE: f64 = 1.0 / 16.0;
/// Weight of a new sample of transfers, as one part in this number.
const TRANSFER_PARTS: f64 = 4.0;
/// Time over which the highest own count is kept, since load reports are older than it.
const PEAK_WINDOW: Duration = Duration::from_secs(4);

/// A prompt that a prefill endpoint was sent.
#[value]
pub(super) struct Work {
    pub(super) request: request::Id,
    /// Tokens to be computed.
    pub(super) tokens: u64,
}

/// One endpoint by own record.
#[value]
pub(super) struct Record {
    pub(super) endpoint: Arc<object::Endpoint>,
    /// Index among all endpoints ever seen.
    pub(super) number: u32,
    pub(super) local: bool,
    /// Instances among which its slots are split.
    pub(super) parts: u32,
    /// Requests that were given a place, promised ones too.
    pub(super) used: u32,
    /// Pieces of memory taken or promised.
    pub(super) blocks: u64,
    /// Requests there that this dispatcher did not place, by the reports.
    pub(super) foreign: u32,
    /// Load by the last report.
    pub(super) reported: u32,
    pub(super) health: Health,
    /// Prompts sent and not yet computed, oldest first.
    pub(super) work: VecDeque<Work>,
    /// When the oldest of them was begun.
    pub(super) begun: Instant,
    /// Prefill rate, in tokens a microsecond.
    pub(super) rate: f64,
    /// When each transfer over its link is expected to end.
    pub(super) transfers: Vec<(request::Id, Instant)>,
    /// Part of its recent transfers that succeeded.
    pub(super) transferred: f64,
    peaks: (u32, u32),
    peak_at: Instant,
}

impl Record {
    pub(super) fn new(
        endpoint: object::Endpoint,
        number: u32,
        local: bool,
        prefill_rate: u64,
    ) -> Record {
        Record {
            endpoint: Arc::new(endpoint),
            number,
            local,
            parts: 1,
            used: 0,
            blocks: 0,
            foreign: 0,
            reported: 0,
            health: Health::default(),
            work: VecDeque::new(),
            begun: Instant::default(),
            rate: prefill_rate as f64 / 1e6,
            transfers: Vec::new(),
            transferred: 1.0,
            peaks: (0, 0),
            peak_at: Instant::default(),
        }
    }

    /// Returns the blocks of its memory; plain endpoints have no limit.
    pub(super) fn memory(&self) -> u64 {
        match self.endpoint.role {
            Role::Plain => u64::MAX,
            _ => self.endpoint.memory / BLOCK_TOKENS,
        }
    }

    /// Returns whether it may be given a request with so much memory now.
    pub(super) fn has_room(&self, blocks: u64) -> bool {
        let slots = (self.endpoint.slots / self.parts).max(1);
        self.used + self.foreign < self.health.limit(self.endpoint.slots).min(slots)
            && self.blocks.saturating_add(blocks) <= self.memory()
    }

    /// Takes a place.
    pub(super) fn take(&mut self, now: Instant, blocks: u64) {
        self.used += 1;
        self.blocks = self.blocks.saturating_add(blocks);
        self.peaks.0 = self.peaks.0.max(self.used);
        self.health.used(now);
    }

    /// Frees a place.
    pub(super) fn free(&mut self, blocks: u64) {
        self.used = self.used.saturating_sub(1);
        self.blocks = self.blocks.saturating_sub(blocks);
    }

    /// Returns whether it has as many prompts as it takes; while it comes back from a rest, those
    /// in transfer count too.
    pub(super) fn is_full_of_prompts(&self) -> bool {
        let slots = self.endpoint.slots;
        let limit = self.health.limit(slots);
        let open = if limit < slots { self.used as usize } else { self.work.len() };
        open >= limit as usize
    }

    /// Returns when what it was sent will be computed.
    pub(super) fn free_at(&self, now: Instant) -> Instant {
        if self.work.is_empty() {
            return now;
        }
        let tokens: u64 = self.work.iter().map(|it| it.tokens).sum();
        now.max(self.begun + self.compute(tokens))
    }

    /// Returns the time to compute so many tokens.
    pub(super) fn compute(&self, tokens: u64) -> Duration {
        Duration::from_micros((tokens as f64 / self.rate) as u64)
    }

    /// Notes that it was sent a prompt.
    pub(super) fn sent(&mut self, now: Instant, request: request::Id, tokens: u64) {
        if self.work.is_empty() {
            self.begun = now;
        }
        self.work.push_back(Work { request, tokens });
        self.health.used(now);
    }

    /// Notes that a prompt is computed and learns its rate.
    pub(super) fn computed(&mut self, now: Instant, request: request::Id, tokens: u64) {
        let head = self.work.front().is_some_and(|it| it.request == request);
        let us = now.since(self.begun).as_micros() as f64;
        let configured_floor = self.rate.max(1e-9) * LEAST_RATE;
        if head && tokens >= BLOCK_TOKENS / 4 && us > 0.0 {
            let sample = (tokens as f64 / us).max(configured_floor);
            self.rate += (sample - self.rate) / RATE_PARTS;
        }
        self.work.retain(|it| it.request != request);
        self.begun = now;
    }

    /// Drops a prompt that was not computed.
    pub(super) fn dropped(&mut self, now: Instant, request: request::Id) {
        let head = self.work.front().is_some_and(|it| it.request == request);
        self.work.retain(|it| it.request != request);
        if head {
            self.begun = now;
        }
    }

    /// Notes whether a transfer from or to it succeeded.
    pub(super) fn transferred(&mut self, well: bool) {
        let sample = f64::from(u8::from(well));
        self.transferred += (sample - self.transferred) / TRANSFER_PARTS;
    }

    /// Corrects the record by a report, which may be older than what was sent since.
    pub(super) fn report(&mut self, load: u32) {
        self.reported = load;
        let own = self.peaks.0.max(self.peaks.1).max(self.used);
        self.foreign = match self.endpoint.role {
            Role::Prefill => 0,
            _ => load.saturating_sub(own),
        };
    }

    /// Lets the highest own count expire.
    pub(super) fn tick(&mut self, now: Instant) {
        if now.since(self.peak_at) >= PEAK_WINDOW {
            self.peaks = (self.used, self.peaks.0);
            self.peak_at = now;
        }
        self.transfers.retain(|it| it.1 > now);
    }
}
