//! Orders to endpoints, given by the holder of a lease.
//!
//! A lease is an object on the platform that changes by conditional update only. Each new holder
//! takes a higher fencing number. An endpoint that checks the number refuses an older one. For an
//! endpoint that does not, a new holder first waits until the old one's term and a margin have
//! passed on its own clock, and reads the endpoint's state before and after its order. A holder
//! reads its clock at the moment of use: once its term has passed, it does nothing.

use std::time::Duration;

use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{Instant, object::Name, store::Answer};

/// Kind of the platform's objects that are leases.
pub const KIND: &str = "lease";
/// Term of a lease on its holder's own clock.
pub const TERM: Duration = Duration::from_secs(10);
/// Age at which a holder renews its lease.
pub const RENEW: Duration = Duration::from_secs(3);
/// Margin for clocks that drift and orders that are still on their way.
pub const MARGIN: Duration = Duration::from_secs(5);

/// A lease as the platform holds it.
#[value(eq)]
pub struct Lease {
    /// Name of the holder.
    pub holder: Name,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Fencing number; grows with each holder.
    pub fence: u64,
}

impl Lease {
    /// Reads a lease.
    pub fn read(value: &Value) -> Option<Lease> {
        Some(Lease {
            holder: value["holder"].as_str()?.into(),
            incarnation: value["incarnation"].as_u64()?,
            fence: value["fence"].as_u64()?,
        })
    }

    /// Returns the value that is written to the platform.
    pub fn value(&self) -> Value {
        json!({ "holder": self.holder, "incarnation": self.incarnation, "fence": self.fence })
    }
}

/// Who contends for a lease.
#[value(eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// What a candidate wants done next.
#[value]
pub enum Step {
    /// Read the lease.
    Read,
    /// Write the lease on this condition.
    Write {
        /// The lease.
        lease: Lease,
        /// Version that it must have.
        if_version: u64,
    },
    /// Nothing for now.
    Wait,
}

/// What is known of the lease on the platform.
#[value(default)]
struct Seen {
    version: u64,
    lease: Option<Lease>,
    /// When this version was first seen here.
    since: Instant,
}

/// A write that has not been answered.
#[value]
struct Pending {
    lease: Lease,
    /// When it was begun: the term counts from here, before the platform can have taken it.
    begun: Instant,
}

/// One instance's view of a lease and its own right to it.
#[value]
pub struct LeaseClient {
    identity: Candidate,
    seen: Seen,
    pending: Option<Pending>,
    /// The own lease with the moment from which its term counts.
    own: Option<(Lease, Instant)>,
    /// When the holder before this one can last have acted, as far as this one can know.
    clear_at: Instant,
    known: bool,
}

impl LeaseClient {
    /// Creates the view of an instance that knows nothing yet.
    pub fn new(identity: Candidate) -> LeaseClient {
        LeaseClient {
            identity,
            seen: Seen::default(),
            pending: None,
            own: None,
            clear_at: Instant::default(),
            known: false,
        }
    }

    /// Returns the fencing number with which this instance may give an order at this very moment.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let (lease, from) = self.own.as_ref()?;
        (now.since(*from) < TERM).then_some(lease.fence)
    }

    /// Returns whether an order may go to an endpoint that does not check the number.
    pub fn may_order_unfenced(&self, now: Instant) -> bool {
        self.fence(now).is_some() && now >= self.clear_at
    }

    /// Returns what to do next; `wanted` tells whether this instance should hold the lease.
    pub fn poll(&mut self, now: Instant, wanted: bool) -> Step {
        match &self.own {
            _ if self.pending.is_some() => Step::Wait,
            None if !wanted => Step::Wait,
            _ if !self.known => Step::Read,
            _ if !wanted => Step::Wait,
            Some((lease, from)) if now.since(*from) < TERM => match now.since(*from) >= RENEW {
                true => self.write(now, lease.clone()),
                false => Step::Wait,
            },
            _ if self.is_expired(now) => self.take(now),
            _ => Step::Read,
        }
    }

    /// Another's lease is over once its version has stood unchanged here for term and margin.
    fn is_expired(&self, now: Instant) -> bool {
        self.seen.lease.is_none() || now.since(self.seen.since) >= TERM + MARGIN
    }

    fn take(&mut self, now: Instant) -> Step {
        self.own = None;
        let fence = self.seen.lease.as_ref().map_or(0, |it| it.fence) + 1;
        let Candidate { name: holder, incarnation } = self.identity.clone();
        self.write(now, Lease { holder, incarnation, fence })
    }

    fn write(&mut self, now: Instant, lease: Lease) -> Step {
        self.pending = Some(Pending { lease: lease.clone(), begun: now });
        Step::Write { lease, if_version: self.seen.version }
    }

    /// Takes the platform's answer on a write or a read.
    pub fn answered(&mut self, now: Instant, answer: Answer) {
        match answer {
            Answer::Written { version } => self.written(now, version),
            Answer::Object(object) => {
                let lease = object.value.as_ref().and_then(Lease::read);
                self.read(now, object.version, lease);
            }
            Answer::Missing => self.read(now, 0, None),
            // A write that may or may not have taken effect is settled by reading back.
            _ => self.known = false,
        }
        self.pending = None;
    }

    fn written(&mut self, now: Instant, version: u64) {
        let Some(Pending { lease, begun }) = self.pending.take() else { return };
        let is_new = self.own.as_ref().is_none_or(|(own, _)| own.fence != lease.fence);
        if is_new {
            self.clear_at = begun + MARGIN;
        }
        self.own = Some((lease.clone(), begun));
        self.seen = Seen { version, lease: Some(lease), since: now };
    }

    fn read(&mut self, now: Instant, version: u64, lease: Option<Lease>) {
        self.known = true;
        let own = self.own.as_ref().map(|(own, _)| own);
        if own.is_some() && own != lease.as_ref() {
            self.own = None;
        }
        if self.seen.version != version || self.seen.lease != lease {
            self.seen = Seen { version, lease, since: now };
        }
    }
}

/// What an endpoint says of itself.
#[value(eq)]
pub struct Endpoint {
    /// Whether it refuses old fencing numbers.
    pub fences: bool,
}

/// Where an order stands.
#[value(eq)]
pub enum Phase {
    /// The endpoint's state is read before the order, where it does not check numbers.
    ReadBefore,
    /// The order is given.
    Send,
    /// The endpoint's state is read after the order.
    ReadAfter,
    /// The endpoint is as ordered.
    Done,
    /// Another holder has changed the endpoint meanwhile, or the lease is lost: start again.
    Superseded,
}

/// An order on its way to one endpoint.
#[value(eq)]
pub struct Order {
    fences: bool,
    fence: u64,
    wanted: Value,
    /// Where it stands.
    pub phase: Phase,
}

impl Order {
    /// Creates an order; `wanted` is the endpoint's state when it has been carried out.
    pub fn new(endpoint: &Endpoint, fence: u64, wanted: Value) -> Order {
        let phase = if endpoint.fences { Phase::Send } else { Phase::ReadBefore };
        Order { fences: endpoint.fences, fence, wanted, phase }
    }

    /// Returns whether the order may be given at this moment, with its number.
    pub fn may_send(&self, now: Instant, client: &LeaseClient) -> Option<u64> {
        let held = client.fence(now) == Some(self.fence);
        let clear = self.fences || client.may_order_unfenced(now);
        (held && clear && self.phase == Phase::Send).then_some(self.fence)
    }

    /// Takes the endpoint's state as read before or after the order.
    pub fn state_read(&mut self, state: &Value) {
        self.phase = match self.phase {
            Phase::ReadBefore if *state == self.wanted => Phase::Done,
            Phase::ReadBefore => Phase::Send,
            Phase::ReadAfter if *state == self.wanted => Phase::Done,
            Phase::ReadAfter => Phase::Superseded,
            _ => return,
        };
    }

    /// Takes the endpoint's answer on the order: taken, or refused for an old number.
    pub fn answered(&mut self, taken: bool) {
        self.phase = match (taken, &self.phase) {
            (true, Phase::Send) => Phase::ReadAfter,
            (false, Phase::Send) => Phase::Superseded,
            _ => return,
        };
    }
}
