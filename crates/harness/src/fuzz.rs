//! Stateful fuzzing of several instances against a simple oracle.
//!
//! A case is a seed and a list of operations: requests, deaths, pauses, bad links, a bad platform,
//! bad endpoints. The same case always gives the same run, so a failing one can be shrunk and
//! replayed.

pub mod case;
pub mod model;
pub mod oracle;
mod runner;
mod shrink;

use siskinstile_core::fault::Fault;

pub use case::Case;
pub use oracle::{Promise, Violation};
pub use runner::run;
pub use shrink::shrink;

/// A case whose run broke a promise.
#[derive(Debug, Clone)]
pub struct Finding {
    /// The case, shrunk.
    pub case: Case,
    /// What did not hold.
    pub violation: Violation,
}

/// What a search came to.
#[derive(Debug, Default)]
pub struct Report {
    /// Steps that the reducers took.
    pub steps: u64,
    /// Cases that were run.
    pub cases: u64,
    /// The first failing case, if any.
    pub finding: Option<Finding>,
}

/// Runs cases from `seed` on until a promise breaks or `steps` steps are done.
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
