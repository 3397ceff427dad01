//! HTTP client for endpoints, peers and the store, with a pool of idle connections for each address.

mod interim;
mod socket;

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, body::Incoming, client::conn::http1, http::response};
use hyper_util::rt::TokioIo;
use siskinstile_macros::value;
use tokio::{
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    task::{AbortHandle, spawn_local},
    time,
};

use crate::{
    descriptors::{self, Budget},
    outgoing,
};
use socket::{Exchange, Socket};

/// Time limit for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may be unacknowledged before the kernel closes a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without traffic after which the kernel probes a connection to a peer, and between two probes;
/// it gives up after [`TCP_USER_TIMEOUT`], whatever the number of probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a connection broke in which an ending process closes its other sockets.
const ENDING_TIME: Duration = Duration::from_millis(10);
/// Time within which a proxy closes a connection to an endpoint that has ended.
const CLOSING_TIME: Duration = Duration::from_millis(15);
/// Time between two looks at whether it has.
const CLOSING_POLL: Duration = Duration::from_millis(2);
/// Time limit for the connection that shows whether an endpoint has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which that connection may be used for a request.
const PROBE_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Safety margin by which an idle connection is retired before the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Size limit of the head of a response, and of the buffer that a connection reads into.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of idle connections for each address.
const MAX_IDLE: usize = 32;

/// Why a request has no response.
#[value(id)]
pub enum Fault {
    /// No connection could be opened; no byte of the request was sent.
    Unreachable,
    /// The same, since nothing listens at the address.
    NotListening,
    /// This process already has the maximum number of connections to the address, or no descriptor for another one.
    ConnectionLimit,
    /// The connection broke or the response was malformed; bytes of the request may have been sent.
    Broken,
    /// The same, as too many interim heads came before the response.
    TooManyHeads,
}

/// What a connection shows of an endpoint that broke off a call.
#[value(id)]
pub enum Probe {
    /// Nothing listens at the address.
    Ended,
    /// The connection was accepted and closed at once.
    Closed,
    /// The connection stays open, or nothing can be told.
    Alive,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    open_counts: Rc<RefCell<HashMap<SocketAddr, usize>>>,
    exchange: Rc<Exchange>,
    opened_at: Instant,
    /// Time until which it may be reused while it is idle.
    reusable_until: Instant,
    /// Whether a refusal has arrived on it, which the server may repeat as the response to a later
    /// request.
    has_refused: bool,
}

impl Connection {
    /// Records that a refusal has arrived, so that no response to a later request that states that it
    /// was not run can be trusted.
    pub fn record_refusal(&mut self) {
        self.has_refused = true;
    }

    /// Returns whether the server has ended it before it had taken the request.
    pub fn is_untaken(&self) -> bool {
        self.exchange.is_untaken()
    }

    /// Returns the time for which it has been open.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }
}

/// Which idle connections a request may be sent on.
#[value(id)]
pub enum Reuse {
    /// Any.
    Any,
    /// Those on which no refusal has arrived.
    Unrefused,
    /// Any, preferably the one that has been open for longest.
    Oldest,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        if let Some(count) = self.open_counts.borrow_mut().get_mut(&self.address) {
            *count -= 1;
        }
    }
}

/// A response whose body is still to be read from the connection.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: response::Parts,
    /// The body, which arrives on the connection.
    pub body: Incoming,
    /// The connection; dropping it closes it and ends the body.
    pub connection: Connection,
}

/// Connections by address.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    open_counts: Rc<RefCell<HashMap<SocketAddr, usize>>>,
    /// Whether the kernel probes connections without traffic.
    is_probing: bool,
    /// Descriptors that the connections share with others, unless theirs are reserved.
    descriptors: Option<Rc<Budget>>,
}

impl Client {
    /// Creates a client for peers, whose connections end soon after the peer has fallen silent.
    ///
    /// Endpoints may fall silent and go on, so that their connections are not probed.
    pub fn for_peers(descriptors: Rc<Budget>) -> Client {
        Client { is_probing: true, ..Client::within(descriptors) }
    }

    /// Creates a client whose connections use descriptors of a budget.
    pub fn within(descriptors: Rc<Budget>) -> Client {
        Client { descriptors: Some(descriptors), ..Client::default() }
    }

    /// Sends a request and waits for the response head.
    ///
    /// If a pooled connection is found closed before any byte was sent, another one is used.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        max_connections: usize,
        reuse: Reuse,
    ) -> Result<Reply, Fault> {
        let mut request = request.map(Full::new);
        loop {
            let (mut connection, reused) = match self.take_idle(address, reuse) {
                Some(connection) => (connection, true),
                None => (self.connect(address, max_connections).await?, false),
            };
            connection.exchange.begin(&mut request);
            match connection.sender.try_send_request(request).await {
                Ok(_) if connection.exchange.has_too_many_heads() => {
                    return Err(Fault::TooManyHeads);
                }
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    return Ok(Reply { head, body, connection });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(Fault::Unreachable),
                    None => {
                        log::debug!("request to {address} failed: {}", error.error());
                        return Err(match connection.exchange.has_too_many_heads() {
                            true => Fault::TooManyHeads,
                            false => Fault::Broken,
                        });
                    }
                },
            }
        }
    }

    /// Opens a connection to an address after another one broke, and returns what it shows.
    ///
    /// A connection that stays open is kept for the next request.
    pub async fn probe(&self, address: SocketAddr, max_connections: usize) -> Probe {
        time::sleep(ENDING_TIME).await;
        match time::timeout(PROBE_TIMEOUT, self.connect(address, max_connections)).await {
            Ok(Ok(connection)) if closes(&connection).await => Probe::Closed,
            Ok(Ok(connection)) => {
                self.put_idle(connection, Some(PROBE_KEEP_ALIVE));
                Probe::Alive
            }
            Ok(Err(Fault::NotListening)) => Probe::Ended,
            Ok(Err(_)) | Err(_) => Probe::Alive,
        }
    }

    /// Asks a question on a new connection to an address; returns whether there is an answer, of any status. A
    /// connection that is accepted shows nothing: something in between may accept it.
    pub async fn reaches(&self, address: SocketAddr, question: Request<Bytes>) -> bool {
        match self.connect(address, usize::MAX).await {
            Ok(mut connection) => {
                let mut question = question.map(Full::new);
                connection.exchange.begin(&mut question);
                connection.sender.send_request(question).await.is_ok()
            }
            Err(_) => false,
        }
    }

    /// Returns a connection to the pool once its response has been read to the end.
    ///
    /// The connection is closed if the server does not keep it alive for longer than
    /// `IDLE_MARGIN`, or if the pool for its address is full.
    pub fn put_idle(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let Some(max_idle) = keep_alive.and_then(|it| it.checked_sub(IDLE_MARGIN)) else { return };
        connection.exchange.finish();
        connection.reusable_until = Instant::now() + max_idle;
        let mut idle = self.idle.borrow_mut();
        let pool = idle.entry(connection.address).or_default();
        let is_closed = connection.sender.is_closed() || connection.exchange.has_ended();
        if pool.len() < MAX_IDLE && !is_closed {
            pool.push(connection);
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections that have expired or that the server has closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for pool in idle.values_mut() {
            pool.retain(|it| it.reusable_until > now && !it.sender.is_closed());
        }
        idle.retain(|_, pool| !pool.is_empty());
    }

    /// Acquires the descriptor of a connection; idle connections are closed if there is none, those to
    /// endpoints before those of callers.
    async fn permit(&self) -> Result<Option<OwnedSemaphorePermit>, Fault> {
        let Some(descriptors) = &self.descriptors else { return Ok(None) };
        let permit = descriptors.acquire(|| self.close_first_expiring()).await;
        permit.map(Some).ok_or(Fault::ConnectionLimit)
    }

    /// Closes the idle connection that would expire first; returns whether there was one.
    fn close_first_expiring(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let pools = idle.values_mut().filter(|it| !it.is_empty());
        let Some(pool) = pools.min_by_key(|it| it[0].reusable_until) else { return false };
        pool.remove(0);
        true
    }

    /// Returns what an error on opening a connection shows of the address.
    async fn fault(&self, error: &io::Error) -> Fault {
        match (&self.descriptors, error.kind()) {
            (Some(descriptors), _) if descriptors::is_exhausted(error) => {
                descriptors.recover(error).await;
                Fault::ConnectionLimit
            }
            (_, io::ErrorKind::ConnectionRefused) => Fault::NotListening,
            _ => Fault::Unreachable,
        }
    }

    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let pool = idle.get_mut(&address)?;
        let now = Instant::now();
        pool.retain(|it| it.reusable_until > now && it.sender.is_ready());
        if reuse == Reuse::Oldest {
            let oldest = (0..pool.len()).min_by_key(|it| pool[*it].opened_at)?;
            return Some(pool.remove(oldest));
        }
        let is_usable = |it: &Connection| reuse == Reuse::Any || !it.has_refused;
        // Those that only few requests may use go first.
        let refused = pool.iter().rposition(|it| is_usable(it) && it.has_refused);
        let chosen = refused.or_else(|| pool.iter().rposition(is_usable))?;
        Some(pool.remove(chosen))
    }

    async fn connect(
        &self,
        address: SocketAddr,
        max_connections: usize,
    ) -> Result<Connection, Fault> {
        if self.open_counts.borrow().get(&address).copied().unwrap_or_default()
            >= max_connections.max(1)
        {
            return Err(Fault::ConnectionLimit);
        }
        *self.open_counts.borrow_mut().entry(address).or_default() += 1;
        let reservation = Reservation { address, open_counts: Some(self.open_counts.clone()) };
        let permit = self.permit().await?;
        let stream = match time::timeout(CONNECT_TIMEOUT, outgoing::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("connection to {address} failed: {error}");
                return Err(self.fault(&error).await);
            }
            Err(_) => return Err(Fault::Unreachable),
        };
        set_socket_options(&stream, self.is_probing);
        let exchange = Rc::<Exchange>::default();
        let socket = Socket::new(stream, exchange.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) =
            builder.handshake(TokioIo::new(socket)).await.map_err(|_| Fault::Unreachable)?;
        let task = spawn_local(async move {
            let _permit = permit;
            if let Err(error) = driver.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        let open_counts = reservation.into_open();
        Ok(Connection {
            address,
            sender,
            task: task.abort_handle(),
            open_counts,
            exchange,
            opened_at: Instant::now(),
            reusable_until: Instant::now(),
            has_refused: false,
        })
    }
}

/// Returns whether the server closes a new connection at once.
async fn closes(connection: &Connection) -> bool {
    let deadline = Instant::now() + CLOSING_TIME;
    while !connection.sender.is_closed() {
        if Instant::now() >= deadline {
            return false;
        }
        time::sleep(CLOSING_POLL).await;
    }
    true
}

/// Counts a connection towards the limit while it is being opened.
struct Reservation {
    address: SocketAddr,
    open_counts: Option<Rc<RefCell<HashMap<SocketAddr, usize>>>>,
}

impl Reservation {
    /// Leaves the connection counted; the opened [`Connection`] uncounts it when dropped.
    fn into_open(mut self) -> Rc<RefCell<HashMap<SocketAddr, usize>>> {
        self.open_counts.take().expect("called once")
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let Some(open_counts) = &self.open_counts else { return };
        if let Some(count) = open_counts.borrow_mut().get_mut(&self.address) {
            *count -= 1;
        }
    }
}

/// Lets the kernel close a connection soon after the other end has fallen silent, if `is_probing` also
/// while there is no traffic.
pub fn set_socket_options(stream: &TcpStream, is_probing: bool) {
    let socket = socket2::SockRef::from(stream);
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)))
        .and_then(|()| if is_probing { socket.set_tcp_keepalive(&keep_alive) } else { Ok(()) });
    if let Err(error) = result {
        log::debug!("socket options not set: {error}");
    }
}
