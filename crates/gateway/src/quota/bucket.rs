//! The token bucket of a team, as one instance knows it.

use std::time::Duration;

use siskinstile_macros::value;

use crate::{Instant, catalog::Quota};

use super::Grant;

/// Fraction of the burst by which a replica may be overdrawn, since refunds are reported with a
/// delay.
const OVERDRAFT: f64 = 0.25;

/// Minimum time between two refills of a bucket that indicates that this instance may have been
/// paused.
const STALL_THRESHOLD: Duration = Duration::from_millis(900);

/// Time after a partition at which withheld units are dropped; peers that were unreachable have
/// reported their spending by then.
const WITHHELD_EXPIRY: Duration = Duration::from_secs(6);

/// Number of bursts by which spending of peers may take a replica below zero, so that spending that
/// became known late is compensated.
const MAX_DEBT: f64 = 4.0;

/// The replica of a team's token bucket.
#[value]
pub(super) struct Bucket {
    pub(super) quota: Quota,
    pub(super) level: f64,
    /// Units of the tolerance by which it may be overdrawn.
    pub(super) tolerated: f64,
    pub(super) refilled_at: Instant,
    /// Share of the rate left to unreachable members, and units above the burst that accrued while
    /// members were unreachable or this instance was paused; kept until the peers have reported
    /// what they spent in that time.
    pub(super) withheld: f64,
    /// When units were last withheld.
    pub(super) last_withheld: Instant,
}

impl Bucket {
    /// Adds what the rate has granted since the last refill, by the reachable share.
    pub(super) fn refill(&mut self, now: Instant, reachable_share: f64) {
        let elapsed = now.since(self.refilled_at);
        let earned = elapsed.as_secs_f64() * self.quota.rate as f64;
        let filled = self.level + earned * reachable_share;
        self.level = filled.min(self.quota.burst as f64);
        self.refilled_at = now;
        if reachable_share < 1.0 || elapsed >= STALL_THRESHOLD {
            self.withheld += earned * (1.0 - reachable_share) + (filled - self.level);
            self.last_withheld = now;
        } else if now.since(self.last_withheld) > WITHHELD_EXPIRY {
            self.withheld = 0.0;
        }
    }

    /// Deducts units, down to the maximum debt; a negative number is credited, up to the burst.
    pub(super) fn charge(&mut self, units: f64) {
        let burst = self.quota.burst as f64;
        let max_debt = burst * MAX_DEBT + self.tolerated;
        self.level = (self.level - units).clamp(-max_debt, burst);
    }

    /// Deducts units that a peer has spent while it was unreachable, first from the withheld units.
    pub(super) fn charge_withheld(&mut self, units: f64) {
        let covered = units.clamp(0.0, self.withheld);
        self.withheld -= covered;
        self.charge(units - covered);
    }

    /// Returns the units by which it may be overdrawn.
    pub(super) fn overdraft(&self, reachable_share: f64, grant: Grant) -> f64 {
        let unrefunded = if reachable_share < 1.0 { 0.0 } else { OVERDRAFT };
        let tolerated = match grant {
            Grant::Quota => 0.0,
            Grant::Tolerance => self.tolerated * reachable_share,
        };
        self.quota.burst as f64 * unrefunded + tolerated
    }
}
