//! Policy runs on virtual time over the real reducer, each against baselines in the same run.

pub mod limits;

use clap::ValueEnum;

/// What is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The pools of the Board.
    Board,
    /// The pools of the association.
    Association,
    /// Rates of six instances without faults.
    LimitsSix,
    /// Rates of six instances with deaths and a data centre cut off.
    LimitsFaults,
    /// Rates at the target size.
    LimitsLarge,
}

/// Runs a scenario and prints its figures.
///
/// # Errors
///
/// The scenario has no runner yet.
pub fn run(scenario: Scenario, seed: u64) -> anyhow::Result<()> {
    match scenario {
        Scenario::LimitsSix => limits::quiet(seed),
        Scenario::LimitsFaults => limits::faults(seed),
        Scenario::LimitsLarge => limits::large(seed),
        scenario => anyhow::bail!("no runner for {scenario:?} yet"),
    }
}
