//! Connections that other instances opened.

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

use super::{CONNECT, Framing, HEARTBEAT, Identity, SILENCE, Stream, closed, silent, tls};

/// Pause after an error from accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most connections of peers at once.
const MAX_CONNECTIONS: usize = 1_024;

/// Takes the messages of other instances; an error from accept never ends it.
pub(super) async fn serve(
    listener: TcpListener,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    events: Sender<Event>,
) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Ok(place) = places.clone().try_acquire_owned() else { continue };
                let connection = Connection {
                    identity: identity.clone(),
                    tls: tls.clone(),
                    events: events.clone(),
                    certificate: None,
                };
                tokio::spawn(async move {
                    if let Err(error) = connection.run(stream).await {
                        let detail = format!("from {from}: {error}");
                        events::Record::new(events::PEER_LOST, detail).write();
                    }
                    drop(place);
                });
            }
            Err(error) => {
                events::Record::new(events::ACCEPT_FAILED, error.to_string()).write();
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct Connection {
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    events: Sender<Event>,
    /// Certificate of the other end; none without TLS.
    certificate: Option<tls::Certificate>,
}

impl Connection {
    async fn run(mut self, stream: TcpStream) -> io::Result<()> {
        let opened = time::timeout(CONNECT, self.open(stream)).await;
        let mut framing = opened.unwrap_or_else(|_| Err(silent()))?;
        let mut beats = time::interval(HEARTBEAT);
        let mut heard = Instant::now();
        loop {
            tokio::select! {
                item = framing.next() => {
                    self.take(item.ok_or_else(closed)??)?;
                    heard = Instant::now();
                }
                _ = beats.tick() => {
                    if heard.elapsed() >= SILENCE {
                        return Err(silent());
                    }
                    let beat = framing.send(self.identity.envelope(None));
                    time::timeout(SILENCE, beat).await.unwrap_or_else(|_| Err(silent()))?;
                }
                // A certificate that is no longer trusted must not live on in old connections.
                _ = self.tls.changed() => return Ok(()),
            }
        }
    }

    async fn open(&mut self, stream: TcpStream) -> io::Result<Framing> {
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

    /// Hands a message to the core, if its sender is who the certificate says.
    fn take(&self, envelope: Envelope) -> io::Result<()> {
        match &self.certificate {
            Some(certificate) if !certificate.names(&envelope.from) => {
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
