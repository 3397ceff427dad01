//! Policy simulations: the production code on virtual time, compared with baselines in the same
//! run.

pub mod engine;
pub mod limits;
pub mod placement;

use clap::ValueEnum;

use placement::Site;

/// Scenario to simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Placement in the pool of the Board.
    Board,
    /// Placement in the pool of the association.
    Association,
    /// Placement in a pool of 190 workers.
    LargePool,
    /// Rate limits over six instances without faults.
    LimitsSix,
    /// Rate limits over six instances, with instances dying and a data centre cut off.
    LimitsFaults,
    /// Rate limits at the target size of the fleet.
    LimitsLarge,
}

/// Runs a scenario and prints its figures.
///
/// # Errors
///
/// The configuration objects of the scenario are invalid.
pub fn run(scenario: Scenario, seed: u64) -> anyhow::Result<()> {
    match scenario {
        Scenario::LimitsSix => limits::without_faults(seed),
        Scenario::LimitsFaults => limits::with_faults(seed),
        Scenario::LimitsLarge => limits::large(seed),
        Scenario::Board => placement::run(Site::Board, seed),
        Scenario::Association => placement::run(Site::Association, seed),
        Scenario::LargePool => placement::run(Site::LargePool, seed),
    }
}
