//! Figures measured over a run.

use std::{fmt, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::{Instant, error::Kind, request::Id};

use super::workload::TEAMS;
use crate::policy::engine::Counts;

/// Target for the mean time between the tokens of an answer.
const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(45);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The complete answer was relayed.
    Answered,
    /// The request failed with an error of this kind.
    Failed(Kind),
}

/// The arrival and the outcomes of a request.
#[derive(Debug, Clone)]
pub(super) struct RequestRecord {
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Index of its team in [`TEAMS`].
    pub team: usize,
    /// Whether it uses the route for patient requests.
    pub patient: bool,
    /// Target for the time from arrival to the first token.
    pub first_token_target: Duration,
    /// Whether the instance that received it was killed, so that it may have no outcome.
    pub instance_killed: bool,
    /// Outcomes reported for it; exactly one in a consistent run.
    pub outcomes: Vec<Outcome>,
}

impl RequestRecord {
    pub(super) fn new(
        arrived_at: Instant,
        team: usize,
        patient: bool,
        first_token_target: Duration,
    ) -> RequestRecord {
        RequestRecord {
            arrived_at,
            team,
            patient,
            first_token_target,
            instance_killed: false,
            outcomes: Vec::new(),
        }
    }
}

/// Requests of a team, by result.
#[derive(Debug, Clone, Copy, Default)]
struct TeamCounts {
    requested: f64,
    within_targets: f64,
    answered: f64,
}

/// The figures of a run. The shares of tokens, the messages and `inconsistent` cover the whole run;
/// the other figures leave out the warm-up.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Answers per second within both latency targets, counted by the time at which they completed.
    pub goodput: f64,
    /// Share of the arrivals that were answered within both targets.
    pub good_share: f64,
    /// Share of the prefilled tokens that led to no output token.
    pub wasted_share: f64,
    /// Share of the prompt tokens that were found in a prefix cache.
    pub cached_share: f64,
    /// 95th percentile of the time to first token of urgent requests.
    pub first_token_p95: Duration,
    /// 95th percentile of the mean time between the tokens of an answer.
    pub between_tokens_p95: Duration,
    /// Lowest share, over the teams, of a team's entitlement that was answered within both targets.
    /// The entitlement is the number of its requests or its weighted share of the pool's capacity,
    /// whichever is less.
    pub worst_team_share: f64,
    /// Share of the entitlements of all teams that was not answered.
    pub wrongful_share: f64,
    /// Number of requests refused before they ran, and number that failed after they had started.
    /// Errors of the kind `endpoint_failed` count as failed, all others as refused.
    pub refused_failed: (usize, usize),
    /// Messages between instances per request.
    pub messages_per_request: f64,
    /// Bytes of these messages per request.
    pub bytes_per_request: f64,
    /// Requests with no outcome or more than one. A request whose instance was killed may have none
    /// and is then not counted here.
    pub inconsistent: usize,
}

impl Figures {
    pub(super) fn new(
        records: &IndexMap<Id, RequestRecord>,
        counts: &Counts,
        traffic: (u64, u64),
        counted_from: Instant,
        length: Duration,
        capacity: f64,
    ) -> Figures {
        let counted_until = counted_from + length;
        let mut figures = Figures::default();
        let (mut first_tokens, mut token_intervals) = (Vec::new(), Vec::new());
        let (mut arrived, mut good) = (0, 0);
        let mut teams = vec![TeamCounts::default(); TEAMS.len()];
        for (id, record) in records.iter() {
            figures.inconsistent += usize::from(
                record.outcomes.len() != 1
                    && !(record.instance_killed && record.outcomes.is_empty()),
            );
            let token_times = counts.token_times.get(id);
            let first = token_times.map(|it| it.0.since(record.arrived_at));
            let between = token_times.and_then(|it| Some(it.1?.since(it.0)));
            let answered = record.outcomes.first() == Some(&Outcome::Answered);
            let mut within_targets = false;
            if let (Some(first), Some(between), true) = (first, between, answered) {
                let intervals = interval_count(counts, id);
                let between = between / intervals;
                within_targets =
                    first <= record.first_token_target && between <= BETWEEN_TOKENS_TARGET;
                if record.arrived_at >= counted_from {
                    token_intervals.push(between);
                }
                if !record.patient && record.arrived_at >= counted_from {
                    first_tokens.push(first);
                }
            }
            let completed = token_times
                .and_then(|it| it.1)
                .is_some_and(|it| it >= counted_from && it < counted_until);
            figures.goodput +=
                f64::from(u8::from(within_targets && completed)) / length.as_secs_f64();
            if record.arrived_at < counted_from {
                continue;
            }
            arrived += 1;
            good += usize::from(within_targets);
            let team = &mut teams[record.team];
            team.requested += 1.0;
            team.within_targets += f64::from(u8::from(within_targets));
            team.answered += f64::from(u8::from(answered));
            match record.outcomes.first() {
                Some(Outcome::Failed(Kind::EndpointFailed)) => figures.refused_failed.1 += 1,
                Some(Outcome::Failed(_)) => figures.refused_failed.0 += 1,
                _ => {}
            }
        }
        let prefilled: u64 = counts.prefilled.values().map(|it| it.0).sum();
        let wasted: u64 = counts.prefilled.values().filter(|it| !it.1).map(|it| it.0).sum();
        figures.good_share = ratio(good, arrived);
        figures.messages_per_request = traffic.0 as f64 / records.len().max(1) as f64;
        figures.bytes_per_request = traffic.1 as f64 / records.len().max(1) as f64;
        figures.wasted_share = wasted as f64 / prefilled.max(1) as f64;
        figures.cached_share = counts.cached_tokens as f64 / counts.prompt_tokens.max(1) as f64;
        figures.first_token_p95 = percentile(&mut first_tokens);
        figures.between_tokens_p95 = percentile(&mut token_intervals);
        let entitlement = |index: usize| {
            let entitled = TEAMS[index].weight_share() * capacity * length.as_secs_f64();
            entitled.min(teams[index].requested).max(1.0)
        };
        let served_shares =
            teams.iter().enumerate().map(|(index, it)| it.within_targets / entitlement(index));
        figures.worst_team_share = served_shares.fold(1.0, f64::min);
        let shortfalls =
            teams.iter().enumerate().map(|(index, it)| (entitlement(index) - it.answered).max(0.0));
        let total: f64 = (0..TEAMS.len()).map(entitlement).sum();
        figures.wrongful_share = shortfalls.sum::<f64>() / total;
        figures
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
            self.good_share * 100.0,
            self.wasted_share * 100.0,
            self.cached_share * 100.0,
            self.first_token_p95.as_millis(),
            self.between_tokens_p95.as_secs_f64() * 1e3,
            self.worst_team_share * 100.0,
            self.wrongful_share * 100.0,
            self.refused_failed.0,
            self.refused_failed.1,
            self.inconsistent,
            self.messages_per_request,
            self.bytes_per_request,
        )
    }
}

fn interval_count(counts: &Counts, id: &Id) -> u32 {
    counts.output_lengths.get(id).map_or(1, |it| (*it as u32).saturating_sub(1).max(1))
}

fn ratio(count: usize, total: usize) -> f64 {
    count as f64 / total.max(1) as f64
}

fn percentile(values: &mut [Duration]) -> Duration {
    values.sort_unstable();
    let index = values.len() * 95 / 100;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or_default()
}
