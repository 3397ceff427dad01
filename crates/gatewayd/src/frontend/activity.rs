//! What a caller's connection is doing, from the arrival of a request to the last written byte of its
//! response.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use siskinstile_macros::value;
use siskinstile_net::Slot;
use tokio::net::TcpStream;

/// Progress of the request on a connection.
#[value(id)]
enum Progress {
    /// There is none.
    Idle,
    /// Its response is not complete.
    Answering,
    /// Its response is complete, but not all of it has been written.
    Flushing,
}

/// The activity of one connection; its slot can be taken from it only while it is idle.
#[derive(Debug)]
pub(super) struct Activity {
    slot: Slot,
    progress: Cell<Progress>,
    has_begun: Cell<bool>,
}

impl Activity {
    pub(super) fn new(slot: Slot) -> Rc<Activity> {
        Rc::new(Activity { slot, progress: Cell::new(Progress::Idle), has_begun: Cell::default() })
    }

    /// Marks the connection as answering until the result is dropped, and then until everything has
    /// been written.
    pub(super) fn begin(self: &Rc<Activity>) -> Answering {
        self.slot.mark_active();
        self.progress.set(Progress::Answering);
        self.has_begun.set(true);
        Answering(self.clone())
    }

    /// Returns whether a request has arrived on the connection.
    pub(super) fn has_begun(&self) -> bool {
        self.has_begun.get()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.progress.get() == Progress::Idle
    }

    /// Waits until the slot is needed for another connection while this one is idle; a request that
    /// arrives at the same moment is answered.
    pub(super) async fn evicted(&self) {
        self.slot.evicted().await;
        if !self.is_idle() {
            std::future::pending().await
        }
    }

    fn flushed(&self) {
        if self.progress.get() == Progress::Flushing {
            self.progress.set(Progress::Idle);
            self.slot.mark_idle();
        }
    }
}

/// Marks a connection as answering a request.
#[derive(Debug)]
pub(super) struct Answering(Rc<Activity>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.progress.set(Progress::Flushing);
    }
}

/// A connection's socket, which notes when all that was to be written has been written.
#[derive(Debug)]
pub(super) struct Socket {
    io: TokioIo<TcpStream>,
    activity: Rc<Activity>,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, activity: Rc<Activity>) -> Socket {
        Socket { io: TokioIo::new(stream), activity }
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the socket only when its own buffer is empty.
        let result = Pin::new(&mut self.io).poll_flush(cx);
        if result.is_ready() {
            self.activity.flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, buffers)
    }
}
