//! The socket of a connection, which passes the end of the connection on only where it can end a response.
//!
//! A response without a length ends with its connection. That is its end only if the server has taken the whole
//! request and the connection is not reset: a server that closes a connection with unread bytes resets it.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::Request;
use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    io::Errno,
};
use siskinstile_macros::value;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Instant, Sleep},
};

use super::interim::Interim;

/// Time within which a reset follows the end of a connection that was closed with unread bytes, and between two
/// looks at whether the request has been taken.
const RESET_TIMEOUT: Duration = Duration::from_millis(2);
/// Time limit for the server to take the rest of a request after it has ended its response.
const TAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Buffer for unacknowledged bytes, from which the kernel makes the smallest one; a socket with more of them cannot
/// be written to.
const MIN_SEND_BUFFER_BYTES: usize = 1;

/// What a connection knows of the exchange on it.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Whether a response is awaited or read.
    is_open: Cell<bool>,
    /// Whether a part of it has arrived.
    has_begun: Cell<bool>,
    /// Whether the server has ended the connection.
    has_ended: Cell<bool>,
    /// Whether its end was not passed on, since the request was not taken.
    is_untaken: Cell<bool>,
    /// What comes before the response.
    interim: Arc<Interim>,
}

impl Exchange {
    /// Begins with a request.
    pub(super) fn begin<B>(&self, request: &mut Request<B>) {
        self.interim.watch(request);
        self.is_open.set(true);
        self.has_begun.set(false);
    }

    /// Ends with the response.
    pub(super) fn finish(&self) {
        self.is_open.set(false);
    }

    /// Returns whether the server has ended the connection.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Returns whether more interim heads came before the response than are allowed.
    pub(super) fn has_too_many_heads(&self) -> bool {
        self.interim.is_exceeded()
    }

    /// Returns whether the server has ended the connection before it had taken the request.
    pub(super) fn is_untaken(&self) -> bool {
        self.is_untaken.get()
    }
}

/// How far a server has taken a request.
#[value(id)]
enum Taken {
    /// Its machine has acknowledged it.
    Whole,
    /// Bytes are still to be written or acknowledged.
    Partly,
    /// The connection is broken, so that the rest never will be.
    Broken,
}

/// The end of a connection, as long as it is not known whether it ends the response.
#[derive(Debug)]
struct End {
    timer: Pin<Box<Sleep>>,
    deadline: Instant,
}

impl End {
    fn new() -> End {
        let timer = Box::pin(time::sleep(RESET_TIMEOUT));
        End { timer, deadline: Instant::now() + TAKE_TIMEOUT }
    }
}

/// The socket of one connection.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    exchange: Rc<Exchange>,
    /// Whether a part of the request has not been passed to the kernel yet.
    has_unwritten: bool,
    /// Whether the kernel has refused a part of it.
    is_broken: bool,
    end: Option<End>,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, exchange: Rc<Exchange>) -> Socket {
        Socket { stream, exchange, has_unwritten: false, is_broken: false, end: None }
    }

    /// Passes the end of the connection on once the request has been taken.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let end = self.end.get_or_insert_with(End::new);
            ready!(end.timer.as_mut().poll(cx));
            let now = Instant::now();
            let has_time = now < end.deadline;
            end.timer.as_mut().reset(now + RESET_TIMEOUT);
            match self.taken()? {
                Taken::Whole => return Poll::Ready(Ok(())),
                Taken::Partly if has_time => {}
                Taken::Partly | Taken::Broken => {
                    self.exchange.is_untaken.set(true);
                    return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                }
            }
        }
    }

    fn taken(&self) -> io::Result<Taken> {
        if !self.has_unwritten {
            SockRef::from(&self.stream).set_send_buffer_size(MIN_SEND_BUFFER_BYTES)?;
        }
        let mut sockets = [PollFd::new(&self.stream, PollFlags::OUT)];
        match poll(&mut sockets, Some(&Timespec::default())) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        let shown = sockets[0].revents();
        Ok(match () {
            () if self.is_broken || shown.intersects(PollFlags::ERR | PollFlags::HUP) => {
                Taken::Broken
            }
            () if shown.contains(PollFlags::OUT) && !self.has_unwritten => Taken::Whole,
            () => Taken::Partly,
        })
    }

    /// Leaves it to the next read to find a connection broken, as a response may have arrived before that.
    fn written(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.has_unwritten = true;
        match &result {
            Poll::Ready(Err(error)) if is_break(error) => {
                self.is_broken = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(_) | Poll::Pending => result,
        }
    }
}

fn is_break(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset)
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.exchange.has_too_many_heads() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if self.end.is_some() {
            return self.poll_end(cx);
        }
        let (read, room) = (buffer.filled().len(), buffer.remaining());
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let exchange = &self.exchange;
        match buffer.filled().len() == read && room > 0 {
            true => exchange.has_ended.set(true),
            false => exchange.has_begun.set(true),
        }
        match exchange.has_ended.get() && exchange.is_open.get() && exchange.has_begun.get() {
            true => self.poll_end(cx),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_broken {
            return Poll::Pending;
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.written(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the socket only when its own buffer is empty.
        self.has_unwritten = false;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_broken {
            return Poll::Pending;
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.written(cx, result)
    }
}
