//! The baselines: buckets at each instance that know of no other, and one central bucket.

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    limit::{EvenSplit, Verdict},
    object::{Name, Team},
};

use super::judge::Judge;

/// The name under which the central bucket keeps its only instance.
const CENTRAL: &str = "central";

/// Buckets that need no messages.
pub(super) struct Baseline {
    pub(super) judge: Judge,
    title: &'static str,
    parts: u64,
    central: bool,
    instances: IndexMap<Name, EvenSplit>,
}

impl Baseline {
    /// Each of `parts` instances has an equal part.
    pub(super) fn even(parts: u64) -> Baseline {
        Baseline::new("even split", parts, false)
    }

    /// Each instance has the whole.
    pub(super) fn uncoordinated() -> Baseline {
        Baseline::new("no coordination", 1, false)
    }

    /// One bucket, reached at once and never away.
    pub(super) fn central() -> Baseline {
        Baseline::new("central, ideal", 1, true)
    }

    fn new(title: &'static str, parts: u64, central: bool) -> Baseline {
        Baseline { judge: Judge::default(), title, parts, central, instances: IndexMap::new() }
    }

    /// Takes a request at an instance; returns whether it is granted.
    pub(super) fn take(
        &mut self,
        now: Instant,
        side: usize,
        instance: &Name,
        team: &Team,
        tokens: u64,
    ) -> bool {
        let parts = self.parts;
        let name = if self.central { CENTRAL.into() } else { instance.clone() };
        let split = self.instances.entry(name).or_insert_with(|| EvenSplit::new(parts));
        let granted = split.take(now, team, tokens) == Verdict::Granted;
        match granted {
            true => {
                self.judge.granted();
                self.judge.entry(now, side, team, tokens as i64);
            }
            false => {
                self.judge.refused(now, side, team, tokens);
            }
        }
        granted
    }

    /// Gives back what a request did not use.
    pub(super) fn give_back(
        &mut self,
        now: Instant,
        side: usize,
        instance: &Name,
        team: &Team,
        tokens: u64,
    ) {
        let name = if self.central { CENTRAL.into() } else { instance.clone() };
        if let Some(split) = self.instances.get_mut(&name) {
            split.refund(now, team, tokens);
            self.judge.entry(now, side, team, -(tokens as i64));
        }
    }

    /// An instance has started anew.
    pub(super) fn restart(&mut self, instance: &Name) {
        if !self.central {
            self.instances.swap_remove(instance);
        }
    }

    pub(super) fn print(&self) {
        self.judge.counts.print(self.title);
    }
}
