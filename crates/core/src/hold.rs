//! Registry of the engine memory held by peers.
//!
//! An instance registers a hold with two peers before it takes engine memory, and they cancel the
//! hold if the instance fails. Failures are detected by the absence of messages of any kind, the
//! platform's list of instances and newer incarnations.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, object::Name, request};

/// Number of peers with which a hold is registered.
pub const HOLD_PEERS: usize = 2;
/// Time without a message from its owner after which a hold is probed.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a message after which an instance is considered failed.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a message after which an instance that the platform does not list is considered
/// failed.
pub const UNLISTED_FAILURE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between the cancels of one hold, and between the probes of an owner without messages.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of cancels sent for one hold; more than one because a cancel may reach the endpoint
/// before the call that it cancels.
pub const MAX_CANCELS: u32 = 4;
/// Time since the registration or the last probe of a hold after which its owner is probed, in case
/// the message on its release was lost.
pub const PROBE_AGE: Duration = Duration::from_secs(10);
/// Time for which a cancelled hold is kept, to notify its owner if that resumes after a pause.
pub const CANCELLED_RETENTION: Duration = Duration::from_secs(120);

/// Identifies a hold.
#[value(eq)]
#[derive(Hash)]
pub struct Key {
    /// Instance that holds the memory.
    pub owner: Name,
    /// Identifier of the request.
    pub request: request::Id,
    /// Attempt number.
    pub attempt: u32,
}

/// The hold of a peer.
#[value]
pub struct Entry {
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Names of the endpoints whose memory is held.
    pub endpoints: Vec<Name>,
    /// When the hold was registered, last probed or last cancelled.
    pub updated_at: Instant,
    /// Number of cancels sent so far.
    pub cancels: u32,
}

/// The last message received from an instance.
#[value(id)]
pub struct LastMessage {
    /// When it was received.
    pub received_at: Instant,
    /// Incarnation of the sender.
    pub incarnation: u64,
}

/// The holds of peers, and the last message from each instance.
#[value(default)]
pub struct Registry {
    /// Holds of peers, by key.
    pub entries: IndexMap<Key, Entry>,
    last_messages: IndexMap<Name, LastMessage>,
    /// When this instance started, or last resumed after a pause.
    running_since: Instant,
    last_event_at: Instant,
}

/// Time between events above which this instance is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

impl Registry {
    /// Records that this instance handles an event.
    ///
    /// After a pause of this instance, the time without messages from others is measured from the
    /// end of the pause, since messages received during it may not have been read yet.
    pub fn record_event(&mut self, now: Instant) {
        if now.since(self.last_event_at) > PAUSE_THRESHOLD {
            self.running_since = now;
        }
        self.last_event_at = now;
    }

    /// Returns when this instance started, or last resumed after a pause.
    pub fn running_since(&self) -> Instant {
        self.running_since
    }

    /// Records a message from an instance; messages of older incarnations are ignored.
    pub fn record_message(&mut self, name: &Name, message: LastMessage) {
        let newest = self.last_messages.get(name).map_or(0, |it| it.incarnation);
        if message.incarnation >= newest {
            self.last_messages.insert(name.clone(), message);
        }
    }

    /// Returns the newest incarnation of an instance that a message was received from.
    pub fn newest_incarnation(&self, name: &str) -> Option<u64> {
        self.last_messages.get(name).map(|it| it.incarnation)
    }

    /// Returns the time since the last message from an instance, or since this instance started or
    /// last resumed after a pause, whichever is shorter.
    pub fn time_since_message(&self, now: Instant, name: &str) -> Duration {
        let received_at =
            self.last_messages.get(name).map_or(Instant::default(), |it| it.received_at);
        now.since(received_at.max(self.running_since))
    }

    /// Returns whether a message from an instance was received within [`FAILURE_TIMEOUT`], or may
    /// still arrive, because this instance has only just started or resumed.
    pub fn is_reachable(&self, now: Instant, name: &str) -> bool {
        self.time_since_message(now, name) < FAILURE_TIMEOUT
    }
}
