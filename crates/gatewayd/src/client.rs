//! HTTP connections to endpoints and the store, kept for further requests.

use std::{
    cell::RefCell,
    collections::HashMap,
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
    task::{AbortHandle, spawn_local},
    time,
};

/// Limit on opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Time after which bytes that the other side has not acknowledged end a connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);
/// Time before the other side's own limit at which an idle connection is not used any more.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept to one address.
const MOST_IDLE: usize = 32;

/// Why a request has no answer.
#[value(id)]
pub enum Fault {
    /// No connection could be opened.
    Unreachable,
    /// This process has as many connections there as it may have.
    Crowded,
    /// The connection broke, or what came was no answer; bytes of the request may have left.
    Broken,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    open: Rc<RefCell<HashMap<SocketAddr, usize>>>,
    /// When it is not used any more.
    until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        if let Some(count) = self.open.borrow_mut().get_mut(&self.address) {
            *count -= 1;
        }
    }
}

/// The head of an answer, with the connection that its body comes on.
#[derive(Debug)]
pub struct Reply {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The connection; dropping it ends the exchange.
    pub connection: Connection,
}

/// Connections by address.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    open: Rc<RefCell<HashMap<SocketAddr, usize>>>,
}

impl Client {
    /// Sends a request and waits for the head of its answer.
    ///
    /// A kept connection that turns out to be closed before a byte has left is replaced.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        most: usize,
    ) -> Result<Reply, Fault> {
        let mut request = request.map(Full::new);
        loop {
            let (mut connection, kept) = match self.take_idle(address) {
                Some(connection) => (connection, true),
                None => (self.connect(address, most).await?, false),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    return Ok(Reply { head, body, connection });
                }
                Err(mut error) => match error.take_message() {
                    Some(back) if kept => request = back,
                    Some(_) => return Err(Fault::Unreachable),
                    None => {
                        log::debug!("exchange with {address} broke: {}", error.error());
                        return Err(Fault::Broken);
                    }
                },
            }
        }
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn keep(&self, mut connection: Connection, keep: Option<Duration>) {
        let Some(keep) = keep.and_then(|it| it.checked_sub(KEEP_MARGIN)) else { return };
        connection.until = Instant::now() + keep;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < MOST_IDLE && !connection.sender.is_closed() {
            kept.push(connection);
        }
    }

    /// Closes all kept connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes kept connections that are not used any more.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|it| it.until > now && !it.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if connection.until > Instant::now() && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr, most: usize) -> Result<Connection, Fault> {
        if self.open.borrow().get(&address).copied().unwrap_or_default() >= most.max(1) {
            return Err(Fault::Crowded);
        }
        *self.open.borrow_mut().entry(address).or_default() += 1;
        let counted = Counted { address, open: Some(self.open.clone()) };
        let stream = match time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("connection to {address} failed: {error}");
                return Err(Fault::Unreachable);
            }
            Err(_) => return Err(Fault::Unreachable),
        };
        tune(&stream);
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| Fault::Unreachable)?;
        let task = spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        let open = counted.keep();
        Ok(Connection { address, sender, task: task.abort_handle(), open, until: Instant::now() })
    }
}

/// Counts a connection while it is being opened.
struct Counted {
    address: SocketAddr,
    open: Option<Rc<RefCell<HashMap<SocketAddr, usize>>>>,
}

impl Counted {
    fn keep(mut self) -> Rc<RefCell<HashMap<SocketAddr, usize>>> {
        self.open.take().expect("kept once")
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let Some(open) = &self.open else { return };
        if let Some(count) = open.borrow_mut().get_mut(&self.address) {
            *count -= 1;
        }
    }
}

fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)));
    if let Err(error) = tuned {
        log::debug!("socket options not set: {error}");
    }
}
