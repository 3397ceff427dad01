//! Transfer of snapshots between instances, each over a connection of its own.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt as _, StreamExt as _};
use prost::Message as _;
use siskinstile_gateway::record::{self, Record};
use siskinstile_wire::message::heartbeat::{Pull, Snapshot};
use tokio::{
    io::AsyncReadExt as _,
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::ERROR_DELAY;
use crate::{control::Control, store::Kind, sync::Follower};

/// Size limit of a snapshot.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;
/// Time limit for pulling a snapshot from a peer, and for serving one.
const PULL_TIMEOUT: Duration = Duration::from_millis(600);
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
                time::sleep(ERROR_DELAY).await;
                continue;
            }
        };
        let (control, follower) = (control.clone(), follower.clone());
        spawn_local(async move {
            let started = Instant::now();
            let served = time::timeout(PULL_TIMEOUT, serve_pull(stream, &follower)).await;
            let served = served.unwrap_or_else(|timeout| Err(timeout.into()));
            let line = Record::new(record::SNAPSHOT_SERVED)
                .with("peer", peer.to_string())
                .with("bytes", served.as_ref().ok().copied())
                .with("problem", served.err().map(|it| it.to_string()))
                .with("took_ms", started.elapsed().as_millis() as u64);
            control.logger.write(&line);
        });
    }
}

/// Answers the pull on a connection; returns the size of the answer in bytes.
async fn serve_pull(stream: TcpStream, follower: &Follower) -> io::Result<usize> {
    let mut frames = framed(stream);
    let Some(frame) = frames.next().await else { return Ok(0) };
    let pull = Pull::decode(frame?).map_err(io::Error::other)?;
    let kind =
        [Kind::Configuration, Kind::Endpoints].into_iter().find(|it| it.as_str() == pull.kind);
    let snapshot = kind.map(|it| follower.snapshot(it, &pull)).unwrap_or_default();
    let bytes = snapshot.encode_to_vec();
    let len = bytes.len();
    metrics::counter!("siskinstile_snapshot_bytes").increment(len as u64);
    frames.send(Bytes::from(bytes)).await?;
    Ok(len)
}

/// Requests objects from a peer; returns them and the size of the answer in bytes.
pub async fn pull(address: SocketAddr, pull: &Pull) -> Result<(Snapshot, usize), Broken> {
    let mut buffer = BytesMut::new();
    let received = time::timeout(PULL_TIMEOUT, receive(address, pull, &mut buffer)).await;
    let snapshot = match received {
        Ok(Ok(())) => Snapshot::decode(&buffer[..]).map_err(io::Error::other),
        Ok(Err(error)) => Err(error),
        Err(timeout) => Err(timeout.into()),
    };
    match snapshot {
        Ok(snapshot) => Ok((snapshot, buffer.len())),
        Err(error) => Err(Broken { error, bytes: buffer.len() }),
    }
}

/// Sends a pull and reads the encoded answer into `buffer`.
async fn receive(address: SocketAddr, pull: &Pull, buffer: &mut BytesMut) -> io::Result<()> {
    let mut frames = framed(TcpStream::connect(address).await?);
    frames.send(Bytes::from(pull.encode_to_vec())).await?;
    let mut stream = frames.into_inner();
    // The codec begins a frame with its length as 32 bits.
    let len = stream.read_u32().await? as usize;
    if len > MAX_SNAPSHOT_BYTES {
        return Err(io::Error::other(format!("a snapshot of {len} bytes")));
    }
    let mut body = stream.take(len as u64);
    while buffer.len() < len {
        buffer.reserve(READ_BYTES.min(len - buffer.len()));
        if body.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_SNAPSHOT_BYTES).new_codec();
    Framed::new(stream, codec)
}
