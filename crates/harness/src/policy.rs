//! Policy runs on virtual time over the real reducer, each against baselines in the same run.

use clap::ValueEnum;

/// What is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The pools of the Board.
    Board,
    /// The pools of the association.
    Association,
}

/// Runs a scenario and prints its figures.
///
/// # Errors
///
/// The scenario has no runner yet.
pub fn run(scenario: Scenario, _seed: u64) -> anyhow::Result<()> {
    anyhow::bail!("no runner for {scenario:?} yet")
}
