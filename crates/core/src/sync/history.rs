//! The latest changes, for peers that are a little behind.

use std::{collections::VecDeque, sync::Arc};

use siskinstile_macros::value;

use crate::{
    chunk::{self, Change},
    object::{Name, Set},
};

/// Generations that are remembered.
const LIMIT: usize = 64;
/// Changes of one generation beyond which it is not remembered.
const CHANGES_LIMIT: usize = 256;

/// What led from one generation to the next that this instance took.
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
    /// Notes what led to a generation.
    pub(super) fn note(&mut self, from: u64, to: u64, digest: Name, old: &Set, new: &Set) {
        let changes = match from {
            0 => Vec::new(),
            _ => chunk::diff(old, new),
        };
        if from == 0 || changes.len() > CHANGES_LIMIT {
            self.steps.clear();
            return;
        }
        self.steps.push_back(Step { from, to, digest, changes: changes.into() });
        if self.steps.len() > LIMIT {
            self.steps.pop_front();
        }
    }

    /// Returns what leads from a generation to the newest: that one, its digest and the changes.
    pub(super) fn since(&self, generation: u64) -> Option<(u64, Name, Vec<Change>)> {
        let start = self.steps.iter().position(|it| it.from == generation)?;
        let last = self.steps.back()?;
        let changes = self.steps.iter().skip(start).flat_map(|it| it.changes.iter().cloned());
        Some((last.to, last.digest.clone(), changes.collect()))
    }
}
