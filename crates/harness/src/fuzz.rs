//! Stateful fuzzing of several instances against an oracle.
//!
//! A case is a seed and a list of operations: requests, and faults of instances, links, platform
//! and endpoints. A run is deterministic, so a failing case can be shrunk and replayed.

pub mod case;
pub mod model;
pub mod oracle;
mod runner;
mod shrink;

use siskinstile_core::fault::Fault;

pub use case::Case;
pub use oracle::{Invariant, Violation};
pub use runner::run;
pub use shrink::shrink;

/// A case whose run violated an invariant.
#[derive(Debug, Clone)]
pub struct Finding {
    /// The case after shrinking.
    pub case: Case,
    /// The violation that the shrunk case causes.
    pub violation: Violation,
}

/// Result of a search.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of events that the reducers have processed, without those of shrinking.
    pub steps: u64,
    /// Number of cases run, without those run to shrink a failing one.
    pub cases: u64,
    /// The first failing case, if any.
    pub finding: Option<Finding>,
}

/// Runs the cases of consecutive seeds from `seed` until one violates an invariant or the reducers
/// have processed at least `steps` events. A failing case is shrunk.
pub fn search(seed: u64, steps: u64, injected: Option<Fault>) -> Report {
    let mut report = Report::default();
    while report.steps < steps {
        let case = Case::generate(seed + report.cases);
        let result = run(&case, injected);
        report.cases += 1;
        report.steps += result.steps;
        if let Some(violation) = result.violations.into_iter().next() {
            let (case, violation) = shrink(case, violation, injected);
            report.finding = Some(Finding { case, violation });
            break;
        }
    }
    report
}
