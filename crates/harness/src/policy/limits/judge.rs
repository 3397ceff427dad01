//! A judge of limiters: it sees every grant and refusal and keeps the central bucket beside them.
//!
//! The central bucket takes what the limiter granted. A grant that it could not have made is an
//! overshoot; a refusal of what it would have granted is wrongful. While data centres are cut off,
//! each side has a bucket of its own with the part of the rights that lie there.

use indexmap::IndexMap;
use siskinstile_core::{
    Instant,
    limit::{Bucket, Share, participant::WHOLE_PPM},
    object::{Name, Team},
};

/// What a judge counted.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Requests granted.
    pub granted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Refusals of what the central bucket would have granted.
    pub wrongful: u64,
    /// Grants that the central bucket could not have made.
    pub overshoots: u64,
    /// Most tokens by which one of them passed it.
    pub worst: u64,
}

impl Counts {
    /// Returns the share of wrongful refusals among all requests.
    pub fn wrongful_share(&self) -> f64 {
        self.wrongful as f64 / (self.granted + self.refused).max(1) as f64
    }

    /// Prints one line of the report.
    pub fn print(&self, name: &str) {
        println!(
            "{name:<16} granted {:>9}  refused {:>8}  wrongful {:>7} ({:.4}%)  overshoots {:>7}  \
             worst {:>7} tokens",
            self.granted,
            self.refused,
            self.wrongful,
            self.wrongful_share() * 100.0,
            self.overshoots,
            self.worst,
        );
    }
}

/// The rights on one side of a cut.
#[derive(Debug, Clone)]
struct Side {
    ppm: u64,
    buckets: IndexMap<Name, Bucket>,
}

/// The judge.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    /// What it counted.
    pub counts: Counts,
    /// Wrongful refusals by team.
    pub by_team: IndexMap<Name, u64>,
    central: IndexMap<Name, Bucket>,
    sides: Vec<Side>,
}

impl Judge {
    /// Notes that the fleet is cut into sides with these parts of the rights; none if it is whole.
    pub fn cut(&mut self, parts: &[u64]) {
        self.sides = parts.iter().map(|ppm| Side { ppm: *ppm, buckets: IndexMap::new() }).collect();
    }

    /// Takes tokens that were granted, or given back if negative.
    pub fn entry(&mut self, now: Instant, side: usize, team: &Team, tokens: i64) {
        let whole = Share::ideal(team, WHOLE_PPM);
        let bucket = central(&mut self.central, now, team);
        match u64::try_from(tokens) {
            Ok(tokens) => {
                let level = bucket.tokens();
                self.counts.overshoots += u64::from(tokens > level);
                self.counts.worst = self.counts.worst.max(tokens.saturating_sub(level));
                bucket.take(tokens);
            }
            Err(_) => bucket.credit(tokens.unsigned_abs(), &whole, 0),
        }
        let level = bucket.tokens();
        if let Some(side) = self.sides.get_mut(side) {
            side.entry(now, team, level, tokens);
        }
    }

    /// Takes a request that was granted.
    pub fn granted(&mut self) {
        self.counts.granted += 1;
    }

    /// Takes a request that was refused; returns whether wrongfully.
    pub fn refused(&mut self, now: Instant, side: usize, team: &Team, tokens: u64) -> bool {
        self.counts.refused += 1;
        let level = central(&mut self.central, now, team).tokens();
        let reach = match self.sides.get_mut(side) {
            Some(side) => side.level(now, team, level),
            None => level,
        };
        let wrongful = level.min(reach) >= tokens;
        if wrongful {
            self.counts.wrongful += 1;
            *self.by_team.entry(team.name.clone()).or_default() += 1;
        }
        wrongful
    }
}

impl Side {
    fn bucket(&mut self, now: Instant, team: &Team, central: u64) -> &mut Bucket {
        let part = Share::ideal(team, self.ppm);
        let bucket = self.buckets.entry(team.name.clone()).or_insert_with(|| {
            let mut bucket = Bucket::empty(now);
            let share = u128::from(central) * u128::from(self.ppm) / u128::from(WHOLE_PPM);
            bucket.credit(share as u64, &part, 0);
            bucket
        });
        bucket.refill(now, &part, 0);
        bucket
    }

    fn entry(&mut self, now: Instant, team: &Team, central: u64, tokens: i64) {
        let part = Share::ideal(team, self.ppm);
        let bucket = self.bucket(now, team, central);
        match u64::try_from(tokens) {
            Ok(tokens) => bucket.take(tokens.min(bucket.tokens())),
            Err(_) => bucket.credit(tokens.unsigned_abs(), &part, 0),
        }
    }

    fn level(&mut self, now: Instant, team: &Team, central: u64) -> u64 {
        self.bucket(now, team, central).tokens()
    }
}

fn central<'a>(
    buckets: &'a mut IndexMap<Name, Bucket>,
    now: Instant,
    team: &Team,
) -> &'a mut Bucket {
    let whole = Share::ideal(team, WHOLE_PPM);
    let bucket = buckets.entry(team.name.clone()).or_insert_with(|| Bucket::full(now, &whole));
    bucket.refill(now, &whole, 0);
    bucket
}
