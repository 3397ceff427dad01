//! The publish lease, which limits publication to one instance for a term.
//!
//! The holder measures its term on its own monotonic clock, from before it sent the write, and
//! stops a margin early. Another instance acquires the lease only after it has seen it unchanged
//! for the term and a margin. Clocks of different instances are never compared. A holder whose
//! process was paused finds its term expired when it resumes.

use std::time::Duration;

use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{
    Instant,
    object::Name,
    store::{Answer, Call, Object},
};

/// Stored kind of leases.
pub const KIND: &str = "lease";
/// Name of the publish lease.
pub const NAME: &str = "publisher";
/// Term of the lease.
pub const TERM: Duration = Duration::from_secs(9);
/// Margin for clocks that run at different rates; observed by the holder and by candidates.
pub const MARGIN: Duration = Duration::from_millis(1_500);
/// Interval between renewals of the holder and between reads of a candidate.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// One instance's view of the lease.
#[value]
pub struct LeaseClient {
    own: Name,
    incarnation: u64,
    /// Number of the last write; identifies it when its answer was lost and the lease is read back.
    writes: u64,
    observed: Option<Observation>,
    last_call: Option<Instant>,
    /// When the write in flight was sent.
    write_sent: Option<Instant>,
    /// End of the own term, less the margin; none if the lease is not held.
    expires: Option<Instant>,
    fence: u64,
    /// Whether the expiry of the term is ignored; an injected fault.
    pub(super) ignore_term: bool,
}

/// The lease as it was last read.
#[value]
struct Observation {
    version: u64,
    fence: u64,
    /// Whether the last holder has released it.
    free: bool,
    /// When this version was first read.
    first_seen: Instant,
}

impl LeaseClient {
    /// Creates the view of an instance that has not read the lease yet.
    pub fn new(own: Name, incarnation: u64) -> LeaseClient {
        LeaseClient {
            own,
            incarnation,
            writes: 0,
            observed: None,
            last_call: None,
            write_sent: None,
            expires: None,
            fence: 0,
            ignore_term: false,
        }
    }

    /// Returns the fencing token if the lease is held at `now`.
    ///
    /// Callers check this immediately before each use of the lease and do not store the result.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        self.expires.filter(|expires| now < *expires || self.ignore_term).map(|_| self.fence)
    }

    /// Returns the renewal, acquisition or read that is due, if any.
    pub fn tick(&mut self, now: Instant, candidate: bool) -> Option<Call> {
        if !candidate && self.fence(now).is_none() {
            return None;
        }
        if self.last_call.is_some_and(|at| now.since(at) < RENEW_INTERVAL) {
            return None;
        }
        self.last_call = Some(now);
        match (&self.observed, self.fence(now)) {
            (Some(last), Some(fence)) => Some(self.write(now, last.version, fence)),
            (Some(last), None) if last.free || now.since(last.first_seen) >= TERM + MARGIN => {
                Some(self.write(now, last.version, last.fence + 1))
            }
            _ => Some(read()),
        }
    }

    /// Ends the term and returns the write that marks the lease as free; none if it is not held.
    pub fn release(&mut self, now: Instant) -> Option<Call> {
        let fence = self.fence(now)?;
        self.expires = None;
        let version = self.observed.as_ref()?.version;
        let value = json!({ "holder": "", "fence": fence });
        Some(put(value, version))
    }

    /// Processes the platform's answer and returns the call that follows.
    pub fn handle_answer(&mut self, now: Instant, answer: Answer) -> Option<Call> {
        match answer {
            Answer::Written { version } => {
                let sent = self.write_sent.take()?;
                let fence = self.fence;
                self.expires = Some(sent + (TERM - MARGIN));
                self.observed = Some(Observation { version, fence, free: false, first_seen: now });
                None
            }
            Answer::Object(object) => self.handle_read(now, object),
            Answer::Missing => {
                self.observed =
                    Some(Observation { version: 0, fence: 0, free: true, first_seen: now });
                Some(self.write(now, 0, 1))
            }
            Answer::Conflict | Answer::Lost if self.write_sent.is_some() => Some(read()),
            _ => None,
        }
    }

    fn handle_read(&mut self, now: Instant, object: Object) -> Option<Call> {
        let value = object.value.unwrap_or_default();
        let fence = value["fence"].as_u64().unwrap_or(0);
        let free = value["holder"] == "";
        let own = value["holder"] == *self.own
            && value["incarnation"] == self.incarnation
            && value["write"] == self.writes;
        match self.write_sent.take() {
            Some(sent) if own => self.expires = Some(sent + (TERM - MARGIN)),
            Some(_) if value["holder"] != *self.own && !self.ignore_term => self.expires = None,
            _ => {}
        }
        let version = object.version;
        let first_seen =
            self.observed.as_ref().filter(|it| it.version == version).map(|it| it.first_seen);
        self.observed =
            Some(Observation { version, fence, free, first_seen: first_seen.unwrap_or(now) });
        free.then(|| self.write(now, version, fence + 1))
    }

    fn write(&mut self, now: Instant, version: u64, fence: u64) -> Call {
        self.write_sent = Some(now);
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
