//! Shrinking of failing cases.

use siskinstile_core::fault::Fault;

use super::{Case, Violation, run};

/// Removes chunks of operations, first of half the case and then of smaller sizes, and keeps each
/// removal after which the same invariant is still violated.
///
/// Returns the shrunk case with its violation.
pub fn shrink(case: Case, violation: Violation, injected: Option<Fault>) -> (Case, Violation) {
    let (mut case, mut violation) = (case, violation);
    let mut chunk_size = case.ops.len() / 2;
    while chunk_size > 0 {
        let mut start = 0;
        while start < case.ops.len() {
            let mut candidate = case.clone();
            candidate.ops.drain(start..(start + chunk_size).min(case.ops.len()));
            let violations = run(&candidate, injected).violations;
            match violations.into_iter().find(|it| it.invariant == violation.invariant) {
                Some(found) => (case, violation) = (candidate, found),
                None => start += chunk_size,
            }
        }
        chunk_size /= 2;
    }
    (case, violation)
}
