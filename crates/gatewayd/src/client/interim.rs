//! Limit on what comes before the head of a response: the HTTP library limits each head, not their number.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use hyper::{HeaderMap, Request, ext};

use super::MAX_HEAD_BYTES;

/// Maximum number of interim heads before a response.
const MAX_HEADS: usize = 32;

/// The interim heads that have come before a response.
#[derive(Debug, Default)]
pub(super) struct Interim {
    heads: AtomicUsize,
    bytes: AtomicUsize,
}

impl Interim {
    /// Counts those before the response to a request anew.
    pub(super) fn watch<B>(self: &Arc<Interim>, request: &mut Request<B>) {
        self.heads.store(0, Ordering::Relaxed);
        self.bytes.store(0, Ordering::Relaxed);
        let interim = self.clone();
        ext::on_informational(request, move |head| interim.add(head.headers()));
    }

    /// Returns whether there are more of them, or more bytes in their headers, than a response may have.
    pub(super) fn is_exceeded(&self) -> bool {
        self.heads.load(Ordering::Relaxed) > MAX_HEADS
            || self.bytes.load(Ordering::Relaxed) > MAX_HEAD_BYTES
    }

    fn add(&self, headers: &HeaderMap) {
        let bytes = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.bytes.fetch_add(bytes.sum(), Ordering::Relaxed);
        self.heads.fetch_add(1, Ordering::Relaxed);
    }
}
