//! Token bucket over a share of a team's rate and burst.

use std::time::Duration;

use siskinstile_macros::value;

use crate::{Instant, object::Team};

use super::{DRIFT_PPM, participant::WHOLE_PPM};

/// Units per token. Levels are counted in units of 10^-12 tokens, so that a share of a rate earns
/// whole units in each microsecond and nothing is lost to rounding.
const UNITS: u128 = 1_000_000_000_000;

/// A share of a team's rate and burst.
#[value(id)]
pub struct Share {
    /// Units earned per microsecond.
    rate: u128,
    /// Capacity, in units.
    burst: u128,
}

impl Share {
    /// Returns `ppm` millionths of a team's rate and burst. The rate is reduced by [`DRIFT_PPM`],
    /// so that a clock that runs fast does not earn too much.
    pub fn new(team: &Team, ppm: u64) -> Share {
        let safe_ppm = u128::from(WHOLE_PPM - DRIFT_PPM);
        let ideal = Share::ideal(team, ppm);
        Share { rate: ideal.rate * safe_ppm / u128::from(WHOLE_PPM), burst: ideal.burst }
    }

    /// Returns `ppm` millionths of a team's rate and burst, for an exact clock.
    pub fn ideal(team: &Team, ppm: u64) -> Share {
        let ppm = u128::from(ppm);
        let burst = u128::from(team.burst) * ppm * (UNITS / u128::from(WHOLE_PPM));
        Share { rate: u128::from(team.rate) * ppm, burst }
    }

    /// Returns the level of the share after `time`, if it was `tokens` before; capped at the burst.
    pub fn tokens_after(&self, tokens: u64, time: Duration) -> u64 {
        let level = u128::from(tokens) * UNITS + time.as_micros() * self.rate;
        (level.min(self.burst) / UNITS) as u64
    }

    /// Returns the time in which the share earns `tokens`.
    pub fn time_to_earn(&self, tokens: u64) -> Duration {
        let micros = (u128::from(tokens) * UNITS).div_ceil(self.rate.max(1));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Level of a token bucket.
#[value(id)]
pub struct Bucket {
    level: u128,
    updated: Instant,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn empty(now: Instant) -> Bucket {
        Bucket { level: 0, updated: now }
    }

    /// Creates a full bucket.
    pub fn full(now: Instant, share: &Share) -> Bucket {
        Bucket { level: share.burst, updated: now }
    }

    /// Adds the tokens earned since the last refill. The level plus the tokens on loan (`lent`)
    /// stays within the burst.
    pub fn refill(&mut self, now: Instant, share: &Share, lent: u64) {
        let earned = now.since(self.updated).as_micros() * share.rate;
        self.updated = self.updated.max(now);
        self.level = (self.level + earned).min(headroom(share, lent));
    }

    /// Returns the level, rounded down to whole tokens.
    pub fn tokens(&self) -> u64 {
        (self.level / UNITS) as u64
    }

    /// Deducts `tokens`; the level does not fall below zero.
    pub fn take(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(u128::from(tokens) * UNITS);
    }

    /// Returns tokens to the bucket, up to the burst less the tokens on loan (`lent`).
    pub fn credit(&mut self, tokens: u64, share: &Share, lent: u64) {
        let capacity = headroom(share, lent).max(self.level);
        self.level = (self.level + u128::from(tokens) * UNITS).min(capacity);
    }
}

fn headroom(share: &Share, lent: u64) -> u128 {
    share.burst.saturating_sub(u128::from(lent) * UNITS)
}
