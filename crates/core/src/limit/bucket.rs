//! A part of a team's token bucket.

use std::time::Duration;

use siskinstile_macros::value;

use crate::{Instant, object::Team};

use super::{DRIFT_PPM, participant::WHOLE_PPM};

/// Levels are counted in 10^-12 tokens, so that a part of a rate adds whole units in each
/// microsecond and nothing is lost to rounding.
const UNITS: u128 = 1_000_000_000_000;

/// A part of a team's rate and burst.
#[value(id)]
pub struct Share {
    /// Units earned in a microsecond.
    rate: u128,
    /// Most units.
    burst: u128,
}

impl Share {
    /// Returns `ppm` millionths of a team's rate and burst, on a clock that may run fast by
    /// [`DRIFT_PPM`].
    pub fn new(team: &Team, ppm: u64) -> Share {
        let slow = u128::from(WHOLE_PPM - DRIFT_PPM);
        let ideal = Share::ideal(team, ppm);
        Share { rate: ideal.rate * slow / u128::from(WHOLE_PPM), burst: ideal.burst }
    }

    /// Returns `ppm` millionths of a team's rate and burst, on a clock that is right.
    pub fn ideal(team: &Team, ppm: u64) -> Share {
        let ppm = u128::from(ppm);
        let burst = u128::from(team.burst) * ppm * (UNITS / u128::from(WHOLE_PPM));
        Share { rate: u128::from(team.rate) * ppm, burst }
    }

    /// Returns the tokens in the part some time after it had `tokens`.
    pub fn tokens_after(&self, tokens: u64, time: Duration) -> u64 {
        let level = u128::from(tokens) * UNITS + time.as_micros() * self.rate;
        (level.min(self.burst) / UNITS) as u64
    }

    /// Returns the time in which the part earns tokens.
    pub fn time_for(&self, tokens: u64) -> Duration {
        let micros = (u128::from(tokens) * UNITS).div_ceil(self.rate.max(1));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// The level of a part.
#[value(id)]
pub struct Bucket {
    level: u128,
    at: Instant,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn empty(now: Instant) -> Bucket {
        Bucket { level: 0, at: now }
    }

    /// Creates a full bucket.
    pub fn full(now: Instant, part: &Share) -> Bucket {
        Bucket { level: part.burst, at: now }
    }

    /// Adds what was earned; the level together with what is `lent` stays within the burst.
    pub fn settle(&mut self, now: Instant, part: &Share, lent: u64) {
        let earned = now.since(self.at).as_micros() * part.rate;
        self.at = self.at.max(now);
        self.level = (self.level + earned).min(room(part, lent));
    }

    /// Returns the whole tokens in it.
    pub fn tokens(&self) -> u64 {
        (self.level / UNITS) as u64
    }

    /// Takes tokens that are there.
    pub fn take(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(u128::from(tokens) * UNITS);
    }

    /// Puts tokens back, as far as the burst has room beside what is `lent`.
    pub fn put(&mut self, tokens: u64, part: &Share, lent: u64) {
        let most = room(part, lent).max(self.level);
        self.level = (self.level + u128::from(tokens) * UNITS).min(most);
    }
}

fn room(part: &Share, lent: u64) -> u128 {
    part.burst.saturating_sub(u128::from(lent) * UNITS)
}
