//! What the dispatcher learns of requests: their output and how fast the pool takes them.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant,
    object::{Name, Urgency},
};

/// Pairs of route and team of which the output is kept.
const MOST_PAIRS: usize = 16_384;
/// Weight of a new sample, as one part in this number.
const SAMPLE_PARTS: f64 = 16.0;
/// Time over which placements are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Placements below which no rate is known.
const MOST_FEW: usize = 16;

/// A team's requests of one urgency.
type Class = (Name, Urgency);

/// Mean output by route and team, and recent placements.
#[value(default)]
pub(super) struct Learn {
    outputs: IndexMap<(Name, Name), f64>,
    placed: VecDeque<(Instant, Class)>,
    counts: IndexMap<Class, u32>,
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

    /// Notes a placement of a team's class of urgency.
    pub(super) fn placed(&mut self, now: Instant, team: &Name, urgency: Urgency) {
        let class = (team.clone(), urgency);
        *self.counts.entry(class.clone()).or_default() += 1;
        self.placed.push_back((now, class));
        self.expire(now);
    }

    /// Forgets placements that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.placed.front().is_some_and(|it| now.since(it.0) > RATE_WINDOW) {
            let Some((_, class)) = self.placed.pop_front() else { return };
            match self.counts.get_mut(&class) {
                Some(count) if *count > 1 => *count -= 1,
                _ => drop(self.counts.swap_remove(&class)),
            }
        }
    }

    /// Returns how many of a class are placed a second, or none while too few are known.
    pub(super) fn rate(&self, team: &Name, urgency: Urgency) -> Option<f64> {
        let count = self.counts.get(&(team.clone(), urgency)).copied().unwrap_or(1);
        (self.placed.len() >= MOST_FEW).then(|| f64::from(count) / RATE_WINDOW.as_secs_f64())
    }
}
