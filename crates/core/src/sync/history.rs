//! The latest changes, from which deltas for peers that are a few generations behind are built.

use std::{collections::VecDeque, sync::Arc};

use siskinstile_macros::value;

use crate::{
    chunk::{self, Change},
    object::{Name, Set},
};

/// Largest number of generations that are kept.
const MAX_STEPS: usize = 64;
/// Largest number of changes in one step; a larger step clears the history.
const MAX_CHANGES: usize = 256;

/// The changes from one generation to the next that this instance adopted.
#[value]
struct Step {
    from: u64,
    to: u64,
    digest: Name,
    changes: Arc<[Change]>,
}

/// The latest changes, oldest first.
#[value(default)]
pub(super) struct History {
    steps: VecDeque<Step>,
}

impl History {
    /// Records the changes between two adopted generations.
    ///
    /// The first adoption (`from` is 0) and a step with too many changes clear the history.
    pub(super) fn record(&mut self, from: u64, to: u64, digest: Name, old: &Set, new: &Set) {
        let changes = match from {
            0 => Vec::new(),
            _ => chunk::diff(old, new),
        };
        if from == 0 || changes.len() > MAX_CHANGES {
            self.steps.clear();
            return;
        }
        self.steps.push_back(Step { from, to, digest, changes: changes.into() });
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns the newest generation, its digest and the changes that lead to it from `generation`;
    /// none if the history does not go back to `generation`.
    pub(super) fn since(&self, generation: u64) -> Option<(u64, Name, Vec<Change>)> {
        let start = self.steps.iter().position(|it| it.from == generation)?;
        let last = self.steps.back()?;
        let changes = self.steps.iter().skip(start).flat_map(|it| it.changes.iter().cloned());
        Some((last.to, last.digest.clone(), changes.collect()))
    }
}
