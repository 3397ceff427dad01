//! Contact of an instance with the platform's store: when each kind of objects is read, and which reads in flight
//! are given up.
//!
//! A read that waits for changes may have been sent into an outage, and then its answer never comes. The first
//! answer of the store after a call that failed renews the contact: reads that wait since before are given up, and
//! each kind is checked at once, without regard to the others. During an outage an instance has one attempt in
//! flight, whatever the number of kinds. While nothing is heard of the store, probes show outages that would
//! otherwise only be noticed at the end of a wait.

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::Instant;

/// Time limit for the head of an answer of the store, in addition to the wait that a watch requests, and for each
/// part of its body: a large one takes long on a slow link.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Upper limit of the same for reads of what there is no copy of yet, which doubles with each failed call.
const MAX_FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Time without an answer of the store after which it is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the first failed attempt at the instance with rank 0; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed attempt at the instance with rank 0; at rank n it is n + 1 times as long.
pub const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Shortest time between the starts of two attempts while the store answers a peer.
const MIN_ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);

/// How a kind is read.
#[value(id)]
pub enum Read {
    /// Returns at once with what has changed.
    Check,
    /// Returns when something has changed, or after a time.
    Wait,
}

/// How current this instance's copy of a kind is.
#[value(default)]
struct Freshness {
    /// When the store last confirmed that the copy was current.
    confirmed_at: Option<Instant>,
    /// Whether it has been checked since the contact was renewed.
    is_checked: bool,
    /// Time before which the kind is not read again, as its last read failed.
    retry_at: Instant,
    backoff: Duration,
}

/// A time in which calls fail.
#[value]
struct Outage {
    since: Instant,
    retry_at: Instant,
    backoff: Duration,
    /// When the last attempt began.
    attempted_at: Option<Instant>,
    is_attempting: bool,
}

/// What an answer of the store shows.
#[value(id)]
pub enum Answered {
    /// The contact has not changed.
    Serving,
    /// An outage has ended that lasted this long; reads that began before are to be given up.
    Renewed(Duration),
}

/// The contact of an instance with the platform's store; `K` is a kind of objects.
#[value]
pub struct Contact<K: Hash + Eq> {
    copies: IndexMap<K, Freshness>,
    outage: Option<Outage>,
    last_answer: Option<Instant>,
    last_probe: Instant,
    /// Time limit for reads of what there is no copy of yet.
    first_response_timeout: Duration,
}

impl<K: Hash + Eq + Clone> Contact<K> {
    /// Creates the contact of an instance that keeps copies of `kinds`, before its first call.
    pub fn new(kinds: impl IntoIterator<Item = K>) -> Contact<K> {
        Contact {
            copies: kinds.into_iter().map(|it| (it, Freshness::default())).collect(),
            outage: None,
            last_answer: None,
            last_probe: Instant::default(),
            first_response_timeout: RESPONSE_TIMEOUT,
        }
    }

    /// Returns how a kind is to be read now, and counts the read as begun; `None` if it must not be read yet.
    pub fn begin(&mut self, now: Instant, kind: &K) -> Option<Read> {
        let copy = self.copies.get(kind)?;
        match &mut self.outage {
            Some(outage) if outage.is_attempting || now < outage.retry_at => None,
            Some(outage) => {
                outage.is_attempting = true;
                outage.attempted_at = Some(now);
                Some(Read::Check)
            }
            None if now < copy.retry_at => None,
            None if copy.is_checked => Some(Read::Wait),
            None => Some(Read::Check),
        }
    }

    /// Records that a read of a kind has succeeded.
    pub fn confirm(&mut self, now: Instant, kind: &K) {
        let Some(copy) = self.copies.get_mut(kind) else { return };
        *copy = Freshness { confirmed_at: Some(now), is_checked: true, ..Freshness::default() };
    }

    /// Records that a read of a kind has failed at an instance with the given rank.
    pub fn fail(&mut self, now: Instant, kind: &K, rank: u32) {
        self.lost(now);
        if let Some(copy) = self.copies.get_mut(kind) {
            copy.is_checked = false;
            copy.backoff = next_backoff(copy.backoff);
            copy.retry_at = now + copy.backoff;
        }
        if let Some(outage) = &mut self.outage {
            outage.is_attempting = false;
            outage.backoff = next_backoff(outage.backoff);
            outage.retry_at = now + outage.backoff * (rank + 1);
        }
    }

    /// Returns the time limit for the answer to a read of what there is no copy of yet. Without one the instance
    /// cannot serve, and asking again would only add to the work of a store that is late.
    pub fn first_response_timeout(&self) -> Duration {
        self.first_response_timeout
    }

    /// Records that the store has answered a call of this instance.
    pub fn answered(&mut self, now: Instant) -> Answered {
        self.last_answer = Some(now);
        let Some(outage) = self.outage.take() else { return Answered::Serving };
        for copy in self.copies.values_mut() {
            copy.is_checked = false;
        }
        Answered::Renewed(now.since(outage.since))
    }

    /// Records that a call of this instance got no answer or was refused; returns whether an outage begins with
    /// it.
    pub fn lost(&mut self, now: Instant) -> bool {
        let longer = self.first_response_timeout * 2;
        self.first_response_timeout = longer.min(MAX_FIRST_RESPONSE_TIMEOUT);
        let begins = self.outage.is_none();
        self.outage.get_or_insert(Outage {
            since: now,
            retry_at: now,
            backoff: Duration::ZERO,
            attempted_at: None,
            is_attempting: false,
        });
        begins
    }

    /// Records that the store has answered a peer at a time: what it did not answer here may be tried again soon.
    pub fn peer_answered(&mut self, now: Instant, at: Instant) {
        let Some(outage) = &mut self.outage else { return };
        let attempted_at = outage.attempted_at.unwrap_or(outage.since);
        if at > attempted_at {
            outage.retry_at = outage.retry_at.min(now.max(attempted_at + MIN_ATTEMPT_INTERVAL));
        }
    }

    /// Returns whether the store is to be probed now, and counts the probe as begun.
    pub fn begin_probe(&mut self, now: Instant) -> bool {
        let Some(last_answer) = self.last_answer.filter(|_| self.outage.is_none()) else {
            return false;
        };
        let is_due = now.since(last_answer.max(self.last_probe)) >= PROBE_INTERVAL;
        if is_due {
            self.last_probe = now;
        }
        is_due
    }

    /// Returns whether the last call had an answer.
    pub fn is_serving(&self) -> bool {
        self.outage.is_none() && self.last_answer.is_some()
    }

    /// Returns the time since the store confirmed a copy; `None` if it never has.
    pub fn age(&self, now: Instant, kind: &K) -> Option<Duration> {
        self.copies.get(kind)?.confirmed_at.map(|it| now.since(it))
    }

    /// Returns the time since the store confirmed the copy that was confirmed least recently; `None` during an
    /// outage, and if one never was.
    pub fn oldest_age(&self, now: Instant) -> Option<Duration> {
        let ages = self.copies.keys().map(|it| self.age(now, it));
        let ages: Option<Vec<Duration>> = ages.collect();
        ages.filter(|_| self.is_serving())?.into_iter().max()
    }
}

fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF)
}
