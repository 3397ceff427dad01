//! What is measured of a run.

use std::{fmt, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{Instant, error::Kind, request::Id};

use super::workload::TEAMS;
use crate::policy::engine::{Counts, Demand};

/// Target for the mean time between tokens.
const BETWEEN: Duration = Duration::from_millis(45);
/// Burst of a team, as time at its rate.
const BURST: Duration = Duration::from_secs(5);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The whole answer was relayed.
    Answered,
    /// It got an error.
    Failed(Kind),
}

/// What became of a request.
#[derive(Debug, Clone)]
pub(super) struct Fate {
    /// When it arrived.
    pub at: Instant,
    /// Index of its team.
    pub team: usize,
    /// Whether it is patient.
    pub patient: bool,
    /// Its first-token target.
    pub first_token: Duration,
    /// Whether it was inside its team's rate and burst.
    pub covered: bool,
    /// Its ends; exactly one in a sound run.
    pub ends: Vec<End>,
}

impl Fate {
    pub(super) fn new(at: Instant, team: usize, patient: bool, first_token: Duration) -> Fate {
        Fate { at, team, patient, first_token, covered: false, ends: Vec::new() }
    }
}

/// Marks the requests that are inside their team's rate: its part of the pool's capacity.
pub(super) fn cover(
    fates: &mut IndexMap<Id, Fate>,
    demands: &IndexMap<Id, Demand>,
    shares: &[f64],
    capacity: f64,
) {
    let cost = |id: &Id| demands.get(id).map_or(0.0, |it| (it.prompt + it.output) as f64);
    let mean = fates.keys().map(cost).sum::<f64>() / fates.len().max(1) as f64;
    let rates: Vec<f64> = shares.iter().map(|it| it * capacity * mean).collect();
    let mut buckets: Vec<f64> = rates.iter().map(|it| it * BURST.as_secs_f64()).collect();
    let most = buckets.clone();
    let mut last = vec![Instant::default(); shares.len()];
    for (id, fate) in fates.iter_mut() {
        let team = fate.team;
        let earned = fate.at.since(last[team]).as_secs_f64() * rates[team];
        buckets[team] = (buckets[team] + earned).min(most[team]);
        last[team] = fate.at;
        fate.covered = buckets[team] >= cost(id);
        if fate.covered {
            buckets[team] -= cost(id);
        }
    }
}

/// The figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Requests a second within both targets.
    pub goodput: f64,
    /// Part of the arrivals within both targets.
    pub good: f64,
    /// Part of the prefill tokens computed of which no token of an answer came.
    pub wasted: f64,
    /// Part of the prompt tokens that was found in a cache.
    pub cached: f64,
    /// 95th percentile of the first token of urgent requests.
    pub first: Duration,
    /// 95th percentile of the mean time between tokens.
    pub between: Duration,
    /// Least part of a team's covered requests within both targets.
    pub worst: f64,
    /// Part of the covered requests that were refused.
    pub wrongful: f64,
    /// Requests refused before they ran, and failed after.
    pub failed: (usize, usize),
    /// Requests with no end or more than one.
    pub unsound: usize,
}

impl Figures {
    pub(super) fn new(
        fates: &IndexMap<Id, Fate>,
        counts: &Counts,
        from: Instant,
        length: Duration,
    ) -> Figures {
        let mut out = Figures::default();
        let (mut firsts, mut betweens) = (Vec::new(), Vec::new());
        let (mut arrived, mut good, mut covered, mut refused) = (0, 0, 0, 0);
        let mut teams = vec![(0, 0); TEAMS.len()];
        for (id, fate) in fates.iter() {
            out.unsound += usize::from(fate.ends.len() != 1);
            if fate.at < from {
                continue;
            }
            arrived += 1;
            let times = counts.times.get(id);
            let first = times.map(|it| it.0.since(fate.at));
            let between = times.and_then(|it| Some(it.1?.since(it.0)));
            let answered = fate.ends.first() == Some(&End::Answered);
            let mut in_time = false;
            if let (Some(first), Some(between), true) = (first, between, answered) {
                let tokens = counts_tokens(counts, id);
                let between = between / tokens;
                in_time = first <= fate.first_token && between <= BETWEEN;
                betweens.push(between);
                if !fate.patient {
                    firsts.push(first);
                }
            }
            good += usize::from(in_time);
            if fate.covered {
                covered += 1;
                refused += usize::from(!answered);
                teams[fate.team].0 += 1;
                teams[fate.team].1 += usize::from(in_time);
            }
            match fate.ends.first() {
                Some(End::Failed(Kind::EndpointFailed)) => out.failed.1 += 1,
                Some(End::Failed(_)) => out.failed.0 += 1,
                _ => {}
            }
        }
        let all: u64 = counts.computed.values().map(|it| it.0).sum();
        let lost: u64 = counts.computed.values().filter(|it| !it.1).map(|it| it.0).sum();
        out.goodput = good as f64 / length.as_secs_f64();
        out.good = part(good, arrived);
        out.wasted = lost as f64 / all.max(1) as f64;
        out.cached = counts.cached as f64 / counts.prompt.max(1) as f64;
        out.first = percentile(&mut firsts);
        out.between = percentile(&mut betweens);
        out.worst = teams.iter().map(|it| part(it.1, it.0)).fold(1.0, f64::min);
        out.wrongful = part(refused, covered);
        out
    }

    pub(super) fn head() -> String {
        format!(
            "load trouble policy           {:>8} {:>6} {:>7} {:>6} {:>6} {:>7} {:>6} {:>8} {:>11} {}",
            "goodput",
            "good",
            "wasted",
            "cached",
            "first",
            "between",
            "worst",
            "wrongful",
            "ref/failed",
            "unsound"
        )
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:8.2} {:5.1}% {:6.2}% {:5.1}% {:5}ms {:5.1}ms {:5.1}% {:7.2}% {:6}/{:4} {}",
            self.goodput,
            self.good * 100.0,
            self.wasted * 100.0,
            self.cached * 100.0,
            self.first.as_millis(),
            self.between.as_secs_f64() * 1e3,
            self.worst * 100.0,
            self.wrongful * 100.0,
            self.failed.0,
            self.failed.1,
            self.unsound,
        )
    }
}

fn counts_tokens(counts: &Counts, id: &Id) -> u32 {
    counts.outputs.get(id).map_or(1, |it| (*it as u32).saturating_sub(1).max(1))
}

fn part(some: usize, all: usize) -> f64 {
    some as f64 / all.max(1) as f64
}

fn percentile(values: &mut [Duration]) -> Duration {
    values.sort_unstable();
    let index = values.len() * 95 / 100;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or_default()
}
