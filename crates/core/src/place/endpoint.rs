//! The dispatcher's record of one endpoint.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use siskinstile_macros::value;

use super::{BLOCK_TOKENS, health::Health};
use crate::{
    Instant,
    object::{self, Role},
    request,
};

/// Divisor of the moving average of the prefill rate: a new sample has the weight of one over this.
const RATE_SMOOTHING: f64 = 8.0;
/// Smallest prefill rate that a sample may report, as a fraction of the current estimate.
const MIN_RATE_FRACTION: f64 = 1.0 / 16.0;
/// Divisor of the moving average of transfer success: a new sample has the weight of one over this.
const TRANSFER_SMOOTHING: f64 = 4.0;
/// Time for which the highest number of used slots is kept, since load reports describe an earlier
/// moment than the current number.
const PEAK_WINDOW: Duration = Duration::from_secs(4);

/// A prompt that was sent to a prefill endpoint and is not computed yet.
#[value]
pub(super) struct PendingPrefill {
    pub(super) request: request::Id,
    /// Tokens to compute, without the cached ones.
    pub(super) tokens: u64,
}

/// What the dispatcher has recorded about one endpoint.
#[value]
pub(super) struct Record {
    pub(super) endpoint: Arc<object::Endpoint>,
    /// Index among all endpoints that the scheduler has ever had.
    pub(super) index: u32,
    /// Whether it is in this instance's data centre.
    pub(super) local: bool,
    /// Number of instances among which its slots are divided.
    pub(super) split_among: u32,
    /// Slots in use or reserved.
    pub(super) used: u32,
    /// Blocks of memory in use or reserved.
    pub(super) blocks: u64,
    /// Requests at the endpoint that this dispatcher did not place, derived from load reports.
    pub(super) foreign: u32,
    /// Running and queued requests in the last load report.
    pub(super) reported: u32,
    pub(super) health: Health,
    /// Prompts sent and not computed yet, oldest first.
    pub(super) pending: VecDeque<PendingPrefill>,
    /// When the computation of the oldest pending prompt began.
    pub(super) started: Instant,
    /// Estimated prefill rate, in tokens per microsecond.
    pub(super) prefill_rate: f64,
    /// Expected end of each transfer over its link.
    pub(super) transfers: Vec<(request::Id, Instant)>,
    /// Smoothed fraction of its transfers that succeeded.
    pub(super) transfer_success: f64,
    /// Highest number of used slots in the current and in the previous [`PEAK_WINDOW`].
    peak_used: (u32, u32),
    /// Start of the current window.
    peak_since: Instant,
}

impl Record {
    pub(super) fn new(
        endpoint: object::Endpoint,
        index: u32,
        local: bool,
        prefill_rate: u64,
    ) -> Record {
        Record {
            endpoint: Arc::new(endpoint),
            index,
            local,
            split_among: 1,
            used: 0,
            blocks: 0,
            foreign: 0,
            reported: 0,
            health: Health::default(),
            pending: VecDeque::new(),
            started: Instant::default(),
            prefill_rate: prefill_rate as f64 / 1e6,
            transfers: Vec::new(),
            transfer_success: 1.0,
            peak_used: (0, 0),
            peak_since: Instant::default(),
        }
    }

    /// Returns its memory in blocks; plain endpoints have no limit.
    pub(super) fn memory(&self) -> u64 {
        match self.endpoint.role {
            Role::Plain => u64::MAX,
            _ => self.endpoint.memory / BLOCK_TOKENS,
        }
    }

    /// Returns whether it has a free slot and `blocks` blocks of free memory.
    pub(super) fn has_capacity(&self, blocks: u64) -> bool {
        let slots = (self.endpoint.slots / self.split_among).max(1);
        self.used + self.foreign < self.health.concurrency_limit(self.endpoint.slots).min(slots)
            && self.blocks.saturating_add(blocks) <= self.memory()
    }

    /// Reserves a slot and memory.
    pub(super) fn reserve(&mut self, now: Instant, blocks: u64) {
        self.used += 1;
        self.blocks = self.blocks.saturating_add(blocks);
        self.peak_used.0 = self.peak_used.0.max(self.used);
        self.health.record_use(now);
    }

    /// Releases a slot and memory.
    pub(super) fn release(&mut self, blocks: u64) {
        self.used = self.used.saturating_sub(1);
        self.blocks = self.blocks.saturating_sub(blocks);
    }

    /// Returns whether no more prompts may be sent to it. While its concurrency limit is reduced
    /// after a failure, prompts whose results are in transfer count too.
    pub(super) fn is_prefill_full(&self) -> bool {
        let slots = self.endpoint.slots;
        let limit = self.health.concurrency_limit(slots);
        let in_progress = if limit < slots { self.used as usize } else { self.pending.len() };
        in_progress >= limit as usize
    }

    /// Returns when all pending prompts are expected to be computed.
    pub(super) fn free_at(&self, now: Instant) -> Instant {
        if self.pending.is_empty() {
            return now;
        }
        let tokens: u64 = self.pending.iter().map(|it| it.tokens).sum();
        now.max(self.started + self.prefill_time(tokens))
    }

    /// Returns the expected time to compute `tokens` tokens.
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros((tokens as f64 / self.prefill_rate) as u64)
    }

    /// Records that a prompt was sent to it.
    pub(super) fn enqueue_prefill(&mut self, now: Instant, request: request::Id, tokens: u64) {
        if self.pending.is_empty() {
            self.started = now;
        }
        self.pending.push_back(PendingPrefill { request, tokens });
        self.health.record_use(now);
    }

    /// Records that a prompt has been computed, and updates the prefill rate.
    pub(super) fn finish_prefill(&mut self, now: Instant, request: request::Id, tokens: u64) {
        let is_oldest = self.pending.front().is_some_and(|it| it.request == request);
        let us = now.since(self.started).as_micros() as f64;
        let floor = self.prefill_rate.max(1e-9) * MIN_RATE_FRACTION;
        if is_oldest && tokens >= BLOCK_TOKENS / 4 && us > 0.0 {
            let sample = (tokens as f64 / us).max(floor);
            self.prefill_rate += (sample - self.prefill_rate) / RATE_SMOOTHING;
        }
        self.pending.retain(|it| it.request != request);
        self.started = now;
    }

    /// Removes a pending prompt that will not be computed.
    pub(super) fn drop_prefill(&mut self, now: Instant, request: request::Id) {
        let is_oldest = self.pending.front().is_some_and(|it| it.request == request);
        self.pending.retain(|it| it.request != request);
        if is_oldest {
            self.started = now;
        }
    }

    /// Records whether a transfer from or to it succeeded.
    pub(super) fn record_transfer(&mut self, succeeded: bool) {
        let sample = f64::from(u8::from(succeeded));
        self.transfer_success += (sample - self.transfer_success) / TRANSFER_SMOOTHING;
    }

    /// Applies a load report, which may be older than the last placements.
    pub(super) fn apply_report(&mut self, load: u32) {
        self.reported = load;
        let own = self.peak_used.0.max(self.peak_used.1).max(self.used);
        self.foreign = match self.endpoint.role {
            Role::Prefill => 0,
            _ => load.saturating_sub(own),
        };
    }

    /// Expires the highest number of used slots and the transfers that should have ended.
    pub(super) fn tick(&mut self, now: Instant) {
        if now.since(self.peak_since) >= PEAK_WINDOW {
            self.peak_used = (self.used, self.peak_used.0);
            self.peak_since = now;
        }
        self.transfers.retain(|it| it.1 > now);
    }
}
