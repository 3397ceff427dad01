//! Makes a failing case shorter.

use siskinstile_core::fault::Fault;

use super::{Case, Violation, run};

/// Removes operations while the same promise breaks.
pub fn shrink(case: Case, violation: Violation, injected: Option<Fault>) -> (Case, Violation) {
    let (mut case, mut violation) = (case, violation);
    let mut size = case.ops.len() / 2;
    while size > 0 {
        let mut start = 0;
        while start < case.ops.len() {
            let mut shorter = case.clone();
            shorter.ops.drain(start..(start + size).min(case.ops.len()));
            let found = run(&shorter, injected).violations;
            match found.into_iter().find(|it| it.promise == violation.promise) {
                Some(found) => (case, violation) = (shorter, found),
                None => start += size,
            }
        }
        size /= 2;
    }
    (case, violation)
}
