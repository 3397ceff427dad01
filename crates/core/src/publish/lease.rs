//! The publish lease: who may publish, for a term on its own monotonic clock.
//!
//! A holder counts its term from before it wrote the lease and stops a margin early; another
//! instance takes the lease only after it has seen it unchanged for the term and a margin. No clock
//! is compared with another's. A holder that was paused finds its term over when it wakes.

use std::time::Duration;

use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{
    Instant,
    object::Name,
    store::{Answer, Call, Object},
};

/// Kind of the leases.
pub const KIND: &str = "lease";
/// Name of the publish lease.
pub const NAME: &str = "publisher";
/// Term of the lease.
pub const TERM: Duration = Duration::from_secs(9);
/// Margin for clocks that run at different rates, kept on both sides.
pub const MARGIN: Duration = Duration::from_millis(1_500);
/// Time between two renewals, and between two reads of a candidate.
const PERIOD: Duration = Duration::from_secs(3);

/// The lease as one instance knows it.
#[value]
pub struct Lease {
    own: Name,
    incarnation: u64,
    /// Number of the last write, by which a lost answer is settled.
    writes: u64,
    seen: Option<Seen>,
    asked: Option<Instant>,
    /// When the write under way was sent.
    written: Option<Instant>,
    until: Option<Instant>,
    fence: u64,
    /// Whether the term is ignored; a fault that tests inject.
    pub(super) unfenced: bool,
}

/// The lease as last read.
#[value]
struct Seen {
    version: u64,
    fence: u64,
    free: bool,
    since: Instant,
}

impl Lease {
    /// Creates the view of an instance that knows nothing of the lease.
    pub fn new(own: Name, incarnation: u64) -> Lease {
        Lease {
            own,
            incarnation,
            writes: 0,
            seen: None,
            asked: None,
            written: None,
            until: None,
            fence: 0,
            unfenced: false,
        }
    }

    /// Returns the fencing number while the lease is held; to be asked at the moment of use.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        self.until.filter(|until| now < *until || self.unfenced).map(|_| self.fence)
    }

    /// Returns the call that is due, if any.
    pub fn tick(&mut self, now: Instant, candidate: bool) -> Option<Call> {
        if !candidate && self.fence(now).is_none() {
            return None;
        }
        if self.asked.is_some_and(|at| now.since(at) < PERIOD) {
            return None;
        }
        self.asked = Some(now);
        match (&self.seen, self.fence(now)) {
            (Some(seen), Some(fence)) => Some(self.write(now, seen.version, fence)),
            (Some(seen), None) if seen.free || now.since(seen.since) >= TERM + MARGIN => {
                Some(self.write(now, seen.version, seen.fence + 1))
            }
            _ => Some(read()),
        }
    }

    /// Returns the write that frees the lease for the next holder.
    pub fn release(&mut self, now: Instant) -> Option<Call> {
        let fence = self.fence(now)?;
        self.until = None;
        let version = self.seen.as_ref()?.version;
        let value = json!({ "holder": "", "fence": fence });
        Some(put(value, version))
    }

    /// Takes an answer and returns the call that follows.
    pub fn handle_answer(&mut self, now: Instant, answer: Answer) -> Option<Call> {
        match answer {
            Answer::Written { version } => {
                let sent = self.written.take()?;
                let fence = self.fence;
                self.until = Some(sent + (TERM - MARGIN));
                self.seen = Some(Seen { version, fence, free: false, since: now });
                None
            }
            Answer::Object(object) => self.read(now, object),
            Answer::Missing => {
                self.seen = Some(Seen { version: 0, fence: 0, free: true, since: now });
                Some(self.write(now, 0, 1))
            }
            Answer::Conflict | Answer::Lost if self.written.is_some() => Some(read()),
            _ => None,
        }
    }

    fn read(&mut self, now: Instant, object: Object) -> Option<Call> {
        let value = object.value.unwrap_or_default();
        let fence = value["fence"].as_u64().unwrap_or(0);
        let free = value["holder"] == "";
        let own = value["holder"] == *self.own
            && value["incarnation"] == self.incarnation
            && value["write"] == self.writes;
        match self.written.take() {
            Some(sent) if own => self.until = Some(sent + (TERM - MARGIN)),
            Some(_) if value["holder"] != *self.own && !self.unfenced => self.until = None,
            _ => {}
        }
        let version = object.version;
        let same = self.seen.as_ref().filter(|it| it.version == version).map(|it| it.since);
        self.seen = Some(Seen { version, fence, free, since: same.unwrap_or(now) });
        free.then(|| self.write(now, version, fence + 1))
    }

    fn write(&mut self, now: Instant, version: u64, fence: u64) -> Call {
        self.written = Some(now);
        self.writes += 1;
        self.fence = fence;
        let (holder, incarnation, write) = (&self.own, self.incarnation, self.writes);
        let value = json!({
            "holder": holder, "incarnation": incarnation, "write": write, "fence": fence,
        });
        put(value, version)
    }
}

fn read() -> Call {
    Call::Get { kind: KIND.into(), name: NAME.into() }
}

fn put(value: Value, version: u64) -> Call {
    Call::Put { kind: KIND.into(), name: NAME.into(), value, if_version: Some(version) }
}
