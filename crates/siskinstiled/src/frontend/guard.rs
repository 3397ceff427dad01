//! Marks a connection as active from the arrival of a request until its response body is dropped.

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

/// Marks a connection as responding and its slot as active until it is dropped.
pub(super) struct Active {
    responding: Arc<AtomicBool>,
    slot: Arc<Slot>,
}

impl Active {
    pub(super) fn new(responding: Arc<AtomicBool>, slot: Arc<Slot>) -> Active {
        Active { responding, slot }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.responding.store(false, Ordering::Release);
        self.slot.mark_idle();
    }
}

/// A response body that keeps its connection marked as active.
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
