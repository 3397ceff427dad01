//! Choices on loads that are not known to the moment.
//!
//! Instances that have heard the same of an engine would all choose the one that had least, until they hear
//! of one another's choices. Each choice therefore adds to an engine's cost a part, different for each request,
//! of what may have come there since its load was told.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How old loads may be, and what tells one choice from others.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// Differs between requests.
    pub seed: u64,
    /// Time between reports on engines of the own data centre.
    pub local: Duration,
    /// Time between reports on engines of other data centres.
    pub remote: Duration,
}

impl Spread {
    /// Returns what is added to an engine's cost, of `most` where all of its load may have changed.
    ///
    /// `turnover` is the time in which the load of an engine changes entirely.
    pub fn cost(&self, engine: &str, is_local: bool, turnover: Duration, most: f64) -> f64 {
        let age = if is_local { self.local } else { self.remote };
        let changed = age.as_secs_f64() / turnover.max(Duration::from_millis(1)).as_secs_f64();
        most * changed.min(1.0) * self.draw(engine)
    }

    /// Returns a number from 0 to 1.
    fn draw(&self, engine: &str) -> f64 {
        xxh3_64_with_seed(engine.as_bytes(), self.seed) as f64 / u64::MAX as f64
    }
}
