//! Replication of the platform's store by lists and watches, with peers' snapshots as the fallback
//! during a store outage.

pub mod archive;
mod follow;
mod list;
mod members;
mod origins;
mod quarantine;
mod snapshot;
mod transport;
mod update;

use archive::Archive;
pub use members::Member;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use siskinstile_gateway::{
    Instant,
    contact::{Contact, MAX_BACKOFF},
    replication::{Sources, Uploads},
};
use tokio::{sync::watch, task::spawn_local, time};

use crate::{
    Settings,
    control::Control,
    mirror::Mirror,
    store::{Call, Kind, Position},
};

/// Time between two checks for a rank, for peers that are ahead and for deleted objects to remove.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The local copy of one kind, and the peers that have a later one.
#[derive(Debug)]
struct Replica {
    mirror: Mirror,
    archive: Archive,
    sources: Sources,
    /// Snapshots of this copy that are being sent.
    uploads: Uploads,
}

impl Replica {
    fn new(removal_limit: Duration) -> RefCell<Replica> {
        RefCell::new(Replica {
            mirror: Mirror::new(removal_limit),
            archive: Archive::default(),
            sources: Sources::default(),
            uploads: Uploads::default(),
        })
    }
}

/// Keeps copies of the configuration, the endpoints and the evacuations up to date.
#[derive(Debug)]
pub struct Follower {
    control: Rc<Control>,
    store: SocketAddr,
    /// Address of this instance for messages of other instances.
    address: SocketAddr,
    configuration: RefCell<Replica>,
    endpoints: RefCell<Replica>,
    evacuations: RefCell<Replica>,
    /// Whether data centres may be evacuated; otherwise the list is neither read nor pulled.
    has_evacuations: bool,
    contact: RefCell<Contact<Kind>>,
    /// Whether the members have been listed.
    has_members: Cell<bool>,
    /// When the call began whose answer last renewed the contact after an outage.
    renewals: watch::Sender<Instant>,
    /// Number of answers of the store that are being read.
    receiving: Cell<u32>,
    /// Era of the store; `None` before its first answer that states one.
    era: watch::Sender<Option<u64>>,
    /// Newer version of the configuration in force at a peer, since when it has been newer, and the
    /// peer's address.
    newer_configuration: Cell<Option<(u64, Instant, SocketAddr)>>,
}

impl Follower {
    /// Creates a follower of the store, with empty copies.
    pub fn new(control: Rc<Control>, settings: &Settings) -> Rc<Follower> {
        let removal_limit = settings.removal_limit;
        let has_evacuations = settings.evacuation_limit.is_some();
        Rc::new(Follower {
            control,
            store: settings.store,
            address: settings.listen.peers,
            configuration: Replica::new(removal_limit),
            endpoints: Replica::new(removal_limit),
            // Operators write and delete evacuations, so that none is lost in an outage.
            evacuations: Replica::new(Duration::ZERO),
            has_evacuations,
            contact: RefCell::new(Contact::new(kinds(has_evacuations))),
            has_members: Cell::default(),
            renewals: watch::Sender::new(Instant::default()),
            receiving: Cell::default(),
            era: watch::Sender::new(None),
            newer_configuration: Cell::default(),
        })
    }

    fn replica(&self, kind: Kind) -> &RefCell<Replica> {
        match kind {
            Kind::Configuration => &self.configuration,
            Kind::Evacuations => &self.evacuations,
            _ => &self.endpoints,
        }
    }

    /// Returns the kinds that are followed.
    pub fn kinds(&self) -> impl Iterator<Item = Kind> {
        kinds(self.has_evacuations)
    }

    /// Returns the position of the last update that changed the copy of a kind.
    pub fn changed_position(&self, kind: Kind) -> Position {
        self.replica(kind).borrow().mirror.changed_position()
    }

    fn version_in_force(&self) -> u64 {
        self.control.read(|state| state.catalog().map_or(0, |it| it.version))
    }

    /// Returns the milliseconds since the store confirmed the copy that it confirmed least recently;
    /// `u32::MAX` before it has confirmed all and during an outage.
    pub fn store_age_ms(&self) -> u32 {
        let age = self.contact.borrow().oldest_age(self.control.now());
        age.and_then(|it| it.as_millis().try_into().ok()).unwrap_or(u32::MAX)
    }

    /// Returns this instance's rank among those that follow the store, or `None` if it relies on
    /// its peers.
    fn rank(&self) -> Option<u32> {
        let now = self.control.now();
        self.control.read(|state| state.follow_rank(now))
    }

    /// Pulls snapshots of a kind from peers that are ahead, until the process ends.
    pub async fn pull_changes(self: Rc<Follower>, kind: Kind) {
        loop {
            time::sleep(POLL_INTERVAL).await;
            self.pull_if_behind(kind).await;
            if kind == Kind::Configuration {
                self.pull_newer_configuration().await;
            }
        }
    }

    /// Removes deleted objects whose grace period has ended, closes expired idle connections, and probes a
    /// store that has not been heard of, until the process ends.
    pub async fn maintain(self: Rc<Follower>) {
        loop {
            time::sleep(POLL_INTERVAL).await;
            let now = self.control.now();
            if self.endpoints.borrow_mut().mirror.expire(now) {
                self.apply_endpoints();
            }
            self.control.client.sweep();
            self.control.store_client.sweep();
            self.control.peer_client.sweep();
            // A large answer on a slow link delays that to a probe.
            let is_due = self.receiving.get() == 0 && self.contact.borrow_mut().begin_probe(now);
            if is_due && self.rank().is_some() {
                spawn_local(self.clone().probe());
            }
        }
    }

    /// Waits after a failed call until the store answers this instance again, or for the longest back-off.
    async fn back_off(&self) {
        let mut renewals = self.renewals.subscribe();
        // The sender is a field of `self`, so the wait cannot fail.
        let _ = time::timeout(MAX_BACKOFF, renewals.changed()).await;
    }

    /// Calls the store for the sake of its answer alone.
    async fn probe(self: Rc<Follower>) {
        // The result is recorded by the call itself.
        let _ = self.call(&Call::List { kind: Kind::Leases, after: None, stale: true }).await;
    }
}

/// Returns the kinds that are followed.
fn kinds(has_evacuations: bool) -> impl Iterator<Item = Kind> {
    let evacuations = has_evacuations.then_some(Kind::Evacuations);
    [Kind::Configuration, Kind::Endpoints].into_iter().chain(evacuations)
}
