//! Messages between instances: heartbeats as datagrams, snapshots over connections.

pub mod transfer;

use std::{
    cell::{OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use prost::Message as _;
use siskinstile_gateway::{
    Event, Name,
    effect::{Recipient, Recipients},
};
use siskinstile_wire::message::heartbeat::{Group, Heartbeat, Member};
use tokio::{net::UdpSocket, sync::mpsc, time};

use crate::{control::Control, store::Kind, sync::Follower};

/// Size limit of a heartbeat; one datagram carries a whole heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 60 << 10;
/// Size limit of the datagrams that are sent without a pause.
const MAX_BURST_BYTES: usize = 8 << 10;
/// Pause between two such bursts.
const BURST_PAUSE: Duration = Duration::from_millis(1);
/// Time after a heartbeat for which its sender's address goes before the one that the platform lists.
const HEARD_TIME: Duration = Duration::from_secs(5);
/// Pause after an error on receiving a datagram.
const ERROR_DELAY: Duration = Duration::from_millis(50);

/// Address of a peer.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    datacentre: Name,
    /// When a heartbeat last came from there; `None` if only the platform lists it.
    heard_at: Option<time::Instant>,
}

impl Peer {
    fn was_heard(&self) -> bool {
        self.heard_at.is_some_and(|it| it.elapsed() < HEARD_TIME)
    }
}

/// Addresses that heartbeats are sent to: known peers by name, and seeds.
#[derive(Debug, Default)]
pub struct Addresses {
    peers: RefCell<IndexMap<Name, Peer>>,
    seeds: RefCell<Vec<SocketAddr>>,
}

impl Addresses {
    /// Sets the address and the data centre of a peer that has sent a heartbeat.
    pub fn insert(&self, name: &str, address: SocketAddr, datacentre: &str) {
        let heard_at = Some(time::Instant::now());
        let mut peers = self.peers.borrow_mut();
        match peers.get_mut(name) {
            Some(peer) if peer.address == address && *peer.datacentre == *datacentre => {
                peer.heard_at = heard_at;
            }
            _ => {
                let peer = Peer { address, datacentre: datacentre.into(), heard_at };
                peers.insert(name.into(), peer);
            }
        }
    }

    /// Applies the members that the platform lists, each with its address and data centre.
    ///
    /// The list may be out of date, so peers that were heard recently are not changed.
    pub fn set_listed(&self, listed: impl IntoIterator<Item = (Name, SocketAddr, Name)>) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, it| it.was_heard());
        for (name, address, datacentre) in listed {
            peers.entry(name).or_insert(Peer { address, datacentre, heard_at: None });
        }
    }

    /// Removes a peer that is shutting down.
    pub fn remove(&self, name: &str) {
        self.peers.borrow_mut().swap_remove(name);
    }

    /// Replaces the seeds: addresses at which peers may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Sets the address and the data centre of a peer as a relay tells them, if none is known.
    fn learn(&self, name: &str, address: SocketAddr, datacentre: &str) {
        let mut peers = self.peers.borrow_mut();
        let peer = || Peer { address, datacentre: datacentre.into(), heard_at: None };
        peers.entry(name.into()).or_insert_with(peer);
    }

    /// Returns the address of a peer.
    pub fn get(&self, name: &str) -> Option<SocketAddr> {
        self.peers.borrow().get(name).map(|it| it.address)
    }

    /// Returns the addresses of the peers in one data centre, or of all.
    fn all(&self, datacentre: Option<&str>) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let is_chosen =
            |it: &&Peer| datacentre.is_none_or(|datacentre| *it.datacentre == *datacentre);
        peers.values().filter(is_chosen).map(|it| it.address).collect()
    }

    /// Returns the seeds while no peer has been heard recently.
    fn seeds_if_alone(&self) -> Vec<SocketAddr> {
        match self.peers.borrow().values().any(Peer::was_heard) {
            true => Vec::new(),
            false => self.seeds.borrow().clone(),
        }
    }
}

/// Sends the heartbeats from the channel, each to its recipients; those before `socket` is set are lost.
pub async fn send_heartbeats(
    socket: Rc<OnceCell<UdpSocket>>,
    addresses: Rc<Addresses>,
    (own, datacentre): (SocketAddr, Name),
    follower: Rc<Follower>,
    mut heartbeats: mpsc::UnboundedReceiver<(Heartbeat, Recipients)>,
) {
    while let Some((mut heartbeat, recipients)) = heartbeats.recv().await {
        let Some(socket) = socket.get() else { continue };
        // What concerns single streams says nothing of the sender.
        if heartbeat.streams.is_none() {
            let configuration = follower.changed_position(Kind::Configuration);
            let endpoints = follower.changed_position(Kind::Endpoints);
            heartbeat.configuration_era = configuration.era;
            heartbeat.configuration_revision = configuration.revision;
            heartbeat.endpoints_era = endpoints.era;
            heartbeat.endpoints_revision = endpoints.revision;
            // Both are 0 where the kind is not followed.
            let evacuations = follower.changed_position(Kind::Evacuations);
            heartbeat.evacuations_era = evacuations.era;
            heartbeat.evacuations_revision = evacuations.revision;
            heartbeat.store_age_ms = follower.store_age_ms();
            heartbeat.address = own.to_string();
        }
        let bytes = heartbeat.encode_to_vec();
        let mut targets: Vec<(SocketAddr, Vec<u8>)> = match recipients {
            Recipients::Datacentre => plain(addresses.all(Some(&datacentre))),
            Recipients::Everyone => plain(addresses.all(None)),
            Recipients::Members(members) => {
                members.into_iter().filter_map(|it| tailored(&addresses, it)).collect()
            }
        };
        targets.extend(plain(addresses.seeds_if_alone()));
        targets.sort_unstable();
        targets.dedup_by_key(|it| it.0);
        let datagrams = targets
            .into_iter()
            .filter(|(it, _)| *it != own)
            // Fields of an encoded message may follow in a second one.
            .map(|(it, part)| (it, [&bytes[..], &part].concat()));
        send_paced(socket, datagrams).await;
    }
}

/// Sends datagrams in bursts of limited size: those that exceed the queue of a link are lost, which
/// would always be those to the last receivers.
pub async fn send_paced(
    socket: &UdpSocket,
    datagrams: impl Iterator<Item = (SocketAddr, Vec<u8>)>,
) {
    let mut burst = 0;
    for (address, datagram) in datagrams {
        if burst > 0 && burst + datagram.len() > MAX_BURST_BYTES {
            time::sleep(BURST_PAUSE).await;
            burst = 0;
        }
        burst += datagram.len();
        // A heartbeat that cannot be sent counts as lost in transit.
        if let Err(error) = socket.try_send_to(&datagram, address) {
            log::debug!("heartbeat to {address} not sent: {error}");
        }
    }
}

fn plain(addresses: Vec<SocketAddr>) -> Vec<(SocketAddr, Vec<u8>)> {
    addresses.into_iter().map(|it| (it, Vec::new())).collect()
}

/// Returns the address of a recipient and the encoded fields that only it gets.
fn tailored(addresses: &Addresses, recipient: Recipient) -> Option<(SocketAddr, Vec<u8>)> {
    let part = Heartbeat {
        receiver_loads: recipient.loads,
        receiver_waiting: recipient.waiting,
        ..Heartbeat::default()
    };
    Some((addresses.get(&recipient.name)?, part.encode_to_vec()))
}

/// Receives peers' heartbeats and posts them to the reducer; from now on heartbeats can be sent, too.
pub async fn receive_heartbeats(
    control: Rc<Control>,
    socket: Rc<OnceCell<UdpSocket>>,
    opened: UdpSocket,
    addresses: Rc<Addresses>,
    follower: Rc<Follower>,
) {
    let socket = socket.get_or_init(|| opened);
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("receiving a heartbeat failed: {error}");
                time::sleep(ERROR_DELAY).await;
                continue;
            }
        };
        let heartbeat = match Heartbeat::decode(&buffer[..length]) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::warn!("unreadable heartbeat from {sender}: {error}");
                continue;
            }
        };
        if heartbeat.streams.is_some() {
            control.post(Event::Heartbeat(heartbeat.into()));
            continue;
        }
        match heartbeat.leaving {
            true => addresses.remove(&heartbeat.name),
            false => addresses.insert(&heartbeat.name, sender, &heartbeat.datacentre),
        }
        for (group, member) in relayed_members(&heartbeat) {
            match member.address.parse() {
                _ if member.leaving => addresses.remove(&member.name),
                Ok(address) => addresses.learn(&member.name, address, &group.datacentre),
                // Most are told without an address.
                Err(_) => {}
            }
        }
        follower.note_peer(&heartbeat, sender);
        control.post(Event::Heartbeat(heartbeat.into()));
    }
}

/// Returns the members that a relay tells, each with its group.
fn relayed_members(heartbeat: &Heartbeat) -> impl Iterator<Item = (&Group, &Member)> {
    heartbeat.groups.iter().flat_map(|group| group.members.iter().map(move |it| (group, it)))
}
