//! A decode engine: places, memory in pieces and a batch that slows as it fills.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    object::{Endpoint, Name},
};

use super::{Attempt, PIECE_TOKENS};

/// Time of a step with an empty batch, in microseconds.
const STEP_BASE_US: f64 = 18_000.0;
/// More time for each request of the batch, in microseconds.
const STEP_EACH_US: f64 = 1_600.0;

/// Returns the time of a step with so many requests in the batch.
pub fn step_seconds(batch: f64) -> f64 {
    (STEP_BASE_US + STEP_EACH_US * batch) / 1e6
}

/// Something to be reported of a stream.
pub(super) struct Told {
    pub(super) instance: Name,
    pub(super) attempt: Attempt,
    /// All tokens of the answer, if it has ended; else its first token has come.
    pub(super) ended: Option<u64>,
}

struct Stream {
    instance: Name,
    attempt: Attempt,
    first: f64,
    end: f64,
    output: u64,
    told: bool,
}

struct Waiting {
    instance: Name,
    attempt: Attempt,
    pieces: u64,
}

pub(super) struct Decode {
    pub(super) slow: f64,
    /// Changes with each change of what is due.
    pub(super) version: u64,
    places: usize,
    pieces: u64,
    held: IndexMap<Attempt, u64>,
    waiting: VecDeque<Waiting>,
    streams: Vec<Stream>,
    /// Steps taken since the start.
    steps: f64,
    at: Instant,
}

impl Decode {
    pub(super) fn new(endpoint: &Endpoint) -> Decode {
        Decode {
            slow: 1.0,
            version: 0,
            places: endpoint.slots as usize,
            pieces: endpoint.memory / PIECE_TOKENS,
            held: IndexMap::new(),
            waiting: VecDeque::new(),
            streams: Vec::new(),
            steps: 0.0,
            at: Instant::default(),
        }
    }

    pub(super) fn load(&self) -> (u32, u32) {
        (self.held.len() as u32, self.waiting.len() as u32)
    }

    fn step_us(&self) -> f64 {
        step_seconds(self.streams.len() as f64) * 1e6 * self.slow
    }

    pub(super) fn advance(&mut self, now: Instant) {
        self.steps += now.since(self.at).as_micros() as f64 / self.step_us();
        self.at = self.at.max(now);
    }

    /// Returns when something is next to be reported.
    pub(super) fn due(&self, now: Instant) -> Option<Instant> {
        let next = self.streams.iter().map(|it| if it.told { it.end } else { it.first });
        let steps = next.fold(f64::INFINITY, f64::min) - self.steps;
        let us = (steps.max(0.0) * self.step_us()).ceil() as u64;
        (!self.streams.is_empty()).then(|| now + Duration::from_micros(us + 1))
    }

    /// Asks for a place.
    pub(super) fn ask(&mut self, instance: Name, attempt: Attempt, pieces: u64) {
        self.waiting.push_back(Waiting { instance, attempt, pieces });
    }

    /// Gives the first that waits a place, if there is one with memory.
    pub(super) fn take_waiting(&mut self) -> Option<(Name, Attempt)> {
        let used: u64 = self.held.values().sum();
        let first = self.waiting.front()?;
        if self.held.len() >= self.places || used + first.pieces > self.pieces {
            return None;
        }
        let first = self.waiting.pop_front()?;
        self.held.insert(first.attempt, first.pieces);
        Some((first.instance, first.attempt))
    }

    /// Takes an attempt out of those that wait; returns the instance that asked.
    pub(super) fn stop_waiting(&mut self, attempt: Attempt) -> Option<Name> {
        let index = self.waiting.iter().position(|it| it.attempt == attempt)?;
        self.waiting.remove(index).map(|it| it.instance)
    }

    /// Starts the stream of an attempt that holds a place.
    pub(super) fn stream(
        &mut self,
        now: Instant,
        instance: Name,
        attempt: Attempt,
        from_index: u64,
        output: u64,
    ) -> bool {
        self.advance(now);
        if !self.held.contains_key(&attempt) {
            return false;
        }
        let left = output.saturating_sub(from_index).max(1) as f64;
        let (first, end) = (self.steps + 1.0, self.steps + left);
        self.streams.push(Stream { instance, attempt, first, end, output, told: false });
        true
    }

    /// Frees what an attempt holds or waits for; returns whether it had a stream.
    pub(super) fn free(&mut self, now: Instant, attempt: Attempt) -> bool {
        self.advance(now);
        self.held.swap_remove(&attempt);
        self.stop_waiting(attempt);
        let before = self.streams.len();
        self.streams.retain(|it| it.attempt != attempt);
        self.streams.len() < before
    }

    /// Returns what is to be reported now and frees the places of what has ended.
    pub(super) fn tell(&mut self, now: Instant) -> Vec<Told> {
        self.advance(now);
        let mut out = Vec::new();
        let steps = self.steps + 1e-6;
        for stream in self.streams.iter_mut().filter(|it| !it.told && it.first <= steps) {
            stream.told = true;
            let (instance, attempt) = (stream.instance.clone(), stream.attempt);
            out.push(Told { instance, attempt, ended: None });
        }
        for stream in self.streams.extract_if(.., |it| it.told && it.end <= steps) {
            self.held.swap_remove(&stream.attempt);
            let Stream { instance, attempt, output, .. } = stream;
            out.push(Told { instance, attempt, ended: Some(output) });
        }
        out
    }

    /// Ends everything; returns what broke, with the index of the next token.
    pub(super) fn clear(&mut self, now: Instant) -> Vec<(Name, Attempt, u64)> {
        self.advance(now);
        let steps = self.steps;
        let waiting = self.waiting.drain(..).map(|it| (it.instance, it.attempt, 0));
        let streams = self.streams.drain(..).map(|it| {
            let left = (it.end - steps).ceil().max(0.0) as u64;
            (it.instance, it.attempt, it.output.saturating_sub(left))
        });
        let out = waiting.chain(streams).collect();
        self.held.clear();
        out
    }
}
