//! Outgoing connections beside listeners of the same machine.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
};

use siskinstile_gatewayd::outgoing;
use tokio::io::AsyncReadExt as _;

/// Connections that are tried to one port; the kernel gives out some 14,000 local ports with even numbers
/// one after the other, before odd ones.
const TRIES: usize = 30_000;

/// Local ports that are tried, as sockets of other programs may have the same one.
const PORTS: usize = 200;

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns an address with an even port at which nothing listens.
fn vacant() -> SocketAddr {
    let (_listener, odd) = listener();
    let ports = (odd.port() & !1)..u16::MAX;
    let mut addresses = ports.step_by(2).map(|it| SocketAddr::new(odd.ip(), it));
    addresses.find(|it| TcpListener::bind(it).is_ok()).expect("a free port")
}

/// Guards against an instance that cannot start since its port was given out to an outgoing connection,
/// which is open.
#[tokio::test]
async fn listen_beside_open() {
    let (_remote, address) = listener();
    for _ in 0..PORTS {
        let stream = outgoing::connect(address).await.expect("a connection");
        let local = stream.local_addr().expect("an address");
        if TcpListener::bind(local).is_ok() {
            return;
        }
    }
    panic!("none of the addresses can be listened at");
}

/// Guards against the same for the minute after such a connection was closed from this end.
#[tokio::test]
async fn listen_beside_closed() {
    let (remote, address) = listener();
    for _ in 0..PORTS {
        let mut stream = outgoing::connect(address).await.expect("a connection");
        let local = stream.local_addr().expect("an address");
        let (accepted, _) = remote.accept().expect("a connection");
        rustix::net::shutdown(&stream, rustix::net::Shutdown::Write).expect("open");
        drop(accepted);
        let rest = stream.read_to_end(&mut Vec::new()).await.expect("the end of the connection");
        assert_eq!(rest, 0);
        drop(stream);
        if TcpListener::bind(local).is_ok() {
            return;
        }
    }
    panic!("none of the addresses can be listened at");
}

/// Guards against an endpoint that seems to listen since a connection to its port was given the same port
/// as its own end, and is so connected to itself.
#[tokio::test]
async fn connected_to_itself() {
    let address = vacant();
    for _ in 0..TRIES {
        let error = outgoing::connect(address).await.expect_err("nothing listens there");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    }
}
