//! Random demand of teams: Poisson arrivals and log-uniform request costs.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Returns the time to the next arrival of a Poisson process, at most one day.
pub(super) fn next_gap(rng: &mut impl Rng, per_second: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64((-uniform.ln() / per_second).min(86_400.0))
}

/// Returns a cost between `min_tokens` and `max_tokens`, uniform on a logarithmic scale.
pub(super) fn cost(rng: &mut impl Rng, min_tokens: u64, max_tokens: u64) -> u64 {
    let (low, high) = ((min_tokens as f64).ln(), (max_tokens as f64).ln());
    rng.random_range(low..=high).exp() as u64
}

/// Returns the expected value of [`cost`], in tokens.
pub(super) fn mean_cost(min_tokens: u64, max_tokens: u64) -> f64 {
    let (min_tokens, max_tokens) = (min_tokens as f64, max_tokens as f64);
    (max_tokens - min_tokens) / (max_tokens.ln() - min_tokens.ln())
}

/// Returns a random index, with probabilities proportional to `weights`.
pub(super) fn weighted_index(rng: &mut impl Rng, weights: &[f64]) -> usize {
    let mut remaining = rng.random_range(0.0..weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    weights.len() - 1
}
