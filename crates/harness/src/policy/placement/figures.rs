//! What is measured of a run.

use std::{fmt, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{Instant, error::Kind, request::Id};

use super::workload::TEAMS;
use crate::policy::engine::Counts;

/// Target for the mean time between tokens.
const BETWEEN: Duration = Duration::from_millis(45);

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
    /// Whether its instance died.
    pub lost: bool,
    /// Its ends; exactly one in a sound run.
    pub ends: Vec<End>,
}

impl Fate {
    pub(super) fn new(at: Instant, team: usize, patient: bool, first_token: Duration) -> Fate {
        Fate { at, team, patient, first_token, lost: false, ends: Vec::new() }
    }
}

/// What a team got.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    asked: f64,
    good: f64,
    answered: f64,
}

/// The figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Answers a second within both targets, by the time at which they ended.
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
    /// Least part of a team's due that was answered within both targets; its due is what it asked
    /// for, or its weighted part of the pool's capacity if that is less.
    pub worst: f64,
    /// Part of what was due to all teams that was refused.
    pub wrongful: f64,
    /// Requests refused before they ran, and failed after.
    pub failed: (usize, usize),
    /// Messages between instances for each request, and their bytes.
    pub messages: f64,
    /// Bytes of them.
    pub bytes: f64,
    /// Requests with no end or more than one.
    pub unsound: usize,
}

impl Figures {
    pub(super) fn new(
        fates: &IndexMap<Id, Fate>,
        counts: &Counts,
        traffic: (u64, u64),
        from: Instant,
        length: Duration,
        capacity: f64,
    ) -> Figures {
        let until = from + length;
        let mut out = Figures::default();
        let (mut firsts, mut betweens) = (Vec::new(), Vec::new());
        let (mut arrived, mut good) = (0, 0);
        let mut teams = vec![Served::default(); TEAMS.len()];
        for (id, fate) in fates.iter() {
            out.unsound +=
                usize::from(fate.ends.len() != 1 && !(fate.lost && fate.ends.is_empty()));
            let times = counts.times.get(id);
            let first = times.map(|it| it.0.since(fate.at));
            let between = times.and_then(|it| Some(it.1?.since(it.0)));
            let answered = fate.ends.first() == Some(&End::Answered);
            let mut in_time = false;
            if let (Some(first), Some(between), true) = (first, between, answered) {
                let tokens = counts_tokens(counts, id);
                let between = between / tokens;
                in_time = first <= fate.first_token && between <= BETWEEN;
                if fate.at >= from {
                    betweens.push(between);
                }
                if !fate.patient && fate.at >= from {
                    firsts.push(first);
                }
            }
            let ended = times.and_then(|it| it.1).is_some_and(|it| it >= from && it < until);
            out.goodput += f64::from(u8::from(in_time && ended)) / length.as_secs_f64();
            if fate.at < from {
                continue;
            }
            arrived += 1;
            good += usize::from(in_time);
            let team = &mut teams[fate.team];
            team.asked += 1.0;
            team.good += f64::from(u8::from(in_time));
            team.answered += f64::from(u8::from(answered));
            match fate.ends.first() {
                Some(End::Failed(Kind::EndpointFailed)) => out.failed.1 += 1,
                Some(End::Failed(_)) => out.failed.0 += 1,
                _ => {}
            }
        }
        let all: u64 = counts.computed.values().map(|it| it.0).sum();
        let lost: u64 = counts.computed.values().filter(|it| !it.1).map(|it| it.0).sum();
        out.good = part(good, arrived);
        out.messages = traffic.0 as f64 / fates.len().max(1) as f64;
        out.bytes = traffic.1 as f64 / fates.len().max(1) as f64;
        out.wasted = lost as f64 / all.max(1) as f64;
        out.cached = counts.cached as f64 / counts.prompt.max(1) as f64;
        out.first = percentile(&mut firsts);
        out.between = percentile(&mut betweens);
        let due = |index: usize| {
            let part = TEAMS[index].share_of_pool() * capacity * length.as_secs_f64();
            part.min(teams[index].asked).max(1.0)
        };
        let parts = teams.iter().enumerate().map(|(index, it)| it.good / due(index));
        out.worst = parts.fold(1.0, f64::min);
        let short = teams.iter().enumerate().map(|(index, it)| (due(index) - it.answered).max(0.0));
        let all: f64 = (0..TEAMS.len()).map(due).sum();
        out.wrongful = short.sum::<f64>() / all;
        out
    }

    pub(super) fn head() -> String {
        format!(
            "load trouble policy           {:>8} {:>6} {:>7} {:>6} {:>6} {:>7} {:>6} {:>8} {:>11} {} {:>5} {:>6}",
            "goodput",
            "good",
            "wasted",
            "cached",
            "first",
            "between",
            "worst",
            "wrongful",
            "ref/failed",
            "unsound",
            "msgs",
            "bytes"
        )
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:8.2} {:5.1}% {:6.2}% {:5.1}% {:5}ms {:5.1}ms {:5.1}% {:7.2}% {:6}/{:4} {:7} {:5.1} {:6.0}",
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
            self.messages,
            self.bytes,
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
