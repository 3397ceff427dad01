//! The body of an answer, which marks its connection as answering for as long as it lives.

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

/// Marks a connection as answering, and its place as kept, until it is dropped.
pub(super) struct Mark {
    answering: Arc<AtomicBool>,
    slot: Arc<Slot>,
}

impl Mark {
    pub(super) fn new(answering: Arc<AtomicBool>, slot: Arc<Slot>) -> Mark {
        Mark { answering, slot }
    }
}

impl Drop for Mark {
    fn drop(&mut self) {
        self.answering.store(false, Ordering::Release);
        self.slot.mark_idle();
    }
}

/// A body with the mark of its connection.
pub(super) struct Body {
    inner: BoxBody<Bytes, io::Error>,
    _mark: Mark,
}

impl Body {
    pub(super) fn new(inner: BoxBody<Bytes, io::Error>, mark: Mark) -> Body {
        Body { inner, _mark: mark }
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
