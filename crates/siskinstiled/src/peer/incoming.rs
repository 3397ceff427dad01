//! Connections accepted from other instances.

use std::{io, sync::Arc, time::Duration};

use crossbeam::channel::Sender;
use futures_util::{SinkExt as _, StreamExt as _};
use siskinstile_core::{Event, log as events};
use siskinstile_wire::{Envelope, Frame};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{self, Instant},
};
use tokio_util::codec::Framed;

use super::{
    CONNECT_TIMEOUT, HEARTBEAT_INTERVAL, Identity, PEER_TIMEOUT, Stream, Transport, closed,
    timed_out, tls,
};

/// Pause after an error on accepting a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of concurrent connections from peers; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1_024;

/// Accepts connections and receives messages of other instances.
///
/// Logs an error on accepting a connection and continues after a pause.
pub(super) async fn serve(
    listener: TcpListener,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    events: Sender<Event>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
                let connection = Connection {
                    identity: identity.clone(),
                    tls: tls.clone(),
                    events: events.clone(),
                    certificate: None,
                };
                tokio::spawn(async move {
                    if let Err(error) = connection.run(stream).await {
                        let detail = format!("from {address}: {error}");
                        events::Record::new(events::PEER_LOST, detail).write();
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                events::Record::new(events::ACCEPT_FAILED, error.to_string()).write();
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

struct Connection {
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    events: Sender<Event>,
    /// Verified certificate of the peer; `None` without TLS.
    certificate: Option<tls::Certificate>,
}

impl Connection {
    async fn run(mut self, stream: TcpStream) -> io::Result<()> {
        let opened = time::timeout(CONNECT_TIMEOUT, self.open(stream)).await;
        let mut transport = opened.unwrap_or_else(|_| Err(timed_out()))?;
        let mut heartbeats = time::interval(HEARTBEAT_INTERVAL);
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                item = transport.next() => {
                    self.receive(item.ok_or_else(closed)??)?;
                    last_received = Instant::now();
                }
                _ = heartbeats.tick() => {
                    if last_received.elapsed() >= PEER_TIMEOUT {
                        return Err(timed_out());
                    }
                    let send = transport.send(self.identity.envelope(None));
                    time::timeout(PEER_TIMEOUT, send).await.unwrap_or_else(|_| Err(timed_out()))?;
                }
                // Closes the connection, since its certificate may no longer be trusted.
                _ = self.tls.changed() => return Ok(()),
            }
        }
    }

    async fn open(&mut self, stream: TcpStream) -> io::Result<Transport> {
        stream.set_nodelay(true)?;
        let mode = self.tls.borrow_and_update().clone();
        let stream: Box<dyn Stream> = match mode {
            tls::Mode::Off => Box::new(stream),
            tls::Mode::On(tls) => {
                let (stream, certificate) = tls.accept(stream).await?;
                self.certificate = Some(certificate);
                Box::new(stream)
            }
        };
        Ok(Framed::new(stream, Frame::default()))
    }

    /// Passes a message to the control thread; a heartbeat has no body and is only checked.
    ///
    /// # Errors
    ///
    /// `PermissionDenied` if the sender's name is not in its certificate.
    fn receive(&self, envelope: Envelope) -> io::Result<()> {
        match &self.certificate {
            Some(certificate) if !certificate.matches_name(&envelope.from) => {
                metrics::counter!("siskinstile_peer_refused_total").increment(1);
                let error = "the sender's name is not in its certificate";
                return Err(io::Error::new(io::ErrorKind::PermissionDenied, error));
            }
            _ => {}
        }
        if envelope.body.is_some() {
            let _ = self.events.send(Event::Message(envelope));
        }
        Ok(())
    }
}
