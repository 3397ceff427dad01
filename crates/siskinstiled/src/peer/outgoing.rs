//! The kept connection to one peer.

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

use super::{CONNECT, Framing, HEARTBEAT, Identity, SILENCE, Stream, closed, silent, tls};

/// First pause before a connection is opened anew.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Time without a message after which the connection is closed for good.
const IDLE: Duration = Duration::from_secs(30);

/// Why a connection ended without an error.
enum End {
    /// Nothing is to be sent any more.
    Idle,
    /// The certificates have changed.
    Renewed,
}

/// Sends what comes out of the queue until there has been nothing for a while.
pub(super) async fn run(
    to: SocketAddr,
    queue: mpsc::Receiver<Body>,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
) {
    let mut connection = Connection { to, queue, identity, tls, used: Instant::now() };
    let mut pause = FIRST_PAUSE;
    loop {
        match connection.once().await {
            Ok(End::Idle) => return,
            Ok(End::Renewed) => pause = FIRST_PAUSE,
            Err((error, opened)) => {
                events::Record::new(events::PEER_LOST, format!("{to}: {error}")).write();
                metrics::counter!("siskinstile_peer_lost_total").increment(1);
                pause = if opened { FIRST_PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            }
        }
        connection.drop_stale();
        if connection.used.elapsed() >= IDLE {
            return;
        }
        time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

struct Connection {
    to: SocketAddr,
    queue: mpsc::Receiver<Body>,
    identity: Identity,
    tls: watch::Receiver<tls::Mode>,
    used: Instant,
}

impl Connection {
    /// Opens the connection and uses it; an error comes with whether it had been opened.
    async fn once(&mut self) -> Result<End, (io::Error, bool)> {
        let opened = time::timeout(CONNECT, self.open()).await;
        let framing = opened.unwrap_or_else(|_| Err(silent())).map_err(|error| (error, false))?;
        self.pump(framing).await.map_err(|error| (error, true))
    }

    async fn open(&mut self) -> io::Result<Framing> {
        let stream = TcpStream::connect(self.to).await?;
        stream.set_nodelay(true)?;
        let mode = self.tls.borrow_and_update().clone();
        let stream: Box<dyn Stream> = match mode {
            tls::Mode::Off => Box::new(stream),
            tls::Mode::On(tls) => Box::new(tls.connect(stream).await?),
        };
        Ok(Framed::new(stream, Frame::default()))
    }

    async fn pump(&mut self, mut framing: Framing) -> io::Result<End> {
        let mut beats = time::interval(HEARTBEAT);
        let mut heard = Instant::now();
        loop {
            tokio::select! {
                body = self.queue.recv() => match body {
                    Some(body) => self.send(&mut framing, Some(body)).await?,
                    None => return Ok(End::Idle),
                },
                item = framing.next() => {
                    item.ok_or_else(closed)??;
                    heard = Instant::now();
                }
                _ = beats.tick() => {
                    if heard.elapsed() >= SILENCE {
                        return Err(silent());
                    }
                    if self.used.elapsed() >= IDLE {
                        return Ok(End::Idle);
                    }
                    self.send(&mut framing, None).await?;
                }
                changed = self.tls.changed() => match changed {
                    Ok(()) => return Ok(End::Renewed),
                    Err(_) => return Ok(End::Idle),
                },
            }
        }
    }

    /// Sends a message, with all that wait behind it.
    async fn send(&mut self, framing: &mut Framing, body: Option<Body>) -> io::Result<()> {
        if body.is_some() {
            self.used = Instant::now();
        }
        let write = async {
            framing.feed(self.identity.envelope(body)).await?;
            while let Ok(body) = self.queue.try_recv() {
                framing.feed(self.identity.envelope(Some(body))).await?;
            }
            framing.flush().await
        };
        time::timeout(SILENCE, write).await.unwrap_or_else(|_| Err(silent()))
    }

    /// Drops the messages that could not be sent.
    fn drop_stale(&mut self) {
        while self.queue.try_recv().is_ok() {
            self.used = Instant::now();
            metrics::counter!("siskinstile_peer_dropped_total").increment(1);
        }
    }
}
