//! An even split over the instances, the baseline that needs no messages.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{Cause, Verdict, bucket::Bucket, bucket::Share, participant::WHOLE_PPM};

/// The buckets of one of several equal instances.
#[value]
pub struct EvenSplit {
    ppm: u64,
    buckets: IndexMap<Name, Bucket>,
}

impl EvenSplit {
    /// Creates the buckets of one of `parts` instances.
    pub fn new(parts: u64) -> EvenSplit {
        EvenSplit { ppm: WHOLE_PPM / parts.max(1), buckets: IndexMap::new() }
    }

    /// Takes tokens of a team.
    pub fn take(&mut self, now: Instant, team: &Team, tokens: u64) -> Verdict {
        let part = Share::ideal(team, self.ppm);
        let bucket =
            self.buckets.entry(team.name.clone()).or_insert_with(|| Bucket::full(now, &part));
        bucket.settle(now, &part, 0);
        match bucket.tokens() >= tokens {
            true => {
                bucket.take(tokens);
                Verdict::Granted
            }
            false => Verdict::Refused {
                retry_after: part.time_for(tokens - bucket.tokens()),
                cause: Cause::Empty,
            },
        }
    }

    /// Returns the tokens that a team may spend here.
    pub fn tokens(&self, team: &str) -> u64 {
        self.buckets.get(team).map_or(0, Bucket::tokens)
    }

    /// Takes tokens whether or not they are there; the level does not fall below zero.
    pub fn force(&mut self, now: Instant, team: &Team, tokens: u64) {
        let part = Share::ideal(team, self.ppm);
        let bucket =
            self.buckets.entry(team.name.clone()).or_insert_with(|| Bucket::full(now, &part));
        bucket.settle(now, &part, 0);
        bucket.take(tokens.min(bucket.tokens()));
    }

    /// Gives back tokens that were taken and not used.
    pub fn refund(&mut self, now: Instant, team: &Team, tokens: u64) {
        let part = Share::ideal(team, self.ppm);
        if let Some(bucket) = self.buckets.get_mut(&team.name) {
            bucket.settle(now, &part, 0);
            bucket.put(tokens, &part, 0);
        }
    }
}
