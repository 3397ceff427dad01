//! Marks a connection as active from the arrival of a request until its response has been written.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::{Frame, SizeHint};
use siskinstile_net::Slot;

/// How far the current response of a connection has got, and the connection's slot.
pub(super) struct Progress {
    /// Whether a request has arrived and the body of its response is not yet dropped.
    responding: AtomicBool,
    /// Whether the end of a response may still have to be written.
    ending: AtomicBool,
    slot: Arc<Slot>,
}

impl Progress {
    pub(super) fn new(slot: Arc<Slot>) -> Progress {
        Progress { responding: AtomicBool::new(false), ending: AtomicBool::new(false), slot }
    }

    pub(super) fn is_responding(&self) -> bool {
        self.responding.load(Ordering::Acquire)
    }

    /// Marks the slot as idle if the response has ended; called when all its bytes have been written.
    pub(super) fn flushed(&self) {
        if self.ending.swap(false, Ordering::AcqRel) {
            self.slot.mark_idle();
        }
    }
}

/// Marks a connection as responding until it is dropped, and its slot as active until the bytes of
/// the response have been written after that.
pub(super) struct Active {
    progress: Arc<Progress>,
}

impl Active {
    pub(super) fn new(progress: Arc<Progress>) -> Active {
        progress.responding.store(true, Ordering::Release);
        progress.ending.store(false, Ordering::Release);
        progress.slot.mark_active();
        Active { progress }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.progress.responding.store(false, Ordering::Release);
        self.progress.ending.store(true, Ordering::Release);
    }
}

/// A response body that keeps its connection marked as responding.
pub(super) struct Body {
    inner: BoxBody<Bytes, io::Error>,
    _active: Active,
}

impl Body {
    pub(super) fn new(inner: BoxBody<Bytes, io::Error>, active: Active) -> Body {
        Body { inner, _active: active }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
