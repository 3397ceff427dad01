//! Distribution of changes among instances: which peer to pull them from, and how many peers to serve
//! at a time.
//!
//! An instance that is asked by more peers than its link serves in time refers them to those that it
//! has served before. Each of these serves others in turn, so that the time until all have a change
//! grows with the logarithm of their number.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::Instant;

/// Number of peers that are remembered as sources.
const MAX_SOURCES: usize = 16;
/// Time for which a peer that was busy, or did not have the change yet, is not asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// Time without the first byte of an answer after which another peer is asked as well.
const PATIENCE: Duration = Duration::from_millis(100);
/// Number of peers that are asked at the same time.
const MAX_ASKED: usize = 6;
/// Size up to which an answer is sent without regard to others, in bytes.
const SMALL_BYTES: usize = 4 << 10;
/// Number of larger answers that are sent at the same time.
const MAX_UPLOADS: u32 = 3;
/// Number of peers that an instance remembers to have served.
const MAX_HOLDERS: usize = 16;
/// Number of peers that one that is turned away is referred to.
const MAX_REFERRALS: usize = 2;

/// A point in the history of the platform's store.
///
/// The era rises whenever the store is restored from an older copy. Its revisions then go back and
/// are given out again, so revisions of different eras cannot be compared.
#[value(id, default)]
pub struct Position {
    /// Number of the era.
    pub era: u64,
    /// Store revision within the era.
    pub revision: u64,
}

impl Position {
    /// Creates a position.
    pub fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }
}

/// A peer that has changes which this instance lacks.
#[value]
struct Source {
    position: Position,
    /// Not to be asked before.
    retry_at: Instant,
}

/// The peers that have changes which this instance lacks.
#[value(default)]
pub struct Sources {
    peers: IndexMap<SocketAddr, Source>,
    /// Peers that have been asked and have not begun to answer, each with the time.
    asked: IndexMap<SocketAddr, Instant>,
    /// Since when there has been one.
    ahead_since: Option<Instant>,
}

impl Sources {
    /// Records that a peer has a copy at a position; `own` is that of this instance's copy.
    pub fn record(&mut self, now: Instant, peer: SocketAddr, position: Position, own: Position) {
        if position <= own {
            return;
        }
        self.ahead_since.get_or_insert(now);
        match self.peers.get_mut(&peer) {
            Some(known) => known.position = known.position.max(position),
            None => {
                if self.peers.len() >= MAX_SOURCES {
                    self.remove_earliest();
                }
                self.peers.insert(peer, Source { position, retry_at: Instant::default() });
            }
        }
    }

    fn remove_earliest(&mut self) {
        let earliest = self.peers.iter().min_by_key(|(_, it)| it.position);
        if let Some(peer) = earliest.map(|(peer, _)| *peer) {
            self.peers.swap_remove(&peer);
        }
    }

    /// Forgets the peers that are not ahead of this instance's copy.
    pub fn advance(&mut self, own: Position) {
        self.peers.retain(|_, it| it.position > own);
        if self.peers.is_empty() {
            self.ahead_since = None;
        }
    }

    /// Returns since when a peer has been ahead; `None` if none is.
    pub fn ahead_since(&self) -> Option<Instant> {
        self.ahead_since
    }

    /// Returns the peer to ask now, and counts it as asked: the first one, or another one while those asked do not
    /// begin to answer. `draw` must be uniform over calls.
    pub fn ask(&mut self, now: Instant, draw: u64) -> Option<SocketAddr> {
        let is_patient = self.asked.values().any(|it| now.since(*it) < PATIENCE);
        if is_patient || self.asked.len() >= MAX_ASKED {
            return None;
        }
        let peer = self.choose(now, draw)?;
        self.asked.insert(peer, now);
        Some(peer)
    }

    /// Records that a peer that was asked has not answered in time.
    pub fn fail(&mut self, peer: SocketAddr) {
        self.asked.swap_remove(&peer);
        self.remove(peer);
    }

    /// Records that a peer has begun to answer, so that the others need not any more.
    pub fn end_asking(&mut self) {
        self.asked.clear();
    }

    /// Returns one of the peers that are furthest ahead among those that may be asked now; `draw` must
    /// be uniform over calls.
    pub fn choose(&self, now: Instant, draw: u64) -> Option<SocketAddr> {
        let is_free = |peer: &SocketAddr| !self.asked.contains_key(peer);
        let may_be_asked =
            || self.peers.iter().filter(|(peer, it)| it.retry_at <= now && is_free(peer));
        let latest = may_be_asked().map(|(_, it)| it.position).max()?;
        let latest: Vec<_> = may_be_asked().filter(|(_, it)| it.position == latest).collect();
        let chosen = draw.checked_rem(latest.len() as u64)?;
        Some(*latest[chosen as usize].0)
    }

    /// Records that a peer was busy, or did not have the change yet, and refers to others that should
    /// have it.
    pub fn defer(&mut self, now: Instant, peer: SocketAddr, holders: &[SocketAddr], own: Position) {
        let Some(source) = self.peers.get_mut(&peer) else { return };
        source.retry_at = now + BUSY_PAUSE;
        let position = source.position;
        for holder in holders.iter().filter(|it| **it != peer) {
            self.record(now, *holder, position, own);
        }
    }

    /// Forgets a peer that could not be reached; it is a source again when it is heard of.
    pub fn remove(&mut self, peer: SocketAddr) {
        self.peers.swap_remove(&peer);
        if self.peers.is_empty() {
            self.ahead_since = None;
        }
    }
}

/// The answers that are being sent to peers, and the peers that have got one.
#[value(default)]
pub struct Uploads {
    active: u32,
    /// Peers that have been served, the latest last, each with the position of what it got.
    holders: VecDeque<(SocketAddr, Position)>,
}

impl Uploads {
    /// Counts an answer as being sent, unless there are too many; small ones do not count.
    pub fn begin(&mut self, bytes: usize) -> bool {
        let may_begin = is_small(bytes) || self.active < MAX_UPLOADS;
        if may_begin && !is_small(bytes) {
            self.active += 1;
        }
        may_begin
    }

    /// Records the end of an answer that was begun, and the receiver if it has got all of it.
    pub fn end(&mut self, bytes: usize, receiver: Option<(SocketAddr, Position)>) {
        if is_small(bytes) {
            return;
        }
        self.active = self.active.saturating_sub(1);
        if let Some(receiver) = receiver {
            self.holders.retain(|it| it.0 != receiver.0);
            self.holders.push_back(receiver);
            if self.holders.len() > MAX_HOLDERS {
                self.holders.pop_front();
            }
        }
    }

    /// Returns peers that have got what is at `position`, others each time.
    pub fn refer(&mut self, position: Position) -> Vec<SocketAddr> {
        self.holders.retain(|it| it.1 >= position);
        let count = MAX_REFERRALS.min(self.holders.len());
        self.holders.rotate_left(count);
        self.holders.iter().rev().take(count).map(|it| it.0).collect()
    }
}

fn is_small(bytes: usize) -> bool {
    bytes <= SMALL_BYTES
}
