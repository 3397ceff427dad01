//! What an instance knows of the engine memory that its peers hold.
//!
//! An instance tells two peers before it takes engine memory. When it is gone they cancel what it
//! held. Presence is judged by messages of any kind, by the platform's list and by incarnations.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, object::Name, request};

/// Peers that are told of a hold.
pub const PEERS: usize = 2;
/// Silence after which an instance is asked whether it lives.
pub const PROBE_SILENCE: Duration = Duration::from_secs(2);
/// Silence after which an instance counts as gone.
pub const GONE_SILENCE: Duration = Duration::from_secs(3);
/// Silence after which an instance that the platform no longer lists counts as gone.
pub const UNLISTED_SILENCE: Duration = Duration::from_millis(1_500);
/// Time between two cancels of one hold, and between two probes.
pub const REPEAT: Duration = Duration::from_secs(1);
/// Cancels that are sent for one hold; a call may overtake the first ones.
pub const CANCELS: u32 = 4;
/// Age at which a hold is asked for, in case the message of its end was lost.
pub const ASK_AGE: Duration = Duration::from_secs(10);
/// Time for which an ended hold is remembered, to tell an instance that comes back.
pub const REMEMBERED: Duration = Duration::from_secs(120);

/// Names a hold.
#[value(eq)]
#[derive(Hash)]
pub struct Key {
    /// Instance that holds it.
    pub owner: Name,
    /// The request.
    pub request: request::Id,
    /// Number of the attempt.
    pub attempt: u32,
}

/// A hold of a peer.
#[value]
pub struct Entry {
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Names of the endpoints.
    pub endpoints: Vec<Name>,
    /// When it was noted, or last asked for.
    pub at: Instant,
    /// Cancels sent so far.
    pub cancels: u32,
}

/// The last message of an instance.
#[value(id)]
pub struct Heard {
    /// When it came.
    pub at: Instant,
    /// Incarnation of the sender.
    pub incarnation: u64,
}

/// The holds of peers, and when each instance was heard.
#[value(default)]
pub struct Registry {
    /// The holds.
    pub entries: IndexMap<Key, Entry>,
    heard: IndexMap<Name, Heard>,
    /// Since when this instance has run without a pause.
    running_since: Instant,
    last_run: Instant,
}

/// Time between events beyond which this instance has been paused.
const PAUSE: Duration = Duration::from_millis(500);

impl Registry {
    /// Notes that this instance runs; after a pause, the silence of others is its own.
    pub fn run(&mut self, now: Instant) {
        if now.since(self.last_run) > PAUSE {
            self.running_since = now;
        }
        self.last_run = now;
    }

    /// Returns since when this instance has run without a pause.
    pub fn running_since(&self) -> Instant {
        self.running_since
    }

    /// Notes a message of an instance, unless it is of an older incarnation.
    pub fn hear(&mut self, name: &Name, heard: Heard) {
        let known = self.heard.get(name).map_or(0, |it| it.incarnation);
        if heard.incarnation >= known {
            self.heard.insert(name.clone(), heard);
        }
    }

    /// Returns the newest incarnation of an instance that was heard.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.heard.get(name).map(|it| it.incarnation)
    }

    /// Returns for how long an instance has been silent.
    pub fn silence(&self, now: Instant, name: &str) -> Duration {
        let at = self.heard.get(name).map_or(Instant::default(), |it| it.at);
        now.since(at.max(self.running_since))
    }

    /// Returns whether an instance was heard of late, or may yet be heard because this one is new
    /// or was paused.
    pub fn is_near(&self, now: Instant, name: &str) -> bool {
        self.silence(now, name) < GONE_SILENCE
    }
}
