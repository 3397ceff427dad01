//! Where streams began: the software version at which a stream has to go on.
//!
//! An instance that sends a stream to an endpoint tells the version to a few others, which are chosen
//! by a hash of the caller's identifier. When the caller takes the stream up at an instance that does
//! not know it, those can be found again and asked: the first instance may have been killed. What
//! neither knows is looked up in the [`journal`]; a stream that is not found there is not resumed.

pub mod journal;
mod lifetime;
mod unverified;

pub use lifetime::Lifetimes;
pub use unverified::Unverified;

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, Name, directory::Software, name_hash::NameHash};

/// Time for which an origin is kept after it was last recorded; callers come back for less.
const EXPIRY: Duration = Duration::from_secs(60);
/// Maximum number of origins that are kept.
const MAX_ORIGINS: usize = 1 << 16;
/// Number of the oldest origins that make room at once if there are too many.
const EVICTED: usize = MAX_ORIGINS / 8;
/// Number of members that are told of an origin wherever they are, two of them in different data
/// centres.
const REMOTE_HOLDERS: usize = 2;
/// Number of members in the own data centre that are told of an origin.
const LOCAL_HOLDERS: usize = 1;
/// How many times as many are asked as told: members come and go in between, and the one that asks or
/// tells is none of its own.
const ASKED_FACTOR: usize = 2;

/// The version at which a stream began.
#[value(id)]
pub struct Origin {
    /// The version.
    pub software: Software,
    /// Number of the run; only the last run of an attempt can have brought events.
    pub run: u32,
}

/// The origins that this instance has recorded or been told, by stream.
#[value(default)]
pub struct Origins {
    known: IndexMap<NameHash, (Origin, Instant)>,
}

impl Origins {
    /// Records the origin of a stream, unless that of a later run is known.
    pub fn record(&mut self, now: Instant, stream: NameHash, origin: Origin) {
        if self.known.len() >= MAX_ORIGINS {
            self.known.drain(..EVICTED);
        }
        let (known, recorded_at) = self.known.entry(stream).or_insert((origin, now));
        if origin.run >= known.run {
            *known = origin;
        }
        *recorded_at = now;
    }

    /// Returns the origin of a stream, if it is known.
    pub fn get(&self, now: Instant, stream: NameHash) -> Option<Origin> {
        let (origin, recorded_at) = self.known.get(&stream)?;
        (now.since(*recorded_at) < EXPIRY).then_some(*origin)
    }

    /// Forgets what callers no longer come back for.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, (_, recorded_at)| now.since(*recorded_at) < EXPIRY);
    }

    /// Returns the number of origins.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// Returns how a stream is identified: by the caller's identifier of the attempt that began it, and the
/// caller's team.
pub fn stream(attempt: &str, team: Option<&str>) -> NameHash {
    NameHash::of_all([attempt.as_bytes(), team.unwrap_or_default().as_bytes()])
}

/// Returns the members to tell of a stream's origin, out of those that are reachable, each with its data
/// centre; `own` is the data centre of this instance.
pub fn told<'a>(
    stream: NameHash,
    own: &str,
    members: impl Iterator<Item = (&'a Name, &'a Name)>,
) -> Vec<Name> {
    choose(stream, own, members, 1)
}

/// Returns the members to ask for a stream's origin.
pub fn asked<'a>(
    stream: NameHash,
    own: &str,
    members: impl Iterator<Item = (&'a Name, &'a Name)>,
) -> Vec<Name> {
    choose(stream, own, members, ASKED_FACTOR)
}

fn choose<'a>(
    stream: NameHash,
    own: &str,
    members: impl Iterator<Item = (&'a Name, &'a Name)>,
    factor: usize,
) -> Vec<Name> {
    let mut ranked: Vec<(NameHash, &Name, &Name)> =
        members.map(|(name, datacentre)| (rank(stream, name), name, datacentre)).collect();
    ranked.sort_unstable();
    let Some((_, _, first)) = ranked.first() else { return Vec::new() };
    let others = ranked.iter().filter(|(_, _, it)| it != first).take((REMOTE_HOLDERS - 1) * factor);
    let near_first = ranked.iter().filter(|(_, _, it)| it == first).take(factor);
    let local = ranked.iter().filter(|(_, _, it)| ***it == *own).take(LOCAL_HOLDERS * factor);
    // In a single data centre the next ones take the place of those elsewhere.
    let next = ranked.iter().take(REMOTE_HOLDERS * factor);
    let mut chosen: Vec<Name> = near_first
        .chain(others)
        .chain(local)
        .chain(next)
        .map(|(_, name, _)| (*name).clone())
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

fn rank(stream: NameHash, member: &str) -> NameHash {
    NameHash::of_all([&stream.0.to_le_bytes()[..], member.as_bytes()])
}
