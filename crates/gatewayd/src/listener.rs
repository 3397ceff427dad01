//! Sockets at the instance's own addresses, some of which may be available only after the start.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use rustix::io::Errno;
use siskinstile_gateway::record::{self, Record};
use siskinstile_macros::value;
use tokio::{
    net::{TcpListener, TcpSocket, UdpSocket},
    time,
};

use crate::{fault::spawn_essential, logger::Logger, status};

/// Pause after the first failed try; doubled after each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest pause between two tries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Connections that may wait to be accepted, as callers return all at once after a loss; the kernel
/// may allow fewer.
const MAX_WAITING: u32 = 1_024;
/// Time between two log lines on the same address.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What an address is for.
#[value(id)]
pub enum Purpose {
    /// Callers' requests.
    Callers,
    /// Readiness checks of the load balancer.
    Readiness,
    /// Metrics scrapes.
    Metrics,
    /// Snapshots for peers.
    Snapshots,
    /// Heartbeats of peers.
    Heartbeats,
    /// Requests that peers hand over.
    Handovers,
}

impl Purpose {
    /// Returns whether the process cannot serve without the address.
    fn is_essential(self) -> bool {
        self != Purpose::Metrics
    }

    fn as_str(self) -> &'static str {
        match self {
            Purpose::Callers => "callers",
            Purpose::Readiness => "readiness",
            Purpose::Metrics => "metrics",
            Purpose::Snapshots => "snapshots",
            Purpose::Heartbeats => "heartbeats",
            Purpose::Handovers => "handovers",
        }
    }
}

/// Runs `serve` with the socket that `open` returns, now or as soon as the address is available.
///
/// Fails if waiting does not make it available, as for want of a permission, and the process cannot serve without it.
pub fn spawn<T: 'static, F: Future<Output = ()> + 'static>(
    logger: &Logger,
    (purpose, address): (Purpose, SocketAddr),
    open: fn(SocketAddr) -> io::Result<T>,
    serve: impl FnOnce(T) -> F + 'static,
) -> anyhow::Result<()> {
    match open(address) {
        Ok(socket) => spawn_essential(serve(socket)),
        Err(error) if is_temporary(&error) || !purpose.is_essential() => {
            let missing = Missing::new(logger.clone(), purpose, address);
            missing.log(&error);
            spawn_essential(async move { serve(missing.open(open).await).await });
        }
        Err(error) => {
            return Err(error)
                .with_context(|| format!("listening for {} at {address}", purpose.as_str()));
        }
    }
    Ok(())
}

/// Opens a socket that accepts connections.
pub fn open_connections(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    // Connections of the process before may not have ended yet.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_WAITING)
}

/// Opens a socket that receives datagrams.
pub fn open_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Returns whether an address may be available later although it is not now: another socket holds it,
/// the machine does not have it yet, or descriptors or memory are short.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::ADDRINUSE
                | Errno::ADDRNOTAVAIL
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
        )
    )
}

/// An address that is not available yet.
#[derive(Debug)]
struct Missing {
    logger: Logger,
    purpose: Purpose,
    address: SocketAddr,
    since: Instant,
}

impl Missing {
    fn new(logger: Logger, purpose: Purpose, address: SocketAddr) -> Missing {
        status::count_missing_address(1.0);
        Missing { logger, purpose, address, since: Instant::now() }
    }

    /// Tries until the socket is open.
    async fn open<T>(self, open: fn(SocketAddr) -> io::Result<T>) -> T {
        let (mut tries, mut delay, mut logged_at) = (1_u64, MIN_RETRY_DELAY, self.since);
        loop {
            time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
            tries += 1;
            match open(self.address) {
                Ok(socket) => {
                    self.log_bound(tries);
                    return socket;
                }
                Err(error) if logged_at.elapsed() >= LOG_INTERVAL => {
                    logged_at = Instant::now();
                    self.log(&error);
                }
                Err(_) => {}
            }
        }
    }

    fn log(&self, error: &io::Error) {
        let line = Record::new(record::ADDRESS_MISSING)
            .with("address", self.address.to_string())
            .with("purpose", self.purpose.as_str())
            .with("problem", error.to_string());
        status::count_line(&line);
        self.logger.write(&line);
    }

    fn log_bound(&self, tries: u64) {
        let line = Record::new(record::ADDRESS_BOUND)
            .with("address", self.address.to_string())
            .with("purpose", self.purpose.as_str())
            .with("tries", tries)
            .with("waited_ms", self.since.elapsed().as_millis() as u64);
        status::count_line(&line);
        self.logger.write(&line);
    }
}

impl Drop for Missing {
    fn drop(&mut self) {
        status::count_missing_address(-1.0);
    }
}
