//! Estimates from past requests: output length and placement rate.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant,
    object::{Name, Urgency},
};

/// Largest number of pairs of route and team for which the output length is kept.
const MAX_PAIRS: usize = 16_384;
/// Divisor of the moving average of the output length: a new sample has the weight of one over
/// this.
const OUTPUT_SMOOTHING: f64 = 16.0;
/// Time window over which placements are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Number of placements below which no rate is estimated.
const MIN_PLACEMENTS: usize = 16;

/// A team and latency class.
type Class = (Name, Urgency);

/// Mean output length by route and team, and recent placements by class.
#[value(default)]
pub(super) struct Estimates {
    outputs: IndexMap<(Name, Name), f64>,
    placements: VecDeque<(Instant, Class)>,
    class_counts: IndexMap<Class, u32>,
}

impl Estimates {
    /// Records the output length of a completed request, in tokens.
    pub(super) fn record_output(&mut self, route: &Name, team: &Name, tokens: u64) {
        let key = (route.clone(), team.clone());
        if self.outputs.len() >= MAX_PAIRS && !self.outputs.contains_key(&key) {
            self.outputs.swap_remove_index(0);
        }
        let mean = self.outputs.entry(key).or_insert(tokens as f64);
        *mean += (tokens as f64 - *mean) / OUTPUT_SMOOTHING;
    }

    /// Returns the expected output length, in tokens, or half of `max_tokens` without a sample.
    pub(super) fn expected_output(&self, route: &Name, team: &Name, max_tokens: u64) -> u64 {
        let mean = self.outputs.get(&(route.clone(), team.clone()));
        mean.map_or(max_tokens / 2, |it| (*it as u64).min(max_tokens)).max(1)
    }

    /// Records a placement.
    pub(super) fn record_placement(&mut self, now: Instant, team: &Name, urgency: Urgency) {
        let class = (team.clone(), urgency);
        *self.class_counts.entry(class.clone()).or_default() += 1;
        self.placements.push_back((now, class));
        self.expire(now);
    }

    /// Drops placements older than [`RATE_WINDOW`].
    pub(super) fn expire(&mut self, now: Instant) {
        while self.placements.front().is_some_and(|it| now.since(it.0) > RATE_WINDOW) {
            let Some((_, class)) = self.placements.pop_front() else { return };
            match self.class_counts.get_mut(&class) {
                Some(count) if *count > 1 => *count -= 1,
                _ => drop(self.class_counts.swap_remove(&class)),
            }
        }
    }

    /// Returns the placements per second of a class, or none while there are too few samples.
    pub(super) fn placement_rate(&self, team: &Name, urgency: Urgency) -> Option<f64> {
        let count = self.class_counts.get(&(team.clone(), urgency)).copied().unwrap_or(1);
        (self.placements.len() >= MIN_PLACEMENTS)
            .then(|| f64::from(count) / RATE_WINDOW.as_secs_f64())
    }
}
