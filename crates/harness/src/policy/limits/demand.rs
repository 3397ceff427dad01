//! The demand of teams: arrivals at random with bursts, and costs over a wide range.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Returns the time to the next arrival of a Poisson process.
pub(super) fn gap(rng: &mut impl Rng, per_second: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64((-uniform.ln() / per_second).min(86_400.0))
}

/// Returns a cost between `least` and `most` tokens, evenly on a logarithmic scale.
pub(super) fn cost(rng: &mut impl Rng, least: u64, most: u64) -> u64 {
    let (low, high) = ((least as f64).ln(), (most as f64).ln());
    rng.random_range(low..=high).exp() as u64
}

/// Returns the mean of [`cost`].
pub(super) fn mean_cost(least: u64, most: u64) -> f64 {
    let (least, most) = (least as f64, most as f64);
    (most - least) / (most.ln() - least.ln())
}

/// Returns the index that weights choose.
pub(super) fn choose(rng: &mut impl Rng, weights: &[f64]) -> usize {
    let mut rest = rng.random_range(0.0..weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        if rest < *weight {
            return index;
        }
        rest -= weight;
    }
    weights.len() - 1
}
