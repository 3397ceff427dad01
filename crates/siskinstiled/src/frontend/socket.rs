//! A caller's connection with a write time-out, on which all error responses have the same form.

use std::{
    io,
    pin::Pin,
    sync::Arc,
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

use super::{guard::Progress, response};

/// Maximum number of bytes read and discarded after the last response.
///
/// Closing with unread bytes would send a reset, which may overtake the response.
const LINGER_BYTES: usize = 1 << 20;
/// Time limit on shutting down and reading those bytes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an error response that the HTTP library writes itself, in bytes.
const MAX_LIBRARY_ERROR_BYTES: usize = 256;

/// A connection whose writes fail if the caller accepts no bytes for the write time-out.
///
/// To a head that it cannot parse, the HTTP library itself sends a response without a body. That
/// response is replaced by one with a request identifier and the JSON description of the error.
pub(super) struct Socket<S> {
    stream: S,
    /// Tells a response of this instance from one of the library, and learns when it is written.
    progress: Arc<Progress>,
    write_timeout: Duration,
    /// Timer that runs while the caller accepts no bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Unwritten bytes of a response that replaces one of the library.
    replacement: Vec<u8>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Socket<S> {
    pub(super) fn new(stream: S, progress: Arc<Progress>, write_timeout: Duration) -> Socket<S> {
        Socket { stream, progress, write_timeout, write_timer: None, replacement: Vec::new() }
    }

    /// Turns a write that has been pending for the write time-out into a `TimedOut` error.
    fn check_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.write_timer = None;
            return poll;
        }
        let write_timeout = self.write_timeout;
        let write_timer =
            self.write_timer.get_or_insert_with(|| Box::pin(time::sleep(write_timeout)));
        ready!(write_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes the unwritten bytes of a replacement response.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replacement.is_empty() {
            let poll = Pin::new(&mut self.stream).poll_write(cx, &self.replacement);
            let n = ready!(self.check_write_timeout(cx, poll))?;
            self.replacement.drain(..n);
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
        ready!(self.poll_replacement(cx))?;
        match library_error(buf) {
            Some(kind) if !self.progress.is_responding() => {
                self.replacement = closing_response(&Failure::not_run(kind));
                Poll::Ready(Ok(buf.len()))
            }
            _ => {
                let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
                self.check_write_timeout(cx, poll)
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.progress.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Returns the kind of error if `buf` is an error response of the HTTP library.
fn library_error(buf: &[u8]) -> Option<Kind> {
    let is_complete = buf.len() <= MAX_LIBRARY_ERROR_BYTES && buf.ends_with(b"\r\n\r\n");
    match buf.strip_prefix(b"HTTP/1.1 ")?.get(..3)? {
        _ if !is_complete => None,
        b"400" => Some(Kind::BadRequest),
        b"414" | b"431" => Some(Kind::HeadTooLarge),
        _ => None,
    }
}

/// Returns the bytes of an error response with `connection: close` and a new request identifier.
pub(super) fn closing_response(failure: &Failure) -> Vec<u8> {
    let id = request::Id(rand::random());
    let row = failure.kind.row();
    let body = response::failure_value(id, failure).to_string();
    let reason = hyper::StatusCode::from_u16(row.status).ok().and_then(|it| it.canonical_reason());
    let retry = if row.retryable { "retry-after: 1\r\n" } else { "" };
    format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\n{}: {id}\r\n{retry}\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        row.status,
        reason.unwrap_or_default(),
        response::REQUEST_ID,
        body.len(),
    )
    .into_bytes()
}

/// Shuts down writing, then discards what the caller still sends, so that no reset is sent before
/// the caller has read the last response.
pub(super) async fn linger(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let _ = time::timeout(LINGER_TIMEOUT, async {
        let mut buffer = vec![0; 4 << 10];
        let mut remaining = LINGER_BYTES;
        stream.shutdown().await?;
        loop {
            match stream.read(&mut buffer).await? {
                0 => return Ok::<_, io::Error>(()),
                n if n >= remaining => return Ok(()),
                n => remaining -= n,
            }
        }
    })
    .await;
}
