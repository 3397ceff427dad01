//! Snapshots of the local copies, exchanged with peers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use prost::Message as _;
use siskinstile_gateway::{
    Instant, Name,
    record::{self, Record},
};
use siskinstile_macros::value;
use siskinstile_wire::message::{
    heartbeat::Heartbeat,
    snapshot::{Kept, Object as SnapshotObject, Pull, Snapshot, Version},
};
use tokio::time;

use super::{
    Follower, POLL_INTERVAL, Replica,
    archive::{Archive, Difference},
};
use crate::{
    peers::transfer::{Broken, Incoming},
    store::{Kind, Object, Position},
};

/// Time for which a peer may be at a later revision before an instance that follows the store
/// itself pulls a snapshot from it.
const MAX_LAG: Duration = Duration::from_millis(500);

/// An answer to a pull that is being sent, until it is dropped.
#[derive(Debug)]
pub struct Upload {
    follower: Rc<Follower>,
    kind: Kind,
    /// Size of the answer, in bytes.
    len: usize,
    /// Address of the receiver, and the position of what it gets.
    receiver: Option<(SocketAddr, Position)>,
    is_received: bool,
}

impl Upload {
    /// Records that the receiver has got all of the answer.
    pub fn complete(mut self) {
        self.is_received = true;
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let receiver = self.receiver.filter(|_| self.is_received);
        self.follower.replica(self.kind).borrow_mut().uploads.end(self.len, receiver);
    }
}

/// What to pull from a peer.
#[value(id)]
enum Extent {
    /// What has changed since the position of this copy.
    Changes,
    /// All objects.
    All,
}

impl Follower {
    /// Records what a peer's heartbeat says of its copies.
    pub fn note_peer(&self, heartbeat: &Heartbeat, peer: SocketAddr) {
        let configuration =
            Position::new(heartbeat.configuration_era, heartbeat.configuration_revision);
        let endpoints = Position::new(heartbeat.endpoints_era, heartbeat.endpoints_revision);
        self.note_peer_position(Kind::Configuration, configuration, peer);
        self.note_peer_position(Kind::Endpoints, endpoints, peer);
        if self.has_evacuations {
            let position = Position::new(heartbeat.evacuations_era, heartbeat.evacuations_revision);
            self.note_peer_position(Kind::Evacuations, position, peer);
        }
        if heartbeat.store_age_ms != u32::MAX {
            let now = self.control.now();
            let answered_at = now - Duration::from_millis(heartbeat.store_age_ms.into());
            self.contact.borrow_mut().peer_answered(now, answered_at);
        }
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
        let own = replica.mirror.position();
        replica.sources.record(self.control.now(), peer, position, own);
    }

    /// Returns the encoded answer to a pull of a kind; as long as too many are being
    /// sent, it refers to others and has no upload.
    pub fn answer(self: &Rc<Follower>, kind: Kind, pull: &Pull) -> (Bytes, Option<Upload>) {
        let snapshot = self.snapshot(kind, pull);
        let bytes = Bytes::from(snapshot.encode_to_vec());
        let Snapshot { revision, era, .. } = snapshot;
        let position = Position::new(era, revision);
        let uploads = &mut self.replica(kind).borrow_mut().uploads;
        if uploads.begin(bytes.len()) {
            let (follower, len) = (self.clone(), bytes.len());
            let receiver = pull.address.parse().ok().map(|it| (it, position));
            return (bytes, Some(Upload { follower, kind, len, receiver, is_received: false }));
        }
        if !pull.reads_all() {
            return (bytes, None);
        }
        let holders = uploads.refer(position).iter().map(SocketAddr::to_string).collect();
        let busy = Snapshot { revision, era, busy: true, holders, ..Snapshot::default() };
        (Bytes::from(busy.encode_to_vec()), None)
    }

    /// Returns the objects of a kind that have changed since the position of a pull, and the names of
    /// all objects; an empty snapshot with revision 0 before the first list.
    fn snapshot(&self, kind: Kind, pull: &Pull) -> Snapshot {
        let mut replica = self.replica(kind).borrow_mut();
        let Replica { mirror, archive, .. } = &mut *replica;
        if !mirror.is_listed() {
            return Snapshot::default();
        }
        let since = Position::new(pull.era, pull.since);
        let changed = mirror.objects().filter(|it| it.position > since);
        let mut encode = |it: &Object| archive.encode(it, &pull.held).filter(|_| pull.reads_all());
        let objects = changed.map(|it| sent_object(it, encode(it))).collect();
        let kept = mirror.kept(self.control.now()).map(|(name, remaining)| Kept {
            name: name.to_string(),
            remaining_ms: remaining.as_millis() as u64,
        });
        let position = mirror.changed_position();
        Snapshot {
            revision: position.revision,
            objects,
            names: mirror.objects().map(|it| it.name.to_string()).collect(),
            era: position.era,
            kept: kept.collect(),
            ..Snapshot::default()
        }
    }

    /// Pulls the configuration from a peer if a newer version has been in force there for some time
    /// and has not arrived here, as the store was restored from an older copy.
    pub(super) async fn pull_newer_configuration(&self) {
        let Some((version, since, peer)) = self.newer_configuration.get() else { return };
        let is_in_force = version <= self.version_in_force();
        if !is_in_force && self.control.now().since(since) < MAX_LAG {
            return;
        }
        self.newer_configuration.set(None);
        if !is_in_force {
            self.pull(Kind::Configuration, peer, Extent::All).await;
        }
    }

    /// Pulls the changes of a kind from a peer that is ahead: at once if this instance relies on its
    /// peers or has no copy yet, otherwise after [`MAX_LAG`].
    pub(super) async fn pull_if_behind(&self, kind: Kind) {
        let waits = self.replica(kind).borrow().mirror.is_listed() && self.rank().is_some();
        let lag = if waits { MAX_LAG } else { Duration::ZERO };
        let is_due = |it: Instant| it + lag <= self.control.now();
        if !self.replica(kind).borrow().sources.ahead_since().is_some_and(is_due) {
            return;
        }
        let Some((peer, started, incoming)) = self.open_first(kind).await else { return };
        if !self.take(kind, peer, started, incoming.read().await) {
            self.pull(kind, peer, Extent::All).await;
        }
    }

    /// Asks peers for the changes of a kind, one after the other while none begins to answer; returns the first
    /// answer, with its sender and the time at which it was asked.
    async fn open_first(&self, kind: Kind) -> Option<(SocketAddr, Instant, Incoming)> {
        let mut asked = FuturesUnordered::new();
        let opened = loop {
            let now = self.control.now();
            let peer = self.replica(kind).borrow_mut().sources.ask(now, rand::random());
            if let Some(peer) = peer {
                let request = self.request(kind, Extent::Changes);
                asked.push(async move { (peer, now, Incoming::open(peer, &request).await) });
            }
            tokio::select! {
                answer = asked.next() => match answer {
                    Some((peer, at, Ok(incoming))) => break Some((peer, at, incoming)),
                    Some((peer, at, Err(broken))) => self.record_broken(kind, peer, at, &broken),
                    None => break None,
                },
                () = time::sleep(POLL_INTERVAL) => {}
            }
        };
        self.replica(kind).borrow_mut().sources.end_asking();
        opened
    }

    /// Returns the request for what this copy of a kind lacks.
    fn request(&self, kind: Kind, extent: Extent) -> Pull {
        let name = kind.as_str().to_owned();
        let address = self.address.to_string();
        match extent {
            Extent::All => Pull { kind: name, address, ..Pull::default() },
            Extent::Changes => {
                let replica = self.replica(kind).borrow();
                let Position { era, revision } = replica.mirror.changed_position();
                let held = replica.archive.versions();
                Pull { kind: name, since: revision, era, held, address }
            }
        }
    }

    /// Pulls objects from a peer; returns false if this copy lacks unchanged objects or earlier
    /// versions, so that all of them are needed.
    async fn pull(&self, kind: Kind, peer: SocketAddr, extent: Extent) -> bool {
        let started = self.control.now();
        let request = self.request(kind, extent);
        let pulled = match Incoming::open(peer, &request).await {
            Ok(incoming) => incoming.read().await,
            Err(broken) => Err(broken),
        };
        self.take(kind, peer, started, pulled)
    }

    /// Applies what a peer has answered to a pull; returns false if all objects are needed.
    fn take(
        &self,
        kind: Kind,
        peer: SocketAddr,
        started: Instant,
        pulled: Result<(Snapshot, usize), Broken>,
    ) -> bool {
        let took_ms = self.control.now().since(started).as_millis() as u64;
        match pulled {
            Ok((snapshot, _)) if snapshot.busy => {
                let holders = snapshot.holders.iter().filter_map(|it| it.parse().ok());
                self.defer(kind, peer, &holders.collect::<Vec<_>>());
                true
            }
            Ok((snapshot, bytes)) => {
                // A peer that was referred to may not have the changes yet.
                self.defer(kind, peer, &[]);
                let line = Record::new(record::SNAPSHOT_TAKEN)
                    .with("bytes", bytes)
                    .with("took_ms", took_ms);
                snapshot.revision == 0 || self.merge_snapshot(kind, peer, snapshot, line)
            }
            Err(broken) => {
                self.record_broken(kind, peer, started, &broken);
                true
            }
        }
    }

    fn record_broken(&self, kind: Kind, peer: SocketAddr, started: Instant, broken: &Broken) {
        self.replica(kind).borrow_mut().sources.fail(peer);
        let took_ms = self.control.now().since(started).as_millis() as u64;
        let line = Record::new(record::SNAPSHOT_BROKEN)
            .with("kind", kind.as_str())
            .with("peer", peer.to_string())
            .with("problem", broken.error.to_string())
            .with("bytes", broken.bytes)
            .with("took_ms", took_ms);
        self.control.logger.write(&line);
    }

    fn defer(&self, kind: Kind, peer: SocketAddr, holders: &[SocketAddr]) {
        let now = self.control.now();
        let mut replica = self.replica(kind).borrow_mut();
        let own = replica.mirror.position();
        replica.sources.defer(now, peer, holders, own);
    }

    /// Applies a peer's snapshot, and then writes `line` with what it held.
    fn merge_snapshot(
        &self,
        kind: Kind,
        peer: SocketAddr,
        snapshot: Snapshot,
        line: Record,
    ) -> bool {
        let position = Position::new(snapshot.era, snapshot.revision);
        let received = snapshot.objects.len();
        let changed: Vec<Object> =
            snapshot.objects.into_iter().filter_map(|it| self.read_object(kind, it)).collect();
        if changed.len() < received {
            return false;
        }
        let is_later = position > self.replica(kind).borrow().mirror.position();
        let is_useful = is_later || kind == Kind::Configuration && self.is_newer(&changed);
        if !is_useful {
            return true;
        }
        let names: Vec<Name> = snapshot.names.iter().map(|it| it.as_str().into()).collect();
        let kept: Vec<(Name, Duration)> = snapshot.kept.iter().map(kept).collect();
        let line = line
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

    /// Parses an object that a peer has sent; `None` if it cannot be read.
    fn read_object(&self, kind: Kind, received: SnapshotObject) -> Option<Object> {
        let name: Name = received.name.as_str().into();
        let position = Position::new(received.era, received.revision);
        match read_value(&self.replica(kind).borrow().archive, &name, received) {
            Ok(value) => Some(Object { name, position, value }),
            Err(error) => {
                log::warn!("object {name} in a peer's snapshot was not read: {error}");
                None
            }
        }
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

/// Returns an object as it is sent: compressed if it is large.
fn sent_object(object: &Object, difference: Option<Difference>) -> SnapshotObject {
    let name = object.name.to_string();
    let Position { era, revision } = object.position;
    let text_bytes = difference.as_ref().map_or(0, |it| it.text_bytes as u64);
    let base = difference.as_ref().and_then(|it| it.base);
    let base = base.map(|it| Version { name: name.clone(), era: it.era, revision: it.revision });
    let value = match difference {
        Some(difference) => difference.bytes.to_vec(),
        None => object.value.to_string().into_bytes(),
    };
    SnapshotObject { name, revision, value, era, text_bytes, base }
}

fn read_value(
    archive: &Archive,
    name: &Name,
    received: SnapshotObject,
) -> anyhow::Result<serde_json::Value> {
    let text = match received.text_bytes {
        0 => received.value,
        text_bytes => {
            let base = received.base.map(|it| Position::new(it.era, it.revision));
            let text_bytes = usize::try_from(text_bytes)?;
            let bytes = received.value.into();
            archive.decode(name, &Difference { base, text_bytes, bytes })?
        }
    };
    Ok(serde_json::from_slice(&text)?)
}
