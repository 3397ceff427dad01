//! A caller's connection, with a limit on silence and errors of the door's own form.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use siskinstile_core::{
    error::{Failure, Kind},
    request,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf},
    time::{self, Sleep},
};

use super::answer;

/// Bytes read and dropped after the last answer, so that a reset does not overtake it.
const LINGER_BYTES: usize = 1 << 20;
/// Limit on the reading of those bytes.
const LINGER: Duration = Duration::from_secs(1);
/// Largest error that the HTTP library writes by itself, in bytes.
const LIBRARY_ERROR_BYTES: usize = 256;

/// A connection that fails when its caller takes no bytes for too long.
///
/// The HTTP library answers a head that it cannot parse by itself, without a body. Such an answer
/// is replaced by one with the request's identifier and the JSON of an error.
pub(super) struct Socket<S> {
    stream: S,
    /// Whether an answer of the door is being written.
    answering: Arc<AtomicBool>,
    silence: Duration,
    /// Runs while the caller takes no bytes.
    stalled: Option<Pin<Box<Sleep>>>,
    /// What is left of an answer that replaces the library's.
    replaced: Vec<u8>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Socket<S> {
    pub(super) fn new(stream: S, answering: Arc<AtomicBool>, silence: Duration) -> Socket<S> {
        Socket { stream, answering, silence, stalled: None, replaced: Vec::new() }
    }

    /// Fails a write that has waited for longer than the limit on silence.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stalled = None;
            return poll;
        }
        let silence = self.silence;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(time::sleep(silence)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_replaced(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replaced.is_empty() {
            let poll = Pin::new(&mut self.stream).poll_write(cx, &self.replaced);
            let n = ready!(self.check_stall(cx, poll))?;
            self.replaced.drain(..n);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_replaced(cx))?;
        match library_error(buf) {
            Some(kind) if !self.answering.load(Ordering::Acquire) => {
                self.replaced = last_answer(&Failure::not_run(kind));
                Poll::Ready(Ok(buf.len()))
            }
            _ => {
                let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
                self.check_stall(cx, poll)
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replaced(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replaced(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Returns the kind of error that the HTTP library writes, if `buf` is such an answer.
fn library_error(buf: &[u8]) -> Option<Kind> {
    let whole = buf.len() <= LIBRARY_ERROR_BYTES && buf.ends_with(b"\r\n\r\n");
    match buf.strip_prefix(b"HTTP/1.1 ")?.get(..3)? {
        _ if !whole => None,
        b"400" => Some(Kind::BadRequest),
        b"414" | b"431" => Some(Kind::HeadTooLarge),
        _ => None,
    }
}

/// Returns the bytes of an answer after which the connection closes.
pub(super) fn last_answer(failure: &Failure) -> Vec<u8> {
    let id = request::Id(rand::random());
    let row = failure.kind.row();
    let body = answer::failure_value(id, failure).to_string();
    let reason = hyper::StatusCode::from_u16(row.status).ok().and_then(|it| it.canonical_reason());
    let retry = if row.retryable { "retry-after: 1\r\n" } else { "" };
    format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\n{}: {id}\r\n{retry}\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        row.status,
        reason.unwrap_or_default(),
        answer::REQUEST_ID,
        body.len(),
    )
    .into_bytes()
}

/// Closes a connection without losing the last answer to bytes that were not read.
pub(super) async fn linger(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let _ = time::timeout(LINGER, async {
        let mut buffer = vec![0; 4 << 10];
        let mut left = LINGER_BYTES;
        stream.shutdown().await?;
        loop {
            match stream.read(&mut buffer).await? {
                0 => return Ok::<_, io::Error>(()),
                n if n >= left => return Ok(()),
                n => left -= n,
            }
        }
    })
    .await;
}
