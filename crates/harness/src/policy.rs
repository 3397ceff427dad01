//! Policy runs on virtual time over the real reducer, each against baselines in the same run.

pub mod engine;
pub mod limits;
pub mod placement;

use clap::ValueEnum;

use placement::Site;

/// What is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The pools of the Board.
    Board,
    /// The pools of the association.
    Association,
    /// A pool of 190 workers.
    LargePool,
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
/// The figures cannot be printed.
pub fn run(scenario: Scenario, seed: u64) -> anyhow::Result<()> {
    match scenario {
        Scenario::LimitsSix => limits::quiet(seed),
        Scenario::LimitsFaults => limits::faults(seed),
        Scenario::LimitsLarge => limits::large(seed),
        Scenario::Board => placement::run(Site::Board, seed),
        Scenario::Association => placement::run(Site::Association, seed),
        Scenario::LargePool => placement::run(Site::LargePool, seed),
    }
}
