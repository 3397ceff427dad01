//! An oracle that checks every decision of a limiter against one central bucket.
//!
//! All tokens that the limiter grants are taken from the central bucket. A grant that exceeds its
//! level is an overshoot; a refusal of a request that it could have granted is wrongful. While data
//! centres are cut off, each side of the partition also has its own bucket with its share of the
//! tokens, and a refusal is wrongful only if both buckets could have granted the request.

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    limit::{Bucket, Share, participant::WHOLE_PPM},
    object::{Name, Team},
};

/// Decisions of a limiter, counted by the oracle's verdict.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Requests granted.
    pub granted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused although the central bucket could have granted them.
    pub wrongful: u64,
    /// Grants that exceeded the level of the central bucket.
    pub overshoots: u64,
    /// Largest number of tokens by which a grant exceeded that level.
    pub worst_overshoot: u64,
}

impl Counts {
    /// Returns the share of wrongful refusals among all requests; 0 if there were none.
    pub fn wrongful_share(&self) -> f64 {
        self.wrongful as f64 / (self.granted + self.refused).max(1) as f64
    }

    /// Prints the counts as one line of the report, labelled `name`.
    pub fn print(&self, name: &str) {
        println!(
            "{name:<16} granted {:>9}  refused {:>8}  wrongful {:>7} ({:.4}%)  overshoots {:>7}  \
             worst {:>7} tokens",
            self.granted,
            self.refused,
            self.wrongful,
            self.wrongful_share() * 100.0,
            self.overshoots,
            self.worst_overshoot,
        );
    }
}

/// The buckets of one side of a network partition.
#[derive(Debug, Clone)]
struct Side {
    share_ppm: u64,
    buckets: IndexMap<Name, Bucket>,
}

/// Checks the decisions of one limiter.
#[derive(Debug, Clone, Default)]
pub struct Oracle {
    /// Counts so far.
    pub counts: Counts,
    /// Number of wrongful refusals by team.
    pub wrongful_by_team: IndexMap<Name, u64>,
    central_buckets: IndexMap<Name, Bucket>,
    sides: Vec<Side>,
}

impl Oracle {
    /// Sets the sides of a network partition by their shares of the tokens, in parts per million;
    /// an empty slice ends the partition.
    pub fn set_partition(&mut self, shares_ppm: &[u64]) {
        self.sides = shares_ppm
            .iter()
            .map(|share_ppm| Side { share_ppm: *share_ppm, buckets: IndexMap::new() })
            .collect();
    }

    /// Records tokens that were granted, or refunded if negative. `side` is the index of the
    /// side of the partition; it is ignored without a partition.
    pub fn record_entry(&mut self, now: Instant, side: usize, team: &Team, tokens: i64) {
        let whole = Share::ideal(team, WHOLE_PPM);
        let bucket = central_bucket(&mut self.central_buckets, now, team);
        match u64::try_from(tokens) {
            Ok(tokens) => {
                let level = bucket.tokens();
                self.counts.overshoots += u64::from(tokens > level);
                self.counts.worst_overshoot =
                    self.counts.worst_overshoot.max(tokens.saturating_sub(level));
                bucket.take(tokens);
            }
            Err(_) => bucket.credit(tokens.unsigned_abs(), &whole, 0),
        }
        let level = bucket.tokens();
        if let Some(side) = self.sides.get_mut(side) {
            side.record_entry(now, team, level, tokens);
        }
    }

    /// Records that a request was granted.
    pub fn record_grant(&mut self) {
        self.counts.granted += 1;
    }

    /// Records that a request was refused; returns whether the refusal was wrongful.
    pub fn record_refusal(&mut self, now: Instant, side: usize, team: &Team, tokens: u64) -> bool {
        self.counts.refused += 1;
        let level = central_bucket(&mut self.central_buckets, now, team).tokens();
        let side_level = match self.sides.get_mut(side) {
            Some(side) => side.level(now, team, level),
            None => level,
        };
        let wrongful = level.min(side_level) >= tokens;
        if wrongful {
            self.counts.wrongful += 1;
            *self.wrongful_by_team.entry(team.name.clone()).or_default() += 1;
        }
        wrongful
    }
}

impl Side {
    fn bucket(&mut self, now: Instant, team: &Team, central_level: u64) -> &mut Bucket {
        let share = Share::ideal(team, self.share_ppm);
        let bucket = self.buckets.entry(team.name.clone()).or_insert_with(|| {
            let mut bucket = Bucket::empty(now);
            let initial =
                u128::from(central_level) * u128::from(self.share_ppm) / u128::from(WHOLE_PPM);
            bucket.credit(initial as u64, &share, 0);
            bucket
        });
        bucket.refill(now, &share, 0);
        bucket
    }

    fn record_entry(&mut self, now: Instant, team: &Team, central_level: u64, tokens: i64) {
        let share = Share::ideal(team, self.share_ppm);
        let bucket = self.bucket(now, team, central_level);
        match u64::try_from(tokens) {
            Ok(tokens) => bucket.take(tokens.min(bucket.tokens())),
            Err(_) => bucket.credit(tokens.unsigned_abs(), &share, 0),
        }
    }

    fn level(&mut self, now: Instant, team: &Team, central_level: u64) -> u64 {
        self.bucket(now, team, central_level).tokens()
    }
}

fn central_bucket<'a>(
    buckets: &'a mut IndexMap<Name, Bucket>,
    now: Instant,
    team: &Team,
) -> &'a mut Bucket {
    let whole = Share::ideal(team, WHOLE_PPM);
    let bucket = buckets.entry(team.name.clone()).or_insert_with(|| Bucket::full(now, &whole));
    bucket.refill(now, &whole, 0);
    bucket
}
