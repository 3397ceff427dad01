//! Baseline limiters: independent buckets per instance, and one central bucket.

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    limit::{EvenSplit, Verdict},
    object::{Name, Team},
};

use super::oracle::Oracle;

/// Instance name under which the central baseline keeps its only bucket.
const CENTRAL: &str = "central";

/// A limiter that exchanges no messages, with its oracle.
pub(super) struct Baseline {
    pub(super) oracle: Oracle,
    label: &'static str,
    shares: u64,
    central: bool,
    instances: IndexMap<Name, EvenSplit>,
}

impl Baseline {
    /// Gives each of `shares` instances an equal share of the rate and the burst.
    pub(super) fn even(shares: u64) -> Baseline {
        Baseline::new("even split", shares, false)
    }

    /// Gives each instance the full rate and burst.
    pub(super) fn uncoordinated() -> Baseline {
        Baseline::new("no coordination", 1, false)
    }

    /// Uses one bucket for the fleet that is always reachable without delay.
    pub(super) fn central() -> Baseline {
        Baseline::new("central, ideal", 1, true)
    }

    fn new(label: &'static str, shares: u64, central: bool) -> Baseline {
        Baseline { oracle: Oracle::default(), label, shares, central, instances: IndexMap::new() }
    }

    /// Decides on a request at an instance; returns whether it is granted.
    pub(super) fn take(
        &mut self,
        now: Instant,
        side: usize,
        instance: &Name,
        team: &Team,
        tokens: u64,
    ) -> bool {
        let shares = self.shares;
        let name = if self.central { CENTRAL.into() } else { instance.clone() };
        let split = self.instances.entry(name).or_insert_with(|| EvenSplit::new(shares));
        let granted = split.take(now, team, tokens) == Verdict::Granted;
        match granted {
            true => {
                self.oracle.record_grant();
                self.oracle.record_entry(now, side, team, tokens as i64);
            }
            false => {
                self.oracle.record_refusal(now, side, team, tokens);
            }
        }
        granted
    }

    /// Refunds the tokens that a request did not use.
    pub(super) fn refund(
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
            self.oracle.record_entry(now, side, team, -(tokens as i64));
        }
    }

    /// Resets the bucket of an instance that has restarted; the central bucket is kept.
    pub(super) fn restart(&mut self, instance: &Name) {
        if !self.central {
            self.instances.swap_remove(instance);
        }
    }

    pub(super) fn print(&self) {
        self.oracle.counts.print(self.label);
    }
}
