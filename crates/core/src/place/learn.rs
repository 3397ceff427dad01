//! What the dispatcher learns of requests: their output and how fast the pool takes them.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, object::Name};

/// Pairs of route and team of which the output is kept.
const MOST_PAIRS: usize = 16_384;
/// Weight of a new sample, as one part in this number.
const SAMPLE_PARTS: f64 = 16.0;
/// Time over which placements are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Mean output by route and team, and recent placements.
#[value(default)]
pub(super) struct Learn {
    outputs: IndexMap<(Name, Name), f64>,
    placed: VecDeque<Instant>,
}

impl Learn {
    /// Notes the output of a request.
    pub(super) fn ended(&mut self, route: &Name, team: &Name, tokens: u64) {
        let key = (route.clone(), team.clone());
        if self.outputs.len() >= MOST_PAIRS && !self.outputs.contains_key(&key) {
            self.outputs.swap_remove_index(0);
        }
        let mean = self.outputs.entry(key).or_insert(tokens as f64);
        *mean += (tokens as f64 - *mean) / SAMPLE_PARTS;
    }

    /// Returns the output to be expected.
    pub(super) fn output(&self, route: &Name, team: &Name, most: u64) -> u64 {
        let mean = self.outputs.get(&(route.clone(), team.clone()));
        mean.map_or(most / 2, |it| (*it as u64).min(most)).max(1)
    }

    /// Notes a placement.
    pub(super) fn placed(&mut self, now: Instant) {
        self.placed.push_back(now);
        self.expire(now);
    }

    /// Forgets placements that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.placed.front().is_some_and(|at| now.since(*at) > RATE_WINDOW) {
            self.placed.pop_front();
        }
    }

    /// Returns placements a second, or none while too few are known.
    pub(super) fn rate(&self, now: Instant) -> Option<f64> {
        let first = *self.placed.front()?;
        let seconds = now.since(first).as_secs_f64().max(0.5);
        (self.placed.len() >= 4).then(|| self.placed.len() as f64 / seconds)
    }
}
