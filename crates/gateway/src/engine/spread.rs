//! Randomised costs that prevent herding on outdated loads.
//!
//! Instances with the same reported loads would all choose the least loaded engine until the next
//! heartbeats report these choices. Each choice therefore adds to an engine's cost a
//! pseudo-random fraction, different for each request, of the load that may have been added since
//! the last report.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of one choice, and the maximum ages of the loads that it is based on.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// Seed that differs between requests.
    pub seed: u64,
    /// Time between load reports from instances in the own data centre.
    pub local: Duration,
    /// Time between load reports from instances in other data centres.
    pub remote: Duration,
}

impl Spread {
    /// Returns the amount to add to an engine's cost, at most `max_cost`, which applies where all
    /// of its load may have changed.
    ///
    /// `turnover` is the time in which the load of an engine changes entirely.
    pub fn cost(&self, engine: &str, is_local: bool, turnover: Duration, max_cost: f64) -> f64 {
        let age = if is_local { self.local } else { self.remote };
        let changed_share =
            age.as_secs_f64() / turnover.max(Duration::from_millis(1)).as_secs_f64();
        max_cost * changed_share.min(1.0) * self.draw(engine)
    }

    /// Returns a number from 0 to 1 that is uniform over seeds and engines.
    fn draw(&self, engine: &str) -> f64 {
        xxh3_64_with_seed(engine.as_bytes(), self.seed) as f64 / u64::MAX as f64
    }
}
