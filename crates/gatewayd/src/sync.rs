//! Replication of the platform's store by lists and watches, with peers' snapshots as the fallback
//! during a store outage.

pub mod archive;
mod follow;
mod members;
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

use siskinstile_gateway::Instant;
use tokio::{sync::watch, time};

use crate::{
    control::Control,
    mirror::Mirror,
    store::{Kind, Position},
};

/// Longest pause after a failed call at the instance with rank 0; at rank n it is n + 1 times as
/// long.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time between two checks for a rank, for peers that are ahead and for deleted objects to remove.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The local copy of one kind, and the peer that has a later one, if any.
#[derive(Debug)]
struct Replica {
    mirror: Mirror,
    archive: Archive,
    /// Position of a peer that is ahead, since when it has been ahead, and its address.
    peer_ahead: Option<(Position, Instant, SocketAddr)>,
}

impl Replica {
    fn new(removal_limit: Duration) -> RefCell<Replica> {
        RefCell::new(Replica {
            mirror: Mirror::new(removal_limit),
            archive: Archive::default(),
            peer_ahead: None,
        })
    }
}

/// Keeps copies of the configuration and the endpoints up to date.
#[derive(Debug)]
pub struct Follower {
    control: Rc<Control>,
    store: SocketAddr,
    configuration: RefCell<Replica>,
    endpoints: RefCell<Replica>,
    down_since: RefCell<Option<Instant>>,
    /// Whether the last call for the configuration failed; endpoints are not requested meanwhile.
    configuration_failing: Cell<bool>,
    /// When the store last answered successfully.
    last_answer: RefCell<Option<Instant>>,
    /// Era of the store; `None` before its first answer that states one.
    era: watch::Sender<Option<u64>>,
    /// Newer version of the configuration in force at a peer, since when it has been newer, and the
    /// peer's address.
    newer_configuration: Cell<Option<(u64, Instant, SocketAddr)>>,
}

impl Follower {
    /// Creates a follower of the store at `store`, with empty copies. `removal_limit` is the time
    /// after which an endpoint that has left must not be in use any more.
    pub fn new(control: Rc<Control>, store: SocketAddr, removal_limit: Duration) -> Rc<Follower> {
        Rc::new(Follower {
            control,
            store,
            configuration: Replica::new(removal_limit),
            endpoints: Replica::new(removal_limit),
            down_since: RefCell::default(),
            configuration_failing: Cell::default(),
            last_answer: RefCell::default(),
            era: watch::Sender::new(None),
            newer_configuration: Cell::default(),
        })
    }

    fn replica(&self, kind: Kind) -> &RefCell<Replica> {
        match kind {
            Kind::Configuration => &self.configuration,
            _ => &self.endpoints,
        }
    }

    /// Returns the position of the last update that changed the copy of a kind.
    pub fn changed_position(&self, kind: Kind) -> Position {
        self.replica(kind).borrow().mirror.changed_position()
    }

    fn version_in_force(&self) -> u64 {
        self.control.read(|state| state.catalog().map_or(0, |it| it.version))
    }

    /// Returns the milliseconds since the store last answered; `u32::MAX` before its first answer
    /// and during an outage.
    pub fn store_age_ms(&self) -> u32 {
        let last_answer = self.last_answer.borrow().filter(|_| self.down_since.borrow().is_none());
        let age = last_answer.map(|it| self.control.now().since(it).as_millis());
        age.and_then(|it| it.try_into().ok()).unwrap_or(u32::MAX)
    }

    /// Returns this instance's rank among those that follow the store, or `None` if it relies on
    /// its peers.
    fn rank(&self) -> Option<u32> {
        let now = self.control.now();
        self.control.read(|state| state.follow_rank(now))
    }

    /// Runs periodic work: pulls snapshots from peers that are ahead, removes deleted objects whose
    /// grace period has ended, and closes expired idle connections.
    pub async fn maintain(self: Rc<Follower>) {
        loop {
            time::sleep(POLL_INTERVAL).await;
            for kind in [Kind::Configuration, Kind::Endpoints] {
                self.pull_if_behind(kind).await;
            }
            self.pull_newer_configuration().await;
            let now = self.control.now();
            if self.endpoints.borrow_mut().mirror.expire(now) {
                self.apply_endpoints();
            }
            self.control.client.sweep();
        }
    }
}
