//! Buffering of the bodies of responses.
//!
//! Bodies are buffered up to a limit for each and one for all, so that peers whose bodies have no
//! end do not take the memory of the process.

use std::{cell::Cell, ops::Deref, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use siskinstile_macros::value;
use tokio::time;

/// Size limit of all bodies together that are buffered in one memory.
const MAX_TOTAL_BYTES: usize = 16 << 20;
/// Size up to which a body is buffered even beyond the limit for all, so that large bodies do not
/// displace small ones.
const MIN_BODY_BYTES: usize = 64 << 10;

/// Why a body could not be read to its end.
#[value(id)]
pub enum Fault {
    /// The connection broke before the end, or the framing was malformed.
    Cut,
    /// The body exceeds its size limit, or all bodies together exceed theirs.
    TooLarge,
    /// No part of the body has arrived for too long.
    Stalled,
}

/// Counts the bytes of the bodies that are buffered.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    total: Rc<Cell<usize>>,
}

impl Memory {
    /// Reads a body to its end, up to a size limit.
    ///
    /// The bytes are copied, since a small part of a body may keep a whole read buffer.
    pub async fn read(&self, mut body: Incoming, max_bytes: usize) -> Result<Buffer, Fault> {
        let mut buffer = Buffer { bytes: BytesMut::new(), memory: self.clone() };
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|_| Fault::Cut)?.into_data().unwrap_or_default();
            buffer.extend(&data, max_bytes)?;
        }
        Ok(buffer)
    }

    /// Reads a body to its end, up to a size limit, with a time limit for each part.
    pub async fn read_parts(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        part_timeout: Duration,
    ) -> Result<Buffer, Fault> {
        let mut buffer = Buffer { bytes: BytesMut::new(), memory: self.clone() };
        loop {
            let frame = time::timeout(part_timeout, body.frame()).await;
            let Some(frame) = frame.map_err(|_| Fault::Stalled)? else { return Ok(buffer) };
            let data = frame.map_err(|_| Fault::Cut)?.into_data().unwrap_or_default();
            buffer.extend(&data, max_bytes)?;
        }
    }

    fn release(&self, bytes: usize) {
        self.total.set(self.total.get() - bytes);
    }
}

/// A body, or the part of it that has been read.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    memory: Memory,
}

impl Buffer {
    /// Returns the bytes, which no longer count towards the limit for all.
    pub fn into_bytes(mut self) -> Bytes {
        self.memory.release(self.bytes.len());
        std::mem::take(&mut self.bytes).freeze()
    }

    /// Adds bytes, unless they exceed the limit of the body or the one for all.
    fn extend(&mut self, data: &[u8], max_bytes: usize) -> Result<(), Fault> {
        let total = self.memory.total.get() + data.len();
        let len = self.bytes.len() + data.len();
        if len > max_bytes || (total > MAX_TOTAL_BYTES && len > MIN_BODY_BYTES) {
            return Err(Fault::TooLarge);
        }
        self.memory.total.set(total);
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.memory.release(self.bytes.len());
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
