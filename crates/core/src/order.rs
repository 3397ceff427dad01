//! Orders to endpoints, sent by the holder of a lease.
//!
//! A lease is an object on the platform that changes only by conditional updates. Each new holder
//! uses a higher fencing token. An endpoint that checks the token rejects a lower one. For an
//! endpoint that does not, a new holder first waits until the previous holder's term and a margin
//! have passed on its own clock, and it reads the endpoint's state before and after the order. A
//! holder reads its clock right before each use of the lease; once its term has passed, it sends no
//! orders.

use std::time::Duration;

use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{Instant, object::Name, store::Answer};

/// Kind of the lease objects on the platform.
pub const KIND: &str = "lease";
/// Term of a lease, measured on its holder's clock.
pub const TERM: Duration = Duration::from_secs(10);
/// Age at which a holder renews its lease.
pub const RENEW: Duration = Duration::from_secs(3);
/// Margin for clock drift and for orders in transit.
pub const MARGIN: Duration = Duration::from_secs(5);

/// Largest fencing token of a stored lease; tokens go up by one with each holder.
pub const MAX_FENCE: u64 = u32::MAX as u64 - 1;

/// A lease as stored on the platform.
#[value(eq)]
pub struct Lease {
    /// Name of the holder.
    pub holder: Name,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Fencing token; increases with each holder.
    pub fence: u64,
}

impl Lease {
    /// Parses a stored lease; none if a field is missing, has the wrong type or is out of its range.
    pub fn parse(value: &Value) -> Option<Lease> {
        Some(Lease {
            holder: value["holder"].as_str()?.into(),
            incarnation: value["incarnation"].as_u64()?,
            fence: value["fence"].as_u64().filter(|it| *it <= MAX_FENCE)?,
        })
    }

    /// Returns the lease in its stored form.
    pub fn value(&self) -> Value {
        json!({ "holder": self.holder, "incarnation": self.incarnation, "fence": self.fence })
    }
}

/// An instance that may hold a lease.
#[value(eq)]
pub struct Candidate {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

/// The next action of a candidate.
#[value]
pub enum Step {
    /// Read the lease.
    Read,
    /// Write the lease by a conditional update.
    Write {
        /// The lease to write.
        lease: Lease,
        /// Version that the stored lease must have.
        if_version: u64,
    },
    /// Do nothing now.
    Wait,
}

/// The lease as last read from or written to the platform.
#[value(default)]
struct Observed {
    version: u64,
    lease: Option<Lease>,
    /// When this version was first observed by this instance.
    first_seen: Instant,
}

/// A write without an answer.
#[value]
struct Pending {
    lease: Lease,
    /// When the write was started. The term counts from here, before the platform can have applied
    /// it.
    started: Instant,
}

/// State machine by which one candidate acquires and renews a lease.
#[value]
pub struct LeaseClient {
    identity: Candidate,
    observed: Observed,
    pending: Option<Pending>,
    /// The lease that this instance holds, with the start of its term.
    held: Option<(Lease, Instant)>,
    /// Time from which orders to endpoints without fencing are safe: earlier orders of the previous
    /// holder have arrived by then.
    unfenced_from: Instant,
    /// Time from which a lease that is missing may be acquired.
    vacant_from: Instant,
    is_known: bool,
}

impl LeaseClient {
    /// Creates a client that has not read the lease yet.
    pub fn new(identity: Candidate) -> LeaseClient {
        LeaseClient {
            identity,
            observed: Observed::default(),
            pending: None,
            held: None,
            unfenced_from: Instant::default(),
            vacant_from: Instant::default(),
            is_known: false,
        }
    }

    /// Records that the platform was restored from an older copy: the lease is lost, also if this
    /// instance holds it, and a write without an answer has no effect.
    ///
    /// Another candidate may have acquired the lease after the copy was taken and act on it until
    /// its term has passed, so a new one is not acquired before.
    pub fn platform_restored(&mut self, now: Instant) {
        self.held = None;
        self.pending = None;
        self.observed = Observed { first_seen: now, ..Observed::default() };
        self.vacant_from = now + TERM + MARGIN;
        self.is_known = false;
    }

    /// Returns the fencing token if this instance holds the lease at `now`.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let (lease, start) = self.held.as_ref()?;
        (now.since(*start) < TERM).then_some(lease.fence)
    }

    /// Returns whether orders may be sent to endpoints that do not check the fencing token.
    pub fn may_order_unfenced(&self, now: Instant) -> bool {
        self.fence(now).is_some() && now >= self.unfenced_from
    }

    /// Returns the next action. `should_hold` is whether this instance should hold the lease.
    pub fn poll(&mut self, now: Instant, should_hold: bool) -> Step {
        match &self.held {
            _ if self.pending.is_some() => Step::Wait,
            None if !should_hold => Step::Wait,
            _ if !self.is_known => Step::Read,
            _ if !should_hold => Step::Wait,
            Some((lease, start)) if now.since(*start) < TERM => match now.since(*start) >= RENEW {
                true => self.write(now, lease.clone()),
                false => Step::Wait,
            },
            _ if self.is_other_expired(now) => self.acquire(now),
            _ => Step::Read,
        }
    }

    /// Returns whether there is no lease, or another candidate's lease has expired: its version has
    /// stayed unchanged for the term and the margin.
    fn is_other_expired(&self, now: Instant) -> bool {
        let is_vacant = self.observed.lease.is_none() && now >= self.vacant_from;
        is_vacant || now.since(self.observed.first_seen) >= TERM + MARGIN
    }

    fn acquire(&mut self, now: Instant) -> Step {
        self.held = None;
        let fence = self.observed.lease.as_ref().map_or(0, |it| it.fence) + 1;
        let Candidate { name: holder, incarnation } = self.identity.clone();
        self.write(now, Lease { holder, incarnation, fence })
    }

    fn write(&mut self, now: Instant, lease: Lease) -> Step {
        self.pending = Some(Pending { lease: lease.clone(), started: now });
        Step::Write { lease, if_version: self.observed.version }
    }

    /// Handles the platform's answer to a read or a write.
    pub fn handle_answer(&mut self, now: Instant, answer: Answer) {
        match answer {
            Answer::Written { version } => self.handle_written(now, version),
            Answer::Object(object) => {
                let lease = object.value.as_ref().and_then(Lease::parse);
                self.handle_read(now, object.version, lease);
            }
            Answer::Missing => self.handle_read(now, 0, None),
            // After a write with an unknown outcome, the lease is read again.
            _ => self.is_known = false,
        }
        self.pending = None;
    }

    fn handle_written(&mut self, now: Instant, version: u64) {
        let Some(Pending { lease, started }) = self.pending.take() else { return };
        let is_new = self.held.as_ref().is_none_or(|(held, _)| held.fence != lease.fence);
        if is_new {
            self.unfenced_from = started + MARGIN;
        }
        self.held = Some((lease.clone(), started));
        self.observed = Observed { version, lease: Some(lease), first_seen: now };
    }

    fn handle_read(&mut self, now: Instant, version: u64, lease: Option<Lease>) {
        self.is_known = true;
        let held = self.held.as_ref().map(|(held, _)| held);
        if held.is_some() && held != lease.as_ref() {
            self.held = None;
        }
        if self.observed.version != version || self.observed.lease != lease {
            self.observed = Observed { version, lease, first_seen: now };
        }
    }
}

/// Properties of an endpoint that receives orders.
#[value(eq)]
pub struct Endpoint {
    /// Whether it rejects outdated fencing tokens.
    pub fences: bool,
}

/// Current step of an order.
#[value(eq)]
pub enum Phase {
    /// The endpoint's state has to be read before the order; only if the endpoint does not check
    /// tokens.
    ReadBefore,
    /// The order has to be sent.
    Send,
    /// The endpoint's state has to be read after the order.
    ReadAfter,
    /// The endpoint has the requested state.
    Done,
    /// Another holder has changed the endpoint since, or the lease is lost; the order has to be
    /// started again.
    Superseded,
}

/// An order to one endpoint.
#[value(eq)]
pub struct Order {
    fences: bool,
    fence: u64,
    target: Value,
    /// Current step.
    pub phase: Phase,
}

impl Order {
    /// Creates an order. `target` is the endpoint's state after the order is carried out.
    pub fn new(endpoint: &Endpoint, fence: u64, target: Value) -> Order {
        let phase = if endpoint.fences { Phase::Send } else { Phase::ReadBefore };
        Order { fences: endpoint.fences, fence, target, phase }
    }

    /// Returns the fencing token to send the order with, or none if it may not be sent at `now`.
    pub fn may_send(&self, now: Instant, client: &LeaseClient) -> Option<u64> {
        let is_holder = client.fence(now) == Some(self.fence);
        let is_clear = self.fences || client.may_order_unfenced(now);
        (is_holder && is_clear && self.phase == Phase::Send).then_some(self.fence)
    }

    /// Handles the endpoint's state, read before or after the order.
    pub fn handle_state(&mut self, state: &Value) {
        self.phase = match self.phase {
            Phase::ReadBefore if *state == self.target => Phase::Done,
            Phase::ReadBefore => Phase::Send,
            Phase::ReadAfter if *state == self.target => Phase::Done,
            Phase::ReadAfter => Phase::Superseded,
            _ => return,
        };
    }

    /// Handles the endpoint's answer: accepted, or rejected for an outdated token.
    pub fn handle_answer(&mut self, accepted: bool) {
        self.phase = match (accepted, &self.phase) {
            (true, Phase::Send) => Phase::ReadAfter,
            (false, Phase::Send) => Phase::Superseded,
            _ => return,
        };
    }
}
