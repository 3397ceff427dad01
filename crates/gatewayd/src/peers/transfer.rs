//! Transfer of snapshots between instances, each over a connection of its own.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt as _, StreamExt as _};
use prost::Message as _;
use siskinstile_gateway::record::{self, Record};
use siskinstile_wire::message::snapshot::{Pull, Snapshot};
use tokio::{
    io::AsyncReadExt as _,
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{control::Control, outgoing, sync::Follower};

/// Size limit of a snapshot.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;
/// Time limit until the first bytes of an answer arrive, and for each further part.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(600);
/// Rate below which the sending of an answer is given up, in bytes per second.
const MIN_BYTES_PER_SECOND: u32 = 50_000;
/// Bytes by which the buffer for a snapshot grows.
const READ_BYTES: usize = 16 << 10;

/// A transfer that has broken off.
#[derive(Debug)]
pub struct Broken {
    /// What went wrong.
    pub error: io::Error,
    /// Bytes of the snapshot that had arrived.
    pub bytes: usize,
}

/// Serves snapshots to peers.
pub async fn serve(control: Rc<Control>, listener: TcpListener, follower: Rc<Follower>) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accepting a peer's connection failed: {error}");
                control.descriptors.recover(&error).await;
                continue;
            }
        };
        let Some(permit) = control.descriptors.acquire(|| false).await else {
            metrics::counter!("siskinstile_connections_refused").increment(1);
            continue;
        };
        let (control, follower) = (control.clone(), follower.clone());
        spawn_local(async move {
            let _permit = permit;
            let started = control.now();
            let served = serve_pull(stream, &follower).await;
            let line = Record::new(record::SNAPSHOT_SERVED)
                .with("peer", peer.to_string())
                .with("bytes", served.as_ref().ok().copied())
                .with("problem", served.err().map(|it| it.to_string()))
                .with("took_ms", control.now().since(started).as_millis() as u64);
            control.logger.write(&line);
        });
    }
}

/// Answers the pull on a connection; returns the size of the answer in bytes.
async fn serve_pull(stream: TcpStream, follower: &Rc<Follower>) -> io::Result<usize> {
    let mut frames = framed(stream);
    let Some(frame) = time::timeout(PROGRESS_TIMEOUT, frames.next()).await? else { return Ok(0) };
    let pull = Pull::decode(frame?).map_err(io::Error::other)?;
    let kind = follower
        .kinds()
        .find(|it| it.as_str() == pull.kind)
        .ok_or_else(|| io::Error::other(format!("a pull of {}", pull.kind)))?;
    let (bytes, upload) = follower.answer(kind, &pull);
    let len = bytes.len();
    metrics::counter!("siskinstile_snapshot_bytes").increment(len as u64);
    let limit = Duration::from_secs(len as u64) / MIN_BYTES_PER_SECOND + PROGRESS_TIMEOUT;
    let receipt = time::timeout(limit, async {
        frames.send(bytes).await?;
        frames.next().await.transpose()
    });
    match (receipt.await??, upload) {
        (Some(_), Some(upload)) => upload.complete(),
        (None, Some(_)) => return Err(io::ErrorKind::UnexpectedEof.into()),
        (_, None) => {}
    }
    Ok(len)
}

/// An answer to a pull that has begun to arrive.
#[derive(Debug)]
pub struct Incoming {
    stream: TcpStream,
    address: SocketAddr,
    len: usize,
}

impl Incoming {
    /// Sends a pull to a peer, and waits until its answer begins to arrive.
    pub async fn open(address: SocketAddr, pull: &Pull) -> Result<Incoming, Broken> {
        let opened = time::timeout(PROGRESS_TIMEOUT, Incoming::begin(address, pull)).await;
        opened.unwrap_or_else(|it| Err(it.into())).map_err(|error| Broken { error, bytes: 0 })
    }

    async fn begin(address: SocketAddr, pull: &Pull) -> io::Result<Incoming> {
        let mut frames = framed(outgoing::connect(address).await?);
        frames.send(Bytes::from(pull.encode_to_vec())).await?;
        let mut stream = frames.into_inner();
        // The codec begins a frame with its length as 32 bits.
        let len = stream.read_u32().await? as usize;
        match len > MAX_SNAPSHOT_BYTES {
            true => Err(io::Error::other(format!("a snapshot of {len} bytes"))),
            false => Ok(Incoming { stream, address, len }),
        }
    }

    /// Reads the objects and confirms their receipt; returns them and the size of the answer in bytes.
    pub async fn read(self) -> Result<(Snapshot, usize), Broken> {
        let mut buffer = BytesMut::new();
        let snapshot = match receive(self, &mut buffer).await {
            Ok(()) => Snapshot::decode(&buffer[..]).map_err(io::Error::other),
            Err(error) => Err(error),
        };
        match snapshot {
            Ok(snapshot) => Ok((snapshot, buffer.len())),
            Err(error) => Err(Broken { error, bytes: buffer.len() }),
        }
    }
}

/// Reads the encoded answer into `buffer` and confirms its receipt.
///
/// The time is limited for each part only, since a large answer may take long on a slow link.
async fn receive(incoming: Incoming, buffer: &mut BytesMut) -> io::Result<()> {
    let Incoming { mut stream, address, len } = incoming;
    let mut body = (&mut stream).take(len as u64);
    while buffer.len() < len {
        buffer.reserve(READ_BYTES.min(len - buffer.len()));
        if time::timeout(PROGRESS_TIMEOUT, body.read_buf(buffer)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    // An empty frame is the receipt. Without it the peer refers nobody to this instance.
    let receipt = time::timeout(PROGRESS_TIMEOUT, framed(stream).send(Bytes::new())).await;
    if let Err(error) = receipt.unwrap_or_else(|timeout| Err(timeout.into())) {
        log::debug!("receipt to {address} not sent: {error}");
    }
    Ok(())
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_SNAPSHOT_BYTES).new_codec();
    Framed::new(stream, codec)
}
