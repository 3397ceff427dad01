//! Messages between instances: heartbeats as datagrams, snapshots over connections.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use indexmap::IndexMap;
use prost::Message as _;
use siskinstile_gateway::{Event, Name};
use siskinstile_wire::message::heartbeat::{Heartbeat, Pull, Snapshot};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
    task::spawn_local,
    time,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{control::Control, store::Kind, sync::Follower};

/// Largest heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 60 << 10;
/// Largest snapshot, in bytes.
const MOST_SNAPSHOT_BYTES: usize = 16 << 20;
/// Limit on taking a snapshot from a peer.
const PULL_LIMIT: Duration = Duration::from_millis(600);
/// Pause after an error on accepting a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Addresses of the peers, by name.
#[derive(Debug, Default)]
pub struct Book {
    /// Address and data centre of each peer.
    known: RefCell<IndexMap<Name, (SocketAddr, Name)>>,
    seeds: RefCell<Vec<SocketAddr>>,
}

impl Book {
    /// Notes a peer's address.
    pub fn learn(&self, name: &str, address: SocketAddr, datacentre: &str) {
        self.known.borrow_mut().insert(name.into(), (address, datacentre.into()));
    }

    /// Drops a peer that stops.
    pub fn forget(&self, name: &str) {
        self.known.borrow_mut().swap_remove(name);
    }

    /// Sets addresses at which peers may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Returns the addresses of peers: those of one data centre, or all with the seeds.
    fn addresses(&self, own: SocketAddr, near: Option<&str>) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let chosen = known.values().filter(|(_, it)| near.is_none_or(|near| **it == *near));
        let mut all: Vec<SocketAddr> = chosen.map(|(address, _)| *address).collect();
        if near.is_none() {
            all.extend(self.seeds.borrow().iter());
        }
        all.sort_unstable();
        all.dedup();
        all.retain(|it| *it != own);
        all
    }
}

/// Sends this instance's heartbeats to all peers.
pub async fn send_heartbeats(
    socket: Rc<UdpSocket>,
    book: Rc<Book>,
    (own, datacentre): (SocketAddr, Name),
    follower: Rc<Follower>,
    mut heartbeats: mpsc::UnboundedReceiver<(Heartbeat, bool)>,
) {
    while let Some((mut heartbeat, far)) = heartbeats.recv().await {
        heartbeat.configuration = follower.changed(Kind::Configuration);
        heartbeat.endpoints = follower.changed(Kind::Endpoints);
        heartbeat.store_age_ms = follower.store_age_ms();
        let bytes = heartbeat.encode_to_vec();
        let near = (!far).then_some(&*datacentre);
        for address in book.addresses(own, near) {
            // A heartbeat that cannot be sent is lost like one that is lost on the way.
            if let Err(error) = socket.try_send_to(&bytes, address) {
                log::debug!("heartbeat to {address} not sent: {error}");
            }
        }
    }
}

/// Takes the heartbeats of peers.
pub async fn receive_heartbeats(
    control: Rc<Control>,
    socket: Rc<UdpSocket>,
    book: Rc<Book>,
    follower: Rc<Follower>,
) {
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("no heartbeat received: {error}");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let heartbeat = match Heartbeat::decode(&buffer[..length]) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::warn!("heartbeat of {from} unreadable: {error}");
                continue;
            }
        };
        match heartbeat.leaves {
            true => book.forget(&heartbeat.name),
            false => book.learn(&heartbeat.name, from, &heartbeat.datacentre),
        }
        follower.heard(Kind::Configuration, heartbeat.configuration, from);
        follower.heard(Kind::Endpoints, heartbeat.endpoints, from);
        control.post(Event::Heartbeat(heartbeat));
    }
}

/// Serves snapshots to peers.
pub async fn serve_snapshots(listener: TcpListener, follower: Rc<Follower>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("no connection of a peer accepted: {error}");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let follower = follower.clone();
        spawn_local(async move {
            if let Err(error) = time::timeout(PULL_LIMIT, serve_snapshot(stream, &follower)).await {
                log::debug!("snapshot not served: {error}");
            }
        });
    }
}

async fn serve_snapshot(stream: TcpStream, follower: &Follower) -> io::Result<()> {
    let mut frames = framed(stream);
    let Some(frame) = frames.next().await else { return Ok(()) };
    let pull = Pull::decode(frame?).map_err(io::Error::other)?;
    let kind =
        [Kind::Configuration, Kind::Endpoints].into_iter().find(|it| it.as_str() == pull.kind);
    let snapshot = kind.map(|it| follower.snapshot(it, pull.since)).unwrap_or_default();
    frames.send(Bytes::from(snapshot.encode_to_vec())).await
}

/// Takes from a peer what has changed since a revision.
pub async fn pull(address: SocketAddr, kind: Kind, since: u64) -> io::Result<Snapshot> {
    time::timeout(PULL_LIMIT, async {
        let mut frames = framed(TcpStream::connect(address).await?);
        let pull = Pull { kind: kind.as_str().to_owned(), since };
        frames.send(Bytes::from(pull.encode_to_vec())).await?;
        let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        Snapshot::decode(frame).map_err(io::Error::other)
    })
    .await?
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MOST_SNAPSHOT_BYTES).new_codec();
    Framed::new(stream, codec)
}
