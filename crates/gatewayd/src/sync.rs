//! Replication of the platform's store by lists and watches, with peers' snapshots as the fallback
//! during a store outage.

mod members;
mod transport;

pub use members::Member;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use siskinstile_gateway::{
    Directory, Event, Instant, Name,
    record::{self, Record},
};
use siskinstile_wire::message::heartbeat::{Object as SnapshotObject, Snapshot};
use tokio::time;

use crate::{
    control::Control,
    mirror::Mirror,
    peers,
    store::{Answer, Call, Fault, Kind, Object},
};

/// Longest wait of a watch; limits the time until a dead connection is detected.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Shortest time between the starts of two watches of a kind; batches bursts of changes.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after the first failed call; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Delay between consecutive ranks in trying to reach the store while no instance is in contact
/// with it.
const RANK_STEP: Duration = Duration::from_millis(200);
/// Longest pause after a failed call at the instance with rank 0; at rank n it is n + 1 times as
/// long.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which a peer may be at a later revision before an instance that follows the store
/// itself pulls a snapshot from it.
const MAX_LAG: Duration = Duration::from_millis(500);
/// Time between two checks for a rank, for peers that are ahead and for deleted objects to remove.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The local copy of one kind, and the peer that has a later one, if any.
#[derive(Debug, Default)]
struct Replica {
    mirror: Mirror,
    /// Revision of a peer that is ahead, since when it has been ahead, and its address.
    peer_ahead: Option<(u64, Instant, SocketAddr)>,
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
}

impl Follower {
    /// Creates a follower of the store at `store`, with empty copies.
    pub fn new(control: Rc<Control>, store: SocketAddr) -> Rc<Follower> {
        Rc::new(Follower {
            control,
            store,
            configuration: RefCell::default(),
            endpoints: RefCell::default(),
            down_since: RefCell::default(),
            configuration_failing: Cell::default(),
            last_answer: RefCell::default(),
        })
    }

    fn replica(&self, kind: Kind) -> &RefCell<Replica> {
        match kind {
            Kind::Configuration => &self.configuration,
            _ => &self.endpoints,
        }
    }

    /// Returns the revision of the last update that changed the copy of a kind.
    pub fn changed_revision(&self, kind: Kind) -> u64 {
        self.replica(kind).borrow().mirror.changed_revision()
    }

    /// Records the revision that a peer reports for its copy of a kind.
    pub fn note_peer_revision(&self, kind: Kind, revision: u64, peer: SocketAddr) {
        let mut replica = self.replica(kind).borrow_mut();
        if revision > replica.mirror.revision()
            && replica.peer_ahead.is_none_or(|it| it.0 < revision)
        {
            let since = replica.peer_ahead.map_or(self.control.now(), |it| it.1);
            replica.peer_ahead = Some((revision, since, peer));
        }
    }

    /// Returns the objects of a kind that have changed since a revision, and the names of all
    /// objects; an empty snapshot with revision 0 before the first list.
    pub fn snapshot(&self, kind: Kind, since: u64) -> Snapshot {
        let replica = self.replica(kind).borrow();
        if !replica.mirror.is_listed() {
            return Snapshot::default();
        }
        let changed = replica.mirror.objects().filter(|it| it.revision > since);
        let objects = changed.map(|it| SnapshotObject {
            name: it.name.to_string(),
            revision: it.revision,
            value: it.value.to_string().into_bytes(),
        });
        Snapshot {
            revision: replica.mirror.changed_revision(),
            objects: objects.collect(),
            names: replica.mirror.objects().map(|it| it.name.to_string()).collect(),
        }
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

    /// Lists and watches a kind until the process ends.
    pub async fn follow(self: Rc<Follower>, kind: Kind) {
        let mut backoff = INITIAL_BACKOFF;
        let mut can_watch = false;
        let mut rank_since = None;
        loop {
            let rank = match self.replica(kind).borrow().mirror.is_listed() {
                true => self.due_rank(kind, &mut rank_since),
                false => Some(0),
            };
            let Some(rank) = rank else {
                // Peers forward the changes meanwhile, and a later watch can resume from their
                // revision.
                can_watch = true;
                time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let result = match can_watch {
                true => self.watch(kind).await,
                false => self.list(kind).await,
            };
            if kind == Kind::Configuration {
                self.configuration_failing.set(result.is_err());
            }
            match result {
                Ok(can_resume) => {
                    can_watch = can_resume;
                    backoff = INITIAL_BACKOFF;
                }
                Err(_) => {
                    time::sleep(backoff * (rank + 1)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Returns this instance's rank, or `None` if it must not call the store now.
    ///
    /// `since` holds the time at which this instance got a rank: instances with a lower rank try
    /// first. While calls for the configuration fail, endpoints are not requested.
    fn due_rank(&self, kind: Kind, since: &mut Option<Instant>) -> Option<u32> {
        let Some(rank) = self.rank() else {
            *since = None;
            return None;
        };
        let now = self.control.now();
        let waited = now.since(*since.get_or_insert(now));
        let waits_for_other = kind == Kind::Endpoints && self.configuration_failing.get();
        (waited >= RANK_STEP * rank && !waits_for_other).then_some(rank)
    }

    /// Lists a kind; returns true, since a watch can resume from the revision of the list.
    ///
    /// The first list may be out of date, since that watch returns the later changes.
    async fn list(&self, kind: Kind) -> Result<bool, Fault> {
        let is_first = !self.replica(kind).borrow().mirror.is_listed();
        let (objects, revision) = self.list_all(kind, is_first).await?;
        let now = self.control.now();
        let has_changed = self.replica(kind).borrow_mut().mirror.replace(now, objects, revision);
        self.apply(kind, has_changed);
        Ok(true)
    }

    /// Lists all objects of a kind, page by page; returns the revision of the first page.
    async fn list_all(&self, kind: Kind, stale: bool) -> Result<(Vec<Object>, u64), Fault> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = objects.last().map(|it| it.name.clone());
            match self.call(&Call::List { kind, after, stale }).await? {
                Answer::Page { items, more, revision } => {
                    let is_last = !more || items.is_empty();
                    objects.extend(items);
                    let first_revision = *first_revision.get_or_insert(revision);
                    if is_last {
                        return Ok((objects, first_revision));
                    }
                }
                _ => return Err(Fault::Lost),
            }
        }
    }

    /// Watches for changes; returns whether another watch can resume from the new revision.
    async fn watch(&self, kind: Kind) -> Result<bool, Fault> {
        let since = self.replica(kind).borrow().mirror.revision();
        let follower_wait = self.control.read(|state| state.follower_watch_wait());
        let wait = follower_wait.unwrap_or(WATCH_WAIT);
        let next_watch = time::Instant::now() + MIN_WATCH_INTERVAL;
        match self.call(&Call::Watch { kind, since, wait }).await? {
            Answer::Events { events, revision } => {
                let now = self.control.now();
                let has_changed =
                    self.replica(kind).borrow_mut().mirror.apply(now, events, revision);
                self.apply(kind, has_changed);
                time::sleep_until(next_watch).await;
                Ok(true)
            }
            Answer::Compacted => Ok(false),
            _ => Err(Fault::Lost),
        }
    }

    /// Posts the copy of a kind to the reducer if it has changed.
    fn apply(&self, kind: Kind, has_changed: bool) {
        {
            let mut replica = self.replica(kind).borrow_mut();
            let revision = replica.mirror.revision();
            replica.peer_ahead = replica.peer_ahead.filter(|it| it.0 > revision);
        }
        match kind {
            _ if !has_changed => {}
            Kind::Configuration => self.apply_configuration(),
            _ => self.apply_endpoints(),
        }
    }

    fn apply_configuration(&self) {
        let catalog = {
            let replica = self.configuration.borrow();
            self.control.protocol.read_catalog(&mut replica.mirror.objects())
        };
        match catalog {
            Ok(catalog) => self.control.post(Event::Configured(Arc::new(catalog))),
            Err(error) => {
                let line =
                    Record::new(record::CONFIG_REFUSED).with("problem", format!("{error:#}"));
                self.control.logger.write(&line);
            }
        }
    }

    fn apply_endpoints(&self) {
        let mut endpoints = Vec::new();
        for object in self.endpoints.borrow().mirror.objects() {
            match self.control.protocol.read_endpoint(object) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => {
                    let line = Record::new(record::ENTRY_UNREADABLE)
                        .with("entry", &*object.name)
                        .with("revision", object.revision)
                        .with("problem", format!("{error:#}"));
                    self.control.logger.write(&line);
                }
            }
        }
        self.control.post(Event::EndpointsListed(Arc::new(Directory::new(endpoints))));
    }

    /// Runs periodic work: pulls snapshots from peers that are ahead, removes deleted objects whose
    /// grace period has ended, and closes expired idle connections.
    pub async fn maintain(self: Rc<Follower>) {
        loop {
            time::sleep(POLL_INTERVAL).await;
            for kind in [Kind::Configuration, Kind::Endpoints] {
                self.pull_if_behind(kind).await;
            }
            let now = self.control.now();
            if self.endpoints.borrow_mut().mirror.expire(now) {
                self.apply_endpoints();
            }
            self.control.client.sweep();
        }
    }

    async fn pull_if_behind(&self, kind: Kind) {
        let now = self.control.now();
        let peer_ahead = self.replica(kind).borrow().peer_ahead;
        let Some((_, since, peer)) = peer_ahead else { return };
        let is_listed = self.replica(kind).borrow().mirror.is_listed();
        if is_listed && self.rank().is_some() && now.since(since) < MAX_LAG {
            return;
        }
        self.replica(kind).borrow_mut().peer_ahead = None;
        let own_revision = self.changed_revision(kind);
        if !self.pull(kind, peer, own_revision).await {
            self.pull(kind, peer, 0).await;
        }
    }

    /// Pulls the changes since a revision from a peer; returns false if this copy lacks unchanged
    /// objects, so that a full snapshot is needed.
    async fn pull(&self, kind: Kind, peer: SocketAddr, since: u64) -> bool {
        match peers::pull(peer, kind, since).await {
            Ok(snapshot) if snapshot.revision > 0 => self.merge_snapshot(kind, peer, snapshot),
            Ok(_) => true,
            Err(error) => {
                log::debug!("pulling a snapshot from {peer} failed: {error}");
                true
            }
        }
    }

    fn merge_snapshot(&self, kind: Kind, peer: SocketAddr, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.replica(kind).borrow().mirror.revision() {
            return true;
        }
        let changed: Vec<Object> = snapshot.objects.into_iter().filter_map(parse_object).collect();
        let names: Vec<Name> = snapshot.names.iter().map(|it| it.as_str().into()).collect();
        let line = Record::new(record::SNAPSHOT_TAKEN)
            .with("kind", kind.as_str())
            .with("peer", peer.to_string())
            .with("revision", snapshot.revision)
            .with("changed", changed.len());
        let now = self.control.now();
        let merged =
            self.replica(kind).borrow_mut().mirror.merge(now, changed, &names, snapshot.revision);
        let Some(has_changed) = merged else { return false };
        self.control.logger.write(&line);
        self.apply(kind, has_changed);
        true
    }
}

fn parse_object(received: SnapshotObject) -> Option<Object> {
    match serde_json::from_slice(&received.value) {
        Ok(value) => {
            Some(Object { name: received.name.as_str().into(), revision: received.revision, value })
        }
        Err(error) => {
            log::warn!("unreadable object {} in a peer's snapshot: {error}", received.name);
            None
        }
    }
}
