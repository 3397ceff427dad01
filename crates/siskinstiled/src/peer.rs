//! Messages between instances: one listener, and one kept connection to each peer.
//!
//! Messages flow from the side that connects to the side that accepts; the other direction carries
//! heartbeats only, so that both ends notice a connection that went silent. A message is sent soon
//! or lost, never kept for later: what must not be lost is repeated by the core.

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

/// Time between two heartbeats on a connection.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Silence after which a connection is given up.
const SILENCE: Duration = Duration::from_secs(2);
/// Limit on connecting and on the TLS handshake.
const CONNECT: Duration = Duration::from_secs(1);
/// Messages that wait for one peer; more are dropped.
const QUEUE_LIMIT: usize = 1_024;

/// A byte stream, with or without TLS.
trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

type Framing = Framed<Box<dyn Stream>, Frame>;

/// Who this instance is, in the envelopes that it sends.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

impl Identity {
    fn envelope(&self, body: Option<Body>) -> Envelope {
        Envelope { from: self.name.to_string(), incarnation: self.incarnation, body }
    }
}

/// The running connections to and from other instances.
pub struct Peers {
    address: SocketAddr,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    runtime: Handle,
    queues: Mutex<IndexMap<Name, mpsc::Sender<Body>>>,
}

impl Peers {
    /// Binds the listener and starts to take messages.
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
        let tls = tls::open(runtime, &settings.tls)?;
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

    /// Sends a message to the instance at an address, or drops it when its queue is full.
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
        let (sender, queue) = mpsc::channel(QUEUE_LIMIT);
        let (identity, tls) = (self.identity.clone(), self.tls.clone());
        self.runtime.spawn(outgoing::run(to, queue, identity, tls));
        sender
    }
}

fn silent() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the connection went silent")
}

fn closed() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the other end closed the connection")
}
