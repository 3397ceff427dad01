//! Admission of plain requests, before endpoints let them wait in vain.
//!
//! A request is refused at once if no endpoint is expected to respond before its deadline. More urgent
//! requests go on arriving meanwhile, so that the time until it may be admitted depends on their share.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, engine::Rank};

/// Time in which the weight of an arrival halves.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Maximum share of more urgent arrivals, so that a retry-after time stays finite.
const MAX_SHARE: f64 = 0.9;

/// Recent arrivals for a service at this instance, by priorities of the team and the route.
#[value(default)]
pub struct Arrivals {
    /// Number of arrivals, weighted by their age.
    weights: IndexMap<(u32, u32), f64>,
    updated_at: Instant,
}

impl Arrivals {
    /// Records a request.
    pub fn record(&mut self, now: Instant, rank: Rank) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let decay = 0.5_f64.powf(half_lives);
        self.weights.values_mut().for_each(|it| *it *= decay);
        self.updated_at = now;
        *self.weights.entry(priorities(rank)).or_default() += 1.0;
    }

    /// Returns the share of the arrivals that go before those of a rank.
    fn more_urgent_share(&self, rank: Rank) -> f64 {
        let all: f64 = self.weights.values().sum();
        let urgent = self.weights.iter().filter(|(it, _)| **it < priorities(rank));
        urgent.map(|(_, it)| it).sum::<f64>() / all.max(f64::MIN_POSITIVE)
    }

    /// Returns the time after which a request of a rank may be admitted that is expected to be answered
    /// after `expected` and has `time_left`; `None` if it is admitted now.
    pub fn refuse(&self, rank: Rank, expected: Duration, time_left: Duration) -> Option<Duration> {
        let excess = expected.saturating_sub(time_left);
        let share = self.more_urgent_share(rank).min(MAX_SHARE);
        (!excess.is_zero()).then(|| excess.div_f64(1.0 - share))
    }
}

fn priorities(rank: Rank) -> (u32, u32) {
    (rank.team_priority, rank.route_priority)
}
