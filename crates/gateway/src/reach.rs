//! Whether this instance reaches any endpoint, as shown by what arrives and by probes.
//!
//! A probe asks an endpoint a question on a new connection. Silence, or calls to several endpoints that end without
//! an answer, put the reach in doubt; a round of probes decides. What arrives over open connections shows nothing of
//! new ones, and an accepted connection nothing of what is behind, so only an answer on a new one ends a cut.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, Name};

/// Time limit of a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which calls may be open without a sign of any endpoint before the reach is in doubt.
const MAX_SILENCE: Duration = Duration::from_millis(400);
/// The same for a request that arrives while no call is open.
const MAX_IDLE_SILENCE: Duration = Duration::from_secs(1);
/// Time within which calls without an answer to several endpoints put the reach in doubt.
const UNANSWERED_TIME: Duration = Duration::from_secs(1);
/// Number of these endpoints.
const MAX_UNANSWERED: usize = 2;
/// Probes of the first part of a round.
const FIRST_PROBES: usize = 2;
/// Probes of the second part, if the first ones fail.
const FURTHER_PROBES: usize = 4;
/// Time between two probes of an instance that is cut off.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds for calls that take long.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Why the reach is in doubt.
#[value(id)]
pub enum Cause {
    /// No endpoint has sent anything for some time.
    Silent,
    /// Connections could not be opened, or were closed without an answer.
    Unanswered,
}

impl Cause {
    /// Returns the identifier used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Silent => "endpoints silent",
            Cause::Unanswered => "calls not answered",
        }
    }
}

/// A round of probes that has not ended.
#[value]
struct Round {
    cause: Cause,
    /// Probes that have not ended.
    open: usize,
    /// Whether the second part has begun.
    is_second: bool,
}

/// A change of the state.
#[value(eq)]
pub enum Change {
    /// No probe of a round was answered.
    CutOff(Cause),
    /// A probe was answered again.
    Returned,
    /// A round has ended, and endpoints are reached.
    Confirmed,
}

/// The reach of one instance.
#[value(default)]
pub struct Reach {
    /// When an endpoint last sent something.
    last_sign: Instant,
    /// Endpoints that a call had no answer from, since a probe of any was answered.
    unanswered: IndexMap<Name, Instant>,
    round: Option<Round>,
    /// Number of the last round.
    number: u64,
    last_round: Instant,
    /// Whether there is a peer that reaches endpoints; without one this instance goes on trying them itself.
    has_peers: bool,
    cut_off_since: Option<Instant>,
}

impl Reach {
    /// Records that an endpoint has sent something.
    pub fn record_sign(&mut self, now: Instant) {
        self.last_sign = now;
    }

    /// Records that a call to an endpoint had no answer, as its connection was not opened or was closed.
    pub fn record_unanswered(&mut self, now: Instant, endpoint: &Name) {
        self.unanswered.insert(endpoint.clone(), now);
    }

    /// Returns since when no endpoint is reached; `None` if any is.
    pub fn cut_off_since(&self) -> Option<Instant> {
        self.cut_off_since
    }

    /// Returns whether a round of probes is under way.
    pub fn is_in_doubt(&self) -> bool {
        self.round.is_some() && self.cut_off_since.is_none()
    }

    /// Returns whether open connections show nothing, as all have been silent for some time.
    pub fn is_stale(&self, now: Instant) -> bool {
        now.since(self.last_sign) >= MAX_IDLE_SILENCE
    }

    /// Records whether there is a peer that reaches endpoints.
    pub fn record_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// Returns the number of probes to start now, given the start of the oldest open call.
    pub fn due_probes(&mut self, now: Instant, oldest_call: Option<Instant>) -> usize {
        self.unanswered.retain(|_, at| now.since(*at) < UNANSWERED_TIME);
        match (self.round.is_some(), self.cut_off_since) {
            (true, _) => 0,
            (false, Some(_)) if now < self.last_round + RETURN_INTERVAL => 0,
            (false, Some(_)) => self.start_round(now, Cause::Silent),
            (false, None) if !self.has_peers => 0,
            (false, None) if self.unanswered.len() >= MAX_UNANSWERED => {
                self.start_round(now, Cause::Unanswered)
            }
            (false, None) if self.silence_end(oldest_call).is_some_and(|it| it <= now) => {
                self.start_round(now, Cause::Silent)
            }
            (false, None) => 0,
        }
    }

    /// Returns when probes are due unless something happens before.
    pub fn probes_due(&self, oldest_call: Option<Instant>) -> Option<Instant> {
        match (self.round.is_some(), self.cut_off_since) {
            (true, _) => None,
            (false, Some(_)) => Some(self.last_round + RETURN_INTERVAL),
            (false, None) if !self.has_peers => None,
            (false, None) => self.silence_end(oldest_call),
        }
    }

    fn silence_end(&self, oldest_call: Option<Instant>) -> Option<Instant> {
        let silent_since = self.last_sign.max(oldest_call?);
        Some((silent_since + MAX_SILENCE).max(self.last_round + ROUND_INTERVAL))
    }

    /// Starts a round and returns the number of its first probes.
    pub fn start_round(&mut self, now: Instant, cause: Cause) -> usize {
        self.number += 1;
        self.round = Some(Round { cause, open: FIRST_PROBES, is_second: false });
        self.last_round = now;
        FIRST_PROBES
    }

    /// Returns the number of the last round.
    pub fn round(&self) -> u64 {
        self.number
    }

    /// Records how many of the probes asked for have been started, as there may be fewer endpoints.
    ///
    /// Without any to probe the first part of a round shows nothing, and the second one ends it.
    pub fn set_started(&mut self, now: Instant, started: usize) -> Option<Change> {
        let is_cut_off = self.cut_off_since.is_some();
        let round = self.round.as_mut()?;
        round.open = started;
        match started {
            0 if is_cut_off || !round.is_second => {
                self.round = None;
                Some(Change::Confirmed).filter(|_| !is_cut_off)
            }
            0 => self.conclude(now),
            _ => None,
        }
    }

    /// Records the end of a probe; returns the number of further probes to start, and a change.
    pub fn record_probe(
        &mut self,
        now: Instant,
        number: u64,
        answered: bool,
    ) -> (usize, Option<Change>) {
        match answered {
            true => (0, self.record_answered(now)),
            false if number == self.number => self.record_failed(now),
            false => (0, None),
        }
    }

    fn record_answered(&mut self, now: Instant) -> Option<Change> {
        self.last_sign = now;
        self.unanswered.clear();
        let confirmed = self.round.take().map(|_| Change::Confirmed);
        match self.cut_off_since.take() {
            Some(_) => Some(Change::Returned),
            None => confirmed,
        }
    }

    fn record_failed(&mut self, now: Instant) -> (usize, Option<Change>) {
        let is_cut_off = self.cut_off_since.is_some();
        let Some(round) = self.round.as_mut() else { return (0, None) };
        round.open = round.open.saturating_sub(1);
        match round.open {
            0 if is_cut_off => {
                self.round = None;
                (0, None)
            }
            0 if !round.is_second => {
                round.is_second = true;
                round.open = FURTHER_PROBES;
                (FURTHER_PROBES, None)
            }
            0 => (0, self.conclude(now)),
            _ => (0, None),
        }
    }

    /// Ends a round in which no probe was answered.
    fn conclude(&mut self, now: Instant) -> Option<Change> {
        let round = self.round.take()?;
        self.last_round = now;
        self.cut_off_since = Some(now);
        Some(Change::CutOff(round.cause))
    }
}
