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
use siskinstile_wire::message::heartbeat::{Heartbeat, Kept, Object as SnapshotObject, Snapshot};
use tokio::{sync::watch, time};

use crate::{
    control::Control,
    mirror::Mirror,
    peers,
    store::{Answer, Call, Fault, Kind, Object, Position},
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
#[derive(Debug)]
struct Replica {
    mirror: Mirror,
    /// Position of a peer that is ahead, since when it has been ahead, and its address.
    peer_ahead: Option<(Position, Instant, SocketAddr)>,
}

impl Replica {
    fn new(removal_limit: Duration) -> RefCell<Replica> {
        RefCell::new(Replica { mirror: Mirror::new(removal_limit), peer_ahead: None })
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

    /// Records what a peer's heartbeat says of its copies.
    pub fn note_peer(&self, heartbeat: &Heartbeat, peer: SocketAddr) {
        let configuration =
            Position::new(heartbeat.configuration_era, heartbeat.configuration_revision);
        let endpoints = Position::new(heartbeat.endpoints_era, heartbeat.endpoints_revision);
        self.note_peer_position(Kind::Configuration, configuration, peer);
        self.note_peer_position(Kind::Endpoints, endpoints, peer);
        // A store that was restored from an older copy may list an older version than a peer has.
        let version = heartbeat.configuration_version;
        let known = self.newer_configuration.get();
        if version > self.version_in_force().max(known.map_or(0, |it| it.0)) {
            let since = known.map_or(self.control.now(), |it| it.1);
            self.newer_configuration.set(Some((version, since, peer)));
        }
    }

    fn note_peer_position(&self, kind: Kind, position: Position, peer: SocketAddr) {
        let mut replica = self.replica(kind).borrow_mut();
        if position > replica.mirror.position()
            && replica.peer_ahead.is_none_or(|it| it.0 < position)
        {
            let since = replica.peer_ahead.map_or(self.control.now(), |it| it.1);
            replica.peer_ahead = Some((position, since, peer));
        }
    }

    fn version_in_force(&self) -> u64 {
        self.control.read(|state| state.catalog().map_or(0, |it| it.version))
    }

    /// Returns the objects of a kind that have changed since a position, and the names of all
    /// objects; an empty snapshot with revision 0 before the first list.
    pub fn snapshot(&self, kind: Kind, since: Position) -> Snapshot {
        let replica = self.replica(kind).borrow();
        if !replica.mirror.is_listed() {
            return Snapshot::default();
        }
        let changed = replica.mirror.objects().filter(|it| it.position > since);
        let objects = changed.map(|it| SnapshotObject {
            name: it.name.to_string(),
            revision: it.position.revision,
            value: it.value.to_string().into_bytes(),
            era: it.position.era,
        });
        let kept = replica.mirror.kept(self.control.now()).map(|(name, remaining)| Kept {
            name: name.to_string(),
            remaining_ms: remaining.as_millis() as u64,
        });
        let position = replica.mirror.changed_position();
        Snapshot {
            revision: position.revision,
            objects: objects.collect(),
            names: replica.mirror.objects().map(|it| it.name.to_string()).collect(),
            era: position.era,
            kept: kept.collect(),
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
            let result = match can_watch && self.is_in_era(kind) {
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
        let (objects, position) = self.list_all(kind, is_first).await?;
        let now = self.control.now();
        self.update(kind, |mirror| Some(mirror.replace(now, objects, position)));
        Ok(true)
    }

    /// Lists all objects of a kind, page by page; returns the position of the first page.
    async fn list_all(&self, kind: Kind, stale: bool) -> Result<(Vec<Object>, Position), Fault> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first_position = None;
        loop {
            let after = objects.last().map(|it| it.name.clone());
            match self.call(&Call::List { kind, after, stale }).await? {
                Answer::Page { items, more, position } => {
                    let is_last = !more || items.is_empty();
                    objects.extend(items);
                    let first_position = *first_position.get_or_insert(position);
                    match is_last {
                        _ if first_position.era != position.era => return Err(Fault::Lost),
                        true => return Ok((objects, first_position)),
                        false => {}
                    }
                }
                _ => return Err(Fault::Lost),
            }
        }
    }

    /// Watches for changes; returns whether another watch can resume from the new position.
    ///
    /// The watch ends with the era of the store: its revision may be given out again in the next
    /// one, so that it would miss changes without an error.
    async fn watch(&self, kind: Kind) -> Result<bool, Fault> {
        let position = self.replica(kind).borrow().mirror.position();
        let follower_wait = self.control.read(|state| state.follower_watch_wait());
        let wait = follower_wait.unwrap_or(WATCH_WAIT);
        let next_watch = time::Instant::now() + MIN_WATCH_INTERVAL;
        let call = Call::Watch { kind, since: position.revision, wait };
        let mut era = self.era.subscribe();
        let answer = tokio::select! {
            biased;
            answer = self.call(&call) => answer?,
            // The sender is a field of `self`, so the wait cannot fail.
            _ = era.wait_for(|it| it.is_some_and(|it| it > position.era)) => return Ok(false),
        };
        match answer {
            Answer::Events { position: new, .. } if new.era != position.era => Ok(false),
            Answer::Events { events, position } => {
                let now = self.control.now();
                self.update(kind, |mirror| Some(mirror.apply(now, events, position)));
                time::sleep_until(next_watch).await;
                Ok(true)
            }
            Answer::Compacted => Ok(false),
            _ => Err(Fault::Lost),
        }
    }

    /// Returns whether the copy of a kind reflects the era of the store.
    fn is_in_era(&self, kind: Kind) -> bool {
        let copy = self.replica(kind).borrow().mirror.position().era;
        self.era.borrow().is_none_or(|it| it == copy)
    }

    /// Changes the copy of a kind, and posts it to the reducer if an object has changed; returns
    /// false if `change` returns `None`, as it then lacks objects.
    fn update(&self, kind: Kind, change: impl FnOnce(&mut Mirror) -> Option<bool>) -> bool {
        let before =
            (kind == Kind::Configuration).then(|| self.configuration.borrow().mirror.clone());
        let Some(has_changed) = change(&mut self.replica(kind).borrow_mut().mirror) else {
            return false;
        };
        {
            let mut replica = self.replica(kind).borrow_mut();
            let position = replica.mirror.position();
            replica.peer_ahead = replica.peer_ahead.filter(|it| it.0 > position);
        }
        match before {
            _ if !has_changed => {}
            Some(before) => self.apply_configuration(&before),
            None => self.apply_endpoints(),
        }
        true
    }

    /// Posts the configuration; one that is older than that in force, as a restored store lists it,
    /// is replaced by the one `before`, so that peers do not take it either.
    fn apply_configuration(&self, before: &Mirror) {
        let catalog = {
            let replica = self.configuration.borrow();
            self.control.protocol.read_catalog(&mut replica.mirror.objects())
        };
        match catalog {
            Ok(catalog) if catalog.version < self.version_in_force() => {
                self.configuration.borrow_mut().mirror.restore_objects(before);
                let line = Record::new(record::CONFIG_OUTDATED).with("version", catalog.version);
                self.control.logger.write(&line);
            }
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
                        .with("revision", object.position.revision)
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
            self.pull_newer_configuration().await;
            let now = self.control.now();
            if self.endpoints.borrow_mut().mirror.expire(now) {
                self.apply_endpoints();
            }
            self.control.client.sweep();
        }
    }

    /// Pulls the configuration from a peer if a newer version has been in force there for some time
    /// and has not arrived here, as the store was restored from an older copy.
    async fn pull_newer_configuration(&self) {
        let Some((version, since, peer)) = self.newer_configuration.get() else { return };
        let is_in_force = version <= self.version_in_force();
        if !is_in_force && self.control.now().since(since) < MAX_LAG {
            return;
        }
        self.newer_configuration.set(None);
        if !is_in_force {
            self.pull(Kind::Configuration, peer, Position::default()).await;
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
        let own_position = self.changed_position(kind);
        if !self.pull(kind, peer, own_position).await {
            self.pull(kind, peer, Position::default()).await;
        }
    }

    /// Pulls the changes since a position from a peer; returns false if this copy lacks unchanged
    /// objects, so that a full snapshot is needed.
    async fn pull(&self, kind: Kind, peer: SocketAddr, since: Position) -> bool {
        match peers::pull(peer, kind, since).await {
            Ok(snapshot) if snapshot.revision > 0 => self.merge_snapshot(kind, peer, snapshot),
            Ok(_) => true,
            Err(error) => {
                log::info!("pulling a snapshot from {peer} failed: {error}");
                true
            }
        }
    }

    fn merge_snapshot(&self, kind: Kind, peer: SocketAddr, snapshot: Snapshot) -> bool {
        let position = Position::new(snapshot.era, snapshot.revision);
        let changed: Vec<Object> = snapshot.objects.into_iter().filter_map(parse_object).collect();
        let is_later = position > self.replica(kind).borrow().mirror.position();
        let is_useful = is_later || kind == Kind::Configuration && self.is_newer(&changed);
        if !is_useful {
            return true;
        }
        let names: Vec<Name> = snapshot.names.iter().map(|it| it.as_str().into()).collect();
        let kept: Vec<(Name, Duration)> = snapshot.kept.iter().map(kept).collect();
        let line = Record::new(record::SNAPSHOT_TAKEN)
            .with("kind", kind.as_str())
            .with("peer", peer.to_string())
            .with("revision", position.revision)
            .with("changed", changed.len());
        let now = self.control.now();
        let is_merged =
            self.update(kind, |mirror| mirror.merge(now, changed, &names, &kept, position));
        if is_merged {
            self.control.logger.write(&line);
        }
        is_merged
    }

    /// Returns whether objects are a configuration of a newer version than that in force.
    fn is_newer(&self, objects: &[Object]) -> bool {
        let catalog = self.control.protocol.read_catalog(&mut objects.iter());
        catalog.is_ok_and(|it| it.version > self.version_in_force())
    }
}

fn kept(received: &Kept) -> (Name, Duration) {
    (received.name.as_str().into(), Duration::from_millis(received.remaining_ms))
}

fn parse_object(received: SnapshotObject) -> Option<Object> {
    match serde_json::from_slice(&received.value) {
        Ok(value) => Some(Object {
            name: received.name.as_str().into(),
            position: Position::new(received.era, received.revision),
            value,
        }),
        Err(error) => {
            log::warn!("unreadable object {} in a peer's snapshot: {error}", received.name);
            None
        }
    }
}
