//! Datagrams between instances.

use std::{net::SocketAddr, time::Duration};

use siskinstile_gatewayd::peers;
use tokio::{net::UdpSocket, task::LocalSet, time};

/// Number of datagrams, more than a socket buffer holds.
const DATAGRAMS: usize = 256;
/// Size of each.
const DATAGRAM_BYTES: usize = 8_000;
/// Time limit for reading what has been sent.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a relay whose digests never reach the last members of its data centre, so that
/// these do not know what teams have spent: a burst larger than the queues on its way loses its end.
#[tokio::test]
async fn send_paced_all_arrive() {
    let local: SocketAddr = ([127, 0, 0, 1], 0).into();
    let sender = UdpSocket::bind(local).await.expect("a socket");
    let receiver = UdpSocket::bind(local).await.expect("a socket");
    let address = receiver.local_addr().expect("an address");
    sender.writable().await.expect("a socket that can send");
    let receive = async move {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        for number in 0..DATAGRAMS {
            receiver.recv_from(&mut buffer).await.expect("a datagram");
            assert_eq!(usize::from(buffer[0]), number, "a datagram is lost");
        }
    };
    let datagrams = (0..DATAGRAMS).map(|number| (address, vec![number as u8; DATAGRAM_BYTES]));
    let tasks = LocalSet::new();
    let received = tasks.spawn_local(receive);
    tasks.run_until(peers::send_paced(&sender, datagrams)).await;
    let received = tasks.run_until(time::timeout(READ_TIMEOUT, received)).await;
    received.expect("the last datagrams arrive").expect("all arrive");
}
