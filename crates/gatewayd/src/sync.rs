//! Following of the platform's store: lists and watches, and snapshots of peers where it is away.

mod exchange;
mod members;

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
use siskinstile_wire::message::heartbeat::{Object as SentObject, Snapshot};
use tokio::time;

use crate::{
    control::Control,
    mirror::Mirror,
    peers,
    store::{Answer, Call, Fault, Kind, Object},
};

/// Longest wait of a watch; a connection that has gone silent is found out soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Shortest time from one watch of a kind to the next, so that changes in quick succession come together.
const WATCH_PACE: Duration = Duration::from_millis(200);
/// First pause after a call that failed; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Time between the turns of two instances to follow the store where nobody is in contact with it.
const TURN_STEP: Duration = Duration::from_millis(200);
/// Longest pause after a call that failed, at the instance whose turn is first.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time for which a peer may know more before a snapshot is taken from it.
const LAG_LIMIT: Duration = Duration::from_millis(500);
/// Time between two looks at lags and at objects that lapse.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// What is known of the objects of one kind, and of who may know more.
#[derive(Debug, Default)]
struct Copy {
    mirror: Mirror,
    /// A peer that knows a later change, since when, and where it is.
    ahead: Option<(u64, Instant, SocketAddr)>,
}

/// Copies of the kinds that are followed.
#[derive(Debug)]
pub struct Follower {
    control: Rc<Control>,
    store: SocketAddr,
    configuration: RefCell<Copy>,
    endpoints: RefCell<Copy>,
    lost_since: RefCell<Option<Instant>>,
    /// Whether the last call for the configuration failed.
    configuration_fails: Cell<bool>,
    /// When the store last answered.
    answered: RefCell<Option<Instant>>,
}

impl Follower {
    /// Creates copies that know nothing yet.
    pub fn new(control: Rc<Control>, store: SocketAddr) -> Rc<Follower> {
        Rc::new(Follower {
            control,
            store,
            configuration: RefCell::default(),
            endpoints: RefCell::default(),
            lost_since: RefCell::default(),
            configuration_fails: Cell::default(),
            answered: RefCell::default(),
        })
    }

    fn copy(&self, kind: Kind) -> &RefCell<Copy> {
        match kind {
            Kind::Configuration => &self.configuration,
            _ => &self.endpoints,
        }
    }

    /// Returns the revision of the last change of a kind that is known of.
    pub fn changed(&self, kind: Kind) -> u64 {
        self.copy(kind).borrow().mirror.changed()
    }

    /// Notes the revision up to which a peer knows a kind.
    pub fn heard(&self, kind: Kind, revision: u64, from: SocketAddr) {
        let mut copy = self.copy(kind).borrow_mut();
        if revision > copy.mirror.revision() && copy.ahead.is_none_or(|it| it.0 < revision) {
            let since = copy.ahead.map_or(self.control.now(), |it| it.1);
            copy.ahead = Some((revision, since, from));
        }
    }

    /// Returns the objects of a kind that have changed since a revision, and the names of all.
    pub fn snapshot(&self, kind: Kind, since: u64) -> Snapshot {
        let copy = self.copy(kind).borrow();
        if !copy.mirror.is_known() {
            return Snapshot::default();
        }
        let changed = copy.mirror.objects().filter(|it| it.revision > since);
        let objects = changed.map(|it| SentObject {
            name: it.name.to_string(),
            revision: it.revision,
            value: it.value.to_string().into_bytes(),
        });
        Snapshot {
            revision: copy.mirror.changed(),
            objects: objects.collect(),
            names: copy.mirror.objects().map(|it| it.name.to_string()).collect(),
        }
    }

    /// Returns the milliseconds since the store last answered; the most for never, and while it does
    /// not answer.
    pub fn store_age_ms(&self) -> u32 {
        let answered = self.answered.borrow().filter(|_| self.lost_since.borrow().is_none());
        let age = answered.map(|it| self.control.now().since(it).as_millis());
        age.and_then(|it| it.try_into().ok()).unwrap_or(u32::MAX)
    }

    /// Returns how many others go before this instance in following the store, or none if it need not
    /// follow.
    fn turn(&self) -> Option<u32> {
        let now = self.control.now();
        self.control.read(|state| state.follow_rank(now))
    }

    /// Follows a kind until the process ends.
    pub async fn follow(self: Rc<Follower>, kind: Kind) {
        let mut pause = FIRST_PAUSE;
        let mut listed = false;
        let mut turn_since = None;
        loop {
            let turn = match self.copy(kind).borrow().mirror.is_known() {
                true => self.due_turn(kind, &mut turn_since),
                false => Some(0),
            };
            let Some(turn) = turn else {
                // Peers hand on what changes, and a watch can go on from there.
                listed = true;
                time::sleep(LOOK_INTERVAL).await;
                continue;
            };
            let result = match listed {
                true => self.watch(kind).await,
                false => self.list(kind).await,
            };
            if kind == Kind::Configuration {
                self.configuration_fails.set(result.is_err());
            }
            match result {
                Ok(more) => {
                    listed = more;
                    pause = FIRST_PAUSE;
                }
                Err(_) => {
                    time::sleep(pause * (turn + 1)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// Returns the turn of this instance once it is due: those before it try first, and while the
    /// configuration cannot be had, endpoints are not asked for.
    fn due_turn(&self, kind: Kind, since: &mut Option<Instant>) -> Option<u32> {
        let Some(turn) = self.turn() else {
            *since = None;
            return None;
        };
        let now = self.control.now();
        let waited = now.since(*since.get_or_insert(now));
        let waits_for_other = kind == Kind::Endpoints && self.configuration_fails.get();
        (waited >= TURN_STEP * turn && !waits_for_other).then_some(turn)
    }

    /// Lists a kind. A first list may be old: the watch that follows it brings what it lacks.
    async fn list(&self, kind: Kind) -> Result<bool, Fault> {
        let first = !self.copy(kind).borrow().mirror.is_known();
        let (objects, revision) = self.list_all(kind, first).await?;
        let now = self.control.now();
        let differs = self.copy(kind).borrow_mut().mirror.replace(now, objects, revision);
        self.adopt(kind, differs);
        Ok(true)
    }

    /// Lists all objects of a kind, page by page.
    async fn list_all(&self, kind: Kind, stale: bool) -> Result<(Vec<Object>, u64), Fault> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first = None;
        loop {
            let after = objects.last().map(|it| it.name.clone());
            match self.call(&Call::List { kind, after, stale }).await? {
                Answer::Page { items, more, revision } => {
                    let is_last = !more || items.is_empty();
                    objects.extend(items);
                    let from = *first.get_or_insert(revision);
                    if is_last {
                        return Ok((objects, from));
                    }
                }
                _ => return Err(Fault::Lost),
            }
        }
    }

    /// Waits for changes; returns whether the next watch can go on from there.
    async fn watch(&self, kind: Kind) -> Result<bool, Fault> {
        let since = self.copy(kind).borrow().mirror.revision();
        let relied = self.control.read(|state| state.follower_watch_wait());
        let wait = relied.unwrap_or(WATCH_WAIT);
        let next = time::Instant::now() + WATCH_PACE;
        match self.call(&Call::Watch { kind, since, wait }).await? {
            Answer::Events { events, revision } => {
                let now = self.control.now();
                let differs = self.copy(kind).borrow_mut().mirror.apply(now, events, revision);
                self.adopt(kind, differs);
                time::sleep_until(next).await;
                Ok(true)
            }
            Answer::Compacted => Ok(false),
            _ => Err(Fault::Lost),
        }
    }

    /// Puts what is known of a kind in force.
    fn adopt(&self, kind: Kind, differs: bool) {
        {
            let mut copy = self.copy(kind).borrow_mut();
            let revision = copy.mirror.revision();
            copy.ahead = copy.ahead.filter(|it| it.0 > revision);
        }
        match kind {
            _ if !differs => {}
            Kind::Configuration => self.adopt_configuration(),
            _ => self.adopt_endpoints(),
        }
    }

    fn adopt_configuration(&self) {
        let catalog = {
            let copy = self.configuration.borrow();
            self.control.protocol.read_catalog(&mut copy.mirror.objects())
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

    fn adopt_endpoints(&self) {
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

    /// Takes snapshots from peers that know more, and drops objects that have lapsed.
    pub async fn watch_lags(self: Rc<Follower>) {
        loop {
            time::sleep(LOOK_INTERVAL).await;
            for kind in [Kind::Configuration, Kind::Endpoints] {
                self.catch_up(kind).await;
            }
            let now = self.control.now();
            if self.endpoints.borrow_mut().mirror.expire(now) {
                self.adopt_endpoints();
            }
            self.control.client.sweep();
        }
    }

    async fn catch_up(&self, kind: Kind) {
        let now = self.control.now();
        let ahead = self.copy(kind).borrow().ahead;
        let Some((_, since, peer)) = ahead else { return };
        let known = self.copy(kind).borrow().mirror.is_known();
        if known && self.turn().is_some() && now.since(since) < LAG_LIMIT {
            return;
        }
        self.copy(kind).borrow_mut().ahead = None;
        let own = self.changed(kind);
        if !self.pull(kind, peer, own).await {
            self.pull(kind, peer, 0).await;
        }
    }

    /// Takes from a peer what has changed since a revision; returns whether that was enough.
    async fn pull(&self, kind: Kind, peer: SocketAddr, since: u64) -> bool {
        match peers::pull(peer, kind, since).await {
            Ok(snapshot) if snapshot.revision > 0 => self.take(kind, peer, snapshot),
            Ok(_) => true,
            Err(error) => {
                log::debug!("no snapshot from {peer}: {error}");
                true
            }
        }
    }

    fn take(&self, kind: Kind, peer: SocketAddr, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.copy(kind).borrow().mirror.revision() {
            return true;
        }
        let changed: Vec<Object> = snapshot.objects.into_iter().filter_map(object).collect();
        let names: Vec<Name> = snapshot.names.iter().map(|it| it.as_str().into()).collect();
        let line = Record::new(record::SNAPSHOT_TAKEN)
            .with("kind", kind.as_str())
            .with("peer", peer.to_string())
            .with("revision", snapshot.revision)
            .with("changed", changed.len());
        let now = self.control.now();
        let merged =
            self.copy(kind).borrow_mut().mirror.merge(now, changed, &names, snapshot.revision);
        let Some(differs) = merged else { return false };
        self.control.logger.write(&line);
        self.adopt(kind, differs);
        true
    }
}

fn object(sent: SentObject) -> Option<Object> {
    match serde_json::from_slice(&sent.value) {
        Ok(value) => {
            Some(Object { name: sent.name.as_str().into(), revision: sent.revision, value })
        }
        Err(error) => {
            log::warn!("{} of a peer's snapshot unreadable: {error}", sent.name);
            None
        }
    }
}
