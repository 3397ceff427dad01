//! The persistent connection to one peer.

use std::{io, net::SocketAddr, time::Duration};

use futures_util::{SinkExt as _, StreamExt as _};
use siskinstile_core::log as events;
use siskinstile_wire::{Body, Frame};
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::{self, Instant},
};
use tokio_util::codec::Framed;

use super::{
    CONNECT_TIMEOUT, HEARTBEAT_INTERVAL, Identity, PEER_TIMEOUT, Stream, Transport, closed,
    timed_out, tls,
};

/// Initial back-off before reconnecting, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum back-off before reconnecting, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time without a message to send after which the connection and its queue are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why a connection was closed without an error.
enum Reason {
    /// There was no message to send for [`IDLE_TIMEOUT`], or the instance is stopping.
    Idle,
    /// The certificates have been reloaded.
    Reloaded,
}

/// Sends the messages of the queue, and reconnects after errors.
///
/// Returns after [`IDLE_TIMEOUT`] without a message, or when the instance stops.
pub(super) async fn run(
    to: SocketAddr,
    queue: mpsc::Receiver<Body>,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
) {
    let mut connection = Connection { to, queue, identity, tls, last_used: Instant::now() };
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match connection.run_once().await {
            Ok(Reason::Idle) => return,
            Ok(Reason::Reloaded) => backoff = INITIAL_BACKOFF,
            Err((error, connected)) => {
                events::Record::new(events::PEER_LOST, format!("{to}: {error}")).write();
                metrics::counter!("siskinstile_peer_lost_total").increment(1);
                backoff = if connected { INITIAL_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
            }
        }
        connection.discard_queued();
        if connection.last_used.elapsed() >= IDLE_TIMEOUT {
            return;
        }
        time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

struct Connection {
    to: SocketAddr,
    queue: mpsc::Receiver<Body>,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    /// When a message was last sent or dropped.
    last_used: Instant,
}

impl Connection {
    /// Connects and sends messages until the connection closes.
    ///
    /// # Errors
    ///
    /// The error and whether the connection had been established.
    async fn run_once(&mut self) -> Result<Reason, (io::Error, bool)> {
        let result = time::timeout(CONNECT_TIMEOUT, self.open()).await;
        let transport =
            result.unwrap_or_else(|_| Err(timed_out())).map_err(|error| (error, false))?;
        self.transmit(transport).await.map_err(|error| (error, true))
    }

    async fn open(&mut self) -> io::Result<Transport> {
        let stream = TcpStream::connect(self.to).await?;
        stream.set_nodelay(true)?;
        let mode = self.tls.borrow_and_update().clone();
        let stream: Box<dyn Stream> = match mode {
            tls::Mode::Off => Box::new(stream),
            tls::Mode::On(tls) => Box::new(tls.connect(stream).await?),
        };
        Ok(Framed::new(stream, Frame::default()))
    }

    async fn transmit(&mut self, mut transport: Transport) -> io::Result<Reason> {
        let mut heartbeats = time::interval(HEARTBEAT_INTERVAL);
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                body = self.queue.recv() => match body {
                    Some(body) => self.send(&mut transport, Some(body)).await?,
                    None => return Ok(Reason::Idle),
                },
                item = transport.next() => {
                    item.ok_or_else(closed)??;
                    last_received = Instant::now();
                }
                _ = heartbeats.tick() => {
                    if last_received.elapsed() >= PEER_TIMEOUT {
                        return Err(timed_out());
                    }
                    if self.last_used.elapsed() >= IDLE_TIMEOUT {
                        return Ok(Reason::Idle);
                    }
                    self.send(&mut transport, None).await?;
                }
                changed = self.tls.changed() => match changed {
                    Ok(()) => return Ok(Reason::Reloaded),
                    Err(_) => return Ok(Reason::Idle),
                },
            }
        }
    }

    /// Sends a message, or a heartbeat for `None`, followed by all queued messages.
    async fn send(&mut self, transport: &mut Transport, body: Option<Body>) -> io::Result<()> {
        if body.is_some() {
            self.last_used = Instant::now();
        }
        let write = async {
            transport.feed(self.identity.envelope(body)).await?;
            while let Ok(body) = self.queue.try_recv() {
                transport.feed(self.identity.envelope(Some(body))).await?;
            }
            transport.flush().await
        };
        time::timeout(PEER_TIMEOUT, write).await.unwrap_or_else(|_| Err(timed_out()))
    }

    /// Drops the queued messages, since they could not be sent soon.
    ///
    /// This counts as use, so that the connection is retried while there are messages for the peer.
    fn discard_queued(&mut self) {
        while self.queue.try_recv().is_ok() {
            self.last_used = Instant::now();
            metrics::counter!("siskinstile_peer_dropped_total").increment(1);
        }
    }
}
