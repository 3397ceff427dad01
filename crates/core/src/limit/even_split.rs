//! Even split of each rate over the instances: a baseline for comparison that needs no messages.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{Cause, Verdict, bucket::Bucket, bucket::Share, participant::WHOLE_PPM};

/// Buckets of one of several instances with equal shares.
#[value]
pub struct EvenSplit {
    ppm: u64,
    buckets: IndexMap<Name, Bucket>,
}

impl EvenSplit {
    /// Creates the buckets of one of `instances` instances.
    pub fn new(instances: u64) -> EvenSplit {
        EvenSplit { ppm: WHOLE_PPM / instances.max(1), buckets: IndexMap::new() }
    }

    /// Deducts `tokens` of a team, or refuses with [`Cause::Empty`].
    pub fn take(&mut self, now: Instant, team: &Team, tokens: u64) -> Verdict {
        let share = Share::ideal(team, self.ppm);
        let bucket =
            self.buckets.entry(team.name.clone()).or_insert_with(|| Bucket::full(now, &share));
        bucket.refill(now, &share, 0);
        match bucket.tokens() >= tokens {
            true => {
                bucket.take(tokens);
                Verdict::Granted
            }
            false => Verdict::Refused {
                retry_after: share.time_to_earn(tokens - bucket.tokens()),
                cause: Cause::Empty,
            },
        }
    }

    /// Returns the tokens of a team that are available at this instance.
    pub fn tokens(&self, team: &str) -> u64 {
        self.buckets.get(team).map_or(0, Bucket::tokens)
    }

    /// Deducts up to `tokens`; the level does not fall below zero.
    pub fn take_up_to(&mut self, now: Instant, team: &Team, tokens: u64) {
        let share = Share::ideal(team, self.ppm);
        let bucket =
            self.buckets.entry(team.name.clone()).or_insert_with(|| Bucket::full(now, &share));
        bucket.refill(now, &share, 0);
        bucket.take(tokens.min(bucket.tokens()));
    }

    /// Returns tokens that were deducted and not used.
    pub fn refund(&mut self, now: Instant, team: &Team, tokens: u64) {
        let share = Share::ideal(team, self.ppm);
        if let Some(bucket) = self.buckets.get_mut(&team.name) {
            bucket.refill(now, &share, 0);
            bucket.credit(tokens, &share, 0);
        }
    }
}
