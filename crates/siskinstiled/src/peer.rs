//! Messages between instances: one listener, and one persistent connection to each peer.
//!
//! Messages are sent by the side that connects; the other direction carries only heartbeats, so
//! that both sides detect an unresponsive connection. A message that cannot be sent soon is
//! dropped; the core repeats messages that must arrive.

mod incoming;
mod outgoing;
pub mod tls;

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context as _;
use crossbeam::channel::Sender;
use indexmap::IndexMap;
use siskinstile_core::{Event, object::Name};
use siskinstile_wire::{Body, Envelope, Frame};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
    runtime::Handle,
    sync::{mpsc, watch},
};
use tokio_util::codec::Framed;

use crate::settings;

/// Interval between heartbeats on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit on a write and maximum time without received data; a connection that exceeds either
/// is closed.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit on connecting or accepting, including the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of messages queued for one peer; further ones are dropped.
const QUEUE_CAPACITY: usize = 1_024;

/// A byte stream, with or without TLS.
trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

type Transport = Framed<Box<dyn Stream>, Frame>;

/// Identity of this instance in the envelopes that it sends.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

impl Identity {
    fn envelope(&self, body: Option<Body>) -> Envelope {
        Envelope { from: self.name.to_string(), incarnation: self.incarnation, body }
    }
}

/// The connections to and from other instances.
pub struct Peers {
    address: SocketAddr,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    runtime: Handle,
    queues: Mutex<IndexMap<Name, mpsc::Sender<Body>>>,
}

impl Peers {
    /// Binds the listener and starts receiving messages, which are sent to `events`.
    ///
    /// # Errors
    ///
    /// The certificates cannot be read or the listener cannot be bound.
    pub fn bind(
        runtime: &Handle,
        settings: &settings::Peer,
        identity: Identity,
        events: Sender<Event>,
    ) -> anyhow::Result<Peers> {
        let tls = tls::load(runtime, &settings.tls)?;
        let listener = runtime
            .block_on(TcpListener::bind(settings.listen))
            .with_context(|| format!("cannot listen on {}", settings.listen))?;
        let address = listener.local_addr()?;
        runtime.spawn(incoming::serve(listener, identity.clone(), tls.clone(), events));
        let (runtime, queues) = (runtime.clone(), Mutex::default());
        Ok(Peers { address, identity, tls, runtime, queues })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message for the instance at address `to`, connecting to it if necessary.
    ///
    /// Drops the message if the queue is full or `to` is not an address.
    pub fn send(&self, to: &Name, body: Body) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let open = queues.get(to).filter(|it| !it.is_closed()).cloned();
        let queue = match open {
            Some(queue) => queue,
            None => {
                let Ok(address) = to.parse() else { return };
                let queue = self.connect(address);
                queues.retain(|_, it| !it.is_closed());
                queues.insert(to.clone(), queue.clone());
                queue
            }
        };
        match queue.try_send(body) {
            Ok(()) => metrics::counter!("siskinstile_peer_messages_total").increment(1),
            Err(_) => metrics::counter!("siskinstile_peer_dropped_total").increment(1),
        }
    }

    fn connect(&self, to: SocketAddr) -> mpsc::Sender<Body> {
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let (identity, tls) = (self.identity.clone(), self.tls.clone());
        self.runtime.spawn(outgoing::run(to, queue, identity, tls));
        sender
    }
}

fn timed_out() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the peer did not respond in time")
}

fn closed() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the peer closed the connection")
}
