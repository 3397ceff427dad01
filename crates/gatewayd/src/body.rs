//! Buffering of bodies.
//!
//! Bodies are buffered up to a limit for each and one for all, so that peers whose bodies have no
//! end do not take the memory of the process.

use std::{
    io,
    ops::Deref,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use siskinstile_macros::value;
use tokio::time;

use crate::memory::{Charge, Memory};

/// Size up to which a body is buffered even beyond the limit for all, so that large bodies do not
/// displace small ones.
const MIN_BODY_BYTES: usize = 64 << 10;
/// Bytes of a buffered answer that are handed to its caller's connection at a time.
const PART_BYTES: usize = 16 << 10;

/// Why a body could not be read to its end.
#[value(id)]
pub enum Fault {
    /// The connection broke before the end, or the framing was malformed.
    Cut,
    /// The body exceeds its size limit.
    TooLarge,
    /// All buffered bytes together exceed their limit.
    OutOfMemory,
    /// No part of the body has arrived for too long.
    Stalled,
}

/// Reads a response's body to its end, up to a size limit; nothing of one that states a larger size.
pub async fn read_response(
    memory: &Memory,
    body: Incoming,
    max_bytes: usize,
) -> Result<Buffer, Fault> {
    match body.size_hint().lower() > max_bytes as u64 {
        true => Err(Fault::TooLarge),
        false => read(memory, body, max_bytes).await,
    }
}

/// Reads a body to its end, up to a size limit.
///
/// The bytes are copied, since a small part of a body may keep a whole read buffer.
pub async fn read(memory: &Memory, mut body: Incoming, max_bytes: usize) -> Result<Buffer, Fault> {
    let mut buffer = Buffer::new(memory);
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| Fault::Cut)?.into_data().unwrap_or_default();
        buffer.extend(&data, max_bytes)?;
    }
    Ok(buffer)
}

/// Reads a body to its end, up to a size limit, with a time limit for each part.
pub async fn read_parts(
    memory: &Memory,
    mut body: Incoming,
    max_bytes: usize,
    part_timeout: Duration,
) -> Result<Buffer, Fault> {
    let mut buffer = Buffer::new(memory);
    loop {
        let frame = time::timeout(part_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Fault::Stalled)? else { return Ok(buffer) };
        let data = frame.map_err(|_| Fault::Cut)?.into_data().unwrap_or_default();
        buffer.extend(&data, max_bytes)?;
    }
}

/// A body, or the part of it that has been read.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    charge: Charge,
    memory: Memory,
}

impl Buffer {
    /// Creates an empty body that counts towards a budget.
    pub fn new(memory: &Memory) -> Buffer {
        Buffer { bytes: BytesMut::new(), charge: memory.charge(0), memory: memory.clone() }
    }

    /// Returns the bytes, and the charge that counts them as used.
    pub fn into_parts(self) -> (Bytes, Charge) {
        (self.bytes.freeze(), self.charge)
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns whether they exceed the limit of the body or the one for all.
    pub fn extend(&mut self, data: &[u8], max_bytes: usize) -> Result<(), Fault> {
        let len = self.bytes.len() + data.len();
        let is_small = len <= MIN_BODY_BYTES;
        let is_refused = match is_small {
            true => self.memory.is_exhausted_by(data.len()),
            false => self.memory.is_exceeded_by(data.len()),
        };
        match () {
            () if len > max_bytes => Err(Fault::TooLarge),
            () if is_refused => Err(Fault::OutOfMemory),
            () => {
                self.charge.add(data.len());
                self.bytes.extend_from_slice(data);
                Ok(())
            }
        }
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A buffered answer on its way to its caller; bytes count as used until the connection takes them.
#[derive(Debug)]
pub struct Held {
    bytes: Bytes,
    charge: Charge,
}

impl Held {
    /// Creates the body of an answer.
    pub fn new(bytes: Bytes, charge: Charge) -> Held {
        Held { bytes, charge }
    }
}

impl hyper::body::Body for Held {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let len = self.bytes.len().min(PART_BYTES);
        if len == 0 {
            return Poll::Ready(None);
        }
        let part = self.bytes.split_to(len);
        self.charge.release(len);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
