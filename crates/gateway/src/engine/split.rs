//! Division of a pool's engines into prefill and decode engines.

use siskinstile_macros::value;

use crate::directory::Stage;

/// Target utilisation of prefill engines while all decode engines are full.
const PREFILL_UTILISATION: f64 = 0.65;
/// Fraction of an engine by which the prefill engines may fall short of the target after one has
/// become a decode engine.
const MARGIN: f64 = 0.2;
/// Minimum number of prefill engines.
const MIN_PREFILL: usize = 2;
/// Minimum number of decode engines.
const MIN_DECODE: usize = 2;

/// Demand of an average request on the engines.
#[value]
pub struct Demand {
    /// Time for which its prompt occupies a prefill engine, in milliseconds.
    pub prompt_ms: f64,
    /// Time for which it occupies memory of a decode engine, in milliseconds.
    pub stay_ms: f64,
    /// Fraction of a decode engine's memory that it occupies.
    pub memory_share: f64,
}

impl Demand {
    /// Returns the fraction of the engines that should be prefill engines.
    fn prefill_share(&self) -> f64 {
        let prefill = self.prompt_ms / PREFILL_UTILISATION;
        let decode = self.stay_ms * self.memory_share;
        prefill / (prefill + decode).max(f64::MIN_POSITIVE)
    }

    /// Returns the stage that one engine of the other stage should change to, or `None` if the
    /// division is close enough to the target.
    pub fn rebalance(&self, prefills: usize, decodes: usize) -> Option<Stage> {
        let target = self.prefill_share() * (prefills + decodes) as f64;
        let current = prefills as f64;
        match () {
            () if current - 1.0 >= target - MARGIN && prefills > MIN_PREFILL => Some(Stage::Decode),
            () if current + 1.0 <= target && decodes > MIN_DECODE => Some(Stage::Prefill),
            () => None,
        }
    }
}
