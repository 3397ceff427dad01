//! TCP relay in front of the HTTP server that can close or mute single connections.
//!
//! `tiny_http` gives no access to its sockets. The relay therefore accepts each caller's connection
//! and opens a second one to the server, which identifies it by its peer address.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use crate::fault::Faults;

/// Size of a copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// A listening relay; it closes every connection when dropped.
#[derive(Debug)]
pub(crate) struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    faults: Faults,
    stopping: AtomicBool,
    /// Open links by the peer address that the server sees.
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

/// A caller's connection and the relay's connection to the server for it.
#[derive(Debug)]
struct Link {
    /// Number of the connection, for [`Faults::is_muted`].
    number: u64,
    caller: TcpStream,
    server: TcpStream,
}

impl Relay {
    pub(crate) fn spawn(target: SocketAddr, faults: Faults) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let stopping = AtomicBool::new(false);
        let shared = Arc::new(Shared { target, faults, stopping, links: Mutex::default() });
        let accept_shared = Arc::clone(&shared);
        let acceptor = Some(thread::spawn(move || accept(&listener, &accept_shared)));
        Ok(Relay { address, shared, acceptor })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a function that closes a link after the bytes already sent have been relayed.
    ///
    /// Its argument is the peer address of the link, as the server sees it.
    pub(crate) fn connection_closer(&self) -> impl Fn(SocketAddr) + Send + Sync + 'static {
        let shared = Arc::clone(&self.shared);
        move |peer| {
            let links = shared.links.lock().expect("lock poisoned");
            if let Some(link) = links.get(&peer) {
                let _ = link.server.shutdown(Shutdown::Write);
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        let links = self.shared.links.lock().expect("lock poisoned");
        links.values().for_each(|link| link.close());
    }
}

impl Link {
    fn close(&self) {
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for caller in listener.incoming() {
        if shared.stopping.load(Ordering::SeqCst) {
            return;
        }
        if let Err(error) = caller.and_then(|caller| open_link(caller, shared)) {
            log::warn!("cannot relay a connection: {error}");
        }
    }
}

/// Connects to the server for a caller and starts a thread per direction.
fn open_link(caller: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    let number = shared.faults.register_connection();
    let server = TcpStream::connect(shared.target)?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let peer = server.local_addr()?;
    let link = Arc::new(Link { number, caller, server });
    shared.links.lock().expect("lock poisoned").insert(peer, Arc::clone(&link));
    let (caller_side, server_side) = (Arc::clone(shared), Arc::clone(shared));
    let caller_link = Arc::clone(&link);
    thread::spawn(move || {
        copy(&caller_link.caller, &caller_link.server, || false);
        caller_side.close_link(peer, &caller_link);
    });
    thread::spawn(move || {
        copy(&link.server, &link.caller, || server_side.faults.is_muted(link.number));
        server_side.close_link(peer, &link);
    });
    Ok(())
}

impl Shared {
    /// Closes both connections of a link after one direction has ended.
    fn close_link(&self, peer: SocketAddr, link: &Link) {
        if self.faults.is_muted(link.number) && !self.stopping.load(Ordering::SeqCst) {
            // A muted connection stays open until the caller closes it.
            let _ = io::copy(&mut &link.caller, &mut io::sink());
        }
        link.close();
        self.links.lock().expect("lock poisoned").remove(&peer);
    }
}

/// Copies bytes until the end of the stream or an error, and discards them while `muted`.
fn copy(mut from: &TcpStream, mut to: &TcpStream, muted: impl Fn() -> bool) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer) {
            Ok(0) => return,
            Ok(_) if muted() => {}
            Ok(n) if to.write_all(&buffer[..n]).is_ok() => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Ok(_) | Err(_) => return,
        }
    }
}
