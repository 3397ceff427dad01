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

/// A body with the mark of its connection, taken back when the body is dropped.
pub(super) struct Body {
    inner: BoxBody<Bytes, io::Error>,
    answering: Arc<AtomicBool>,
}

impl Body {
    pub(super) fn new(inner: BoxBody<Bytes, io::Error>, answering: Arc<AtomicBool>) -> Body {
        Body { inner, answering }
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

impl Drop for Body {
    fn drop(&mut self) {
        self.answering.store(false, Ordering::Release);
    }
}
