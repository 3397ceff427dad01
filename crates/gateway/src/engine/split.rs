//! How a pool's engines are divided between computing prompts and generating tokens.

use siskinstile_macros::value;

use crate::directory::Stage;

/// Part of the time that prefill engines may be busy when all decode engines are full.
const PREFILL_USE: f64 = 0.65;
/// Part of an engine by which prefill engines may be fewer than wanted after one has turned.
const MARGIN: f64 = 0.2;
/// Prefill engines that are left at least.
const LEAST_PREFILL: usize = 2;
/// Decode engines that are left at least.
const LEAST_DECODE: usize = 2;

/// What a mean request takes of engines.
#[value]
pub struct Demand {
    /// Time for which its prompt keeps a prefill engine busy, in milliseconds.
    pub prompt_ms: f64,
    /// Time that it stays at a decode engine, in milliseconds.
    pub stay_ms: f64,
    /// Part of a decode engine's memory that it takes.
    pub memory: f64,
}

impl Demand {
    /// Returns the part of the engines that should compute prompts.
    fn prefill_share(&self) -> f64 {
        let prefill = self.prompt_ms / PREFILL_USE;
        let decode = self.stay_ms * self.memory;
        prefill / (prefill + decode).max(f64::MIN_POSITIVE)
    }

    /// Returns what one engine should do instead, if the division is wrong by enough.
    pub fn rebalance(&self, prefills: usize, decodes: usize) -> Option<Stage> {
        let wanted = self.prefill_share() * (prefills + decodes) as f64;
        let have = prefills as f64;
        match () {
            () if have - 1.0 >= wanted - MARGIN && prefills > LEAST_PREFILL => Some(Stage::Decode),
            () if have + 1.0 <= wanted && decodes > LEAST_DECODE => Some(Stage::Prefill),
            () => None,
        }
    }
}
