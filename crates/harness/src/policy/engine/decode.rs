//! A decode engine: slots, memory in blocks and a batch whose steps take longer as it fills.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    object::{Endpoint, Name},
};

use super::{Attempt, BLOCK_TOKENS};

/// Duration of a step with an empty batch, in microseconds.
const STEP_BASE_US: f64 = 18_000.0;
/// Additional step duration per request in the batch, in microseconds.
const STEP_PER_REQUEST_US: f64 = 1_600.0;

/// Returns the duration of a decode step, in seconds, with `batch` requests in the batch.
pub fn step_seconds(batch: f64) -> f64 {
    (STEP_BASE_US + STEP_PER_REQUEST_US * batch) / 1e6
}

/// Progress of a stream that the engine reports to the instance that called it.
pub(super) struct Progress {
    pub(super) instance: Name,
    pub(super) attempt: Attempt,
    /// Output length of the completed answer in tokens; `None` reports the first token.
    pub(super) completed: Option<u64>,
}

struct Stream {
    instance: Name,
    attempt: Attempt,
    first_step: f64,
    last_step: f64,
    output_tokens: u64,
    first_reported: bool,
}

struct Waiting {
    instance: Name,
    attempt: Attempt,
    blocks: u64,
}

pub(super) struct Decode {
    pub(super) slowdown: f64,
    /// Incremented whenever the next report is rescheduled; scheduled reports of an older version
    /// are ignored.
    pub(super) version: u64,
    slots: usize,
    blocks: u64,
    reserved_blocks: IndexMap<Attempt, u64>,
    waiting: VecDeque<Waiting>,
    streams: Vec<Stream>,
    /// Decode steps since the start, with fractions.
    steps: f64,
    updated_at: Instant,
}

impl Decode {
    pub(super) fn new(endpoint: &Endpoint) -> Decode {
        Decode {
            slowdown: 1.0,
            version: 0,
            slots: endpoint.slots as usize,
            blocks: endpoint.memory / BLOCK_TOKENS,
            reserved_blocks: IndexMap::new(),
            waiting: VecDeque::new(),
            streams: Vec::new(),
            steps: 0.0,
            updated_at: Instant::default(),
        }
    }

    pub(super) fn load(&self) -> (u32, u32) {
        (self.reserved_blocks.len() as u32, self.waiting.len() as u32)
    }

    fn step_us(&self) -> f64 {
        step_seconds(self.streams.len() as f64) * 1e6 * self.slowdown
    }

    pub(super) fn advance(&mut self, now: Instant) {
        self.steps += now.since(self.updated_at).as_micros() as f64 / self.step_us();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns when the next first token or completion is reported, or `None` without a stream.
    pub(super) fn next_report_at(&self, now: Instant) -> Option<Instant> {
        let next = self
            .streams
            .iter()
            .map(|it| if it.first_reported { it.last_step } else { it.first_step });
        let steps = next.fold(f64::INFINITY, f64::min) - self.steps;
        let us = (steps.max(0.0) * self.step_us()).ceil() as u64;
        (!self.streams.is_empty()).then(|| now + Duration::from_micros(us + 1))
    }

    /// Queues an attempt for a slot and memory blocks.
    pub(super) fn enqueue(&mut self, instance: Name, attempt: Attempt, blocks: u64) {
        self.waiting.push_back(Waiting { instance, attempt, blocks });
    }

    /// Admits the attempt at the head of the queue if a slot and enough memory are free.
    pub(super) fn admit_next(&mut self) -> Option<(Name, Attempt)> {
        let used: u64 = self.reserved_blocks.values().sum();
        let head = self.waiting.front()?;
        if self.reserved_blocks.len() >= self.slots || used + head.blocks > self.blocks {
            return None;
        }
        let head = self.waiting.pop_front()?;
        self.reserved_blocks.insert(head.attempt, head.blocks);
        Some((head.instance, head.attempt))
    }

    /// Removes an attempt from the queue; returns the instance that queued it.
    pub(super) fn remove_waiting(&mut self, attempt: Attempt) -> Option<Name> {
        let index = self.waiting.iter().position(|it| it.attempt == attempt)?;
        self.waiting.remove(index).map(|it| it.instance)
    }

    /// Starts the stream of an attempt; returns whether the attempt holds a slot.
    pub(super) fn stream(
        &mut self,
        now: Instant,
        instance: Name,
        attempt: Attempt,
        from_index: u64,
        output_tokens: u64,
    ) -> bool {
        self.advance(now);
        if !self.reserved_blocks.contains_key(&attempt) {
            return false;
        }
        let remaining = output_tokens.saturating_sub(from_index).max(1) as f64;
        let (first_step, last_step) = (self.steps + 1.0, self.steps + remaining);
        self.streams.push(Stream {
            instance,
            attempt,
            first_step,
            last_step,
            output_tokens,
            first_reported: false,
        });
        true
    }

    /// Releases the slot, queue entry and stream of an attempt; returns whether it had a stream.
    pub(super) fn release(&mut self, now: Instant, attempt: Attempt) -> bool {
        self.advance(now);
        self.reserved_blocks.swap_remove(&attempt);
        self.remove_waiting(attempt);
        let before = self.streams.len();
        self.streams.retain(|it| it.attempt != attempt);
        self.streams.len() < before
    }

    /// Returns the progress to report at `now` and releases the slots of completed streams.
    pub(super) fn take_progress(&mut self, now: Instant) -> Vec<Progress> {
        self.advance(now);
        let mut out = Vec::new();
        let steps = self.steps + 1e-6;
        for stream in
            self.streams.iter_mut().filter(|it| !it.first_reported && it.first_step <= steps)
        {
            stream.first_reported = true;
            let (instance, attempt) = (stream.instance.clone(), stream.attempt);
            out.push(Progress { instance, attempt, completed: None });
        }
        for stream in self.streams.extract_if(.., |it| it.first_reported && it.last_step <= steps) {
            self.reserved_blocks.swap_remove(&stream.attempt);
            let Stream { instance, attempt, output_tokens, .. } = stream;
            out.push(Progress { instance, attempt, completed: Some(output_tokens) });
        }
        out
    }

    /// Drops all queued imports and streams and releases all slots; returns the dropped attempts,
    /// each with the index of its next token.
    pub(super) fn abort_all(&mut self, now: Instant) -> Vec<(Name, Attempt, u64)> {
        self.advance(now);
        let steps = self.steps;
        let waiting = self.waiting.drain(..).map(|it| (it.instance, it.attempt, 0));
        let streams = self.streams.drain(..).map(|it| {
            let remaining = (it.last_step - steps).ceil().max(0.0) as u64;
            (it.instance, it.attempt, it.output_tokens.saturating_sub(remaining))
        });
        let out = waiting.chain(streams).collect();
        self.reserved_blocks.clear();
        out
    }
}
