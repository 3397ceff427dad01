//! Outgoing TCP connections, which leave their local port to listeners of the same machine.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

/// Opens a connection.
///
/// Its local port may be one that an instance on the same machine listens at, now or later.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    // Otherwise no socket can listen at the local port until the connection has long been closed.
    socket.set_reuseaddr(true)?;
    let stream = socket.connect(address).await?;
    match stream.local_addr()? == address {
        true => Err(refuse(&stream)),
        false => Ok(stream),
    }
}

/// Makes a connection to itself close without a trace and returns the error that stands for it.
///
/// The kernel opens one if nothing listens at the address and it gives the same port out as the local one.
fn refuse(stream: &TcpStream) -> io::Error {
    match SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        Ok(()) => io::ErrorKind::ConnectionRefused.into(),
        Err(error) => error,
    }
}
