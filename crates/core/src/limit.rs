//! Teams' rates and bursts.
//!
//! Each instance spends an equal part of every team's rate and burst. The parts of all instances
//! together never pass the whole.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant,
    object::{Name, Team},
};

/// Tokens are counted in millionths, so that a rate in tokens a second adds whole units in each
/// microsecond.
const UNITS: u64 = 1_000_000;

/// Whether a request may spend.
#[value(eq)]
pub enum Verdict {
    /// The tokens are taken.
    Granted,
    /// They are not; this is when they could be.
    Refused {
        /// Time until the bucket holds enough.
        retry_after: Duration,
    },
}

/// One team's part.
#[value]
struct Bucket {
    units: u64,
    at: Instant,
}

/// The buckets of all teams.
#[value]
pub struct Limiter {
    parts: u64,
    buckets: IndexMap<Name, Bucket>,
}

impl Limiter {
    /// Creates the buckets of one of `parts` instances.
    pub fn new(parts: u64) -> Limiter {
        Limiter { parts: parts.max(1), buckets: IndexMap::new() }
    }

    /// Takes tokens of a team.
    pub fn take(&mut self, now: Instant, team: &Team, tokens: u64) -> Verdict {
        let most = team.burst * UNITS / self.parts;
        let rate = (team.rate / self.parts).max(1);
        let wanted = tokens * UNITS;
        let bucket =
            self.buckets.entry(team.name.clone()).or_insert(Bucket { units: most, at: now });
        let earned = now.since(bucket.at).as_micros() as u64 * rate;
        bucket.units = (bucket.units + earned).min(most);
        bucket.at = now;
        if bucket.units >= wanted {
            bucket.units -= wanted;
            return Verdict::Granted;
        }
        let missing = wanted - bucket.units;
        Verdict::Refused { retry_after: Duration::from_micros(missing.div_ceil(rate)) }
    }

    /// Gives back tokens that were taken and not used.
    pub fn give_back(&mut self, team: &Team, tokens: u64) {
        let most = team.burst * UNITS / self.parts;
        if let Some(bucket) = self.buckets.get_mut(&team.name) {
            bucket.units = (bucket.units + tokens * UNITS).min(most);
        }
    }
}
