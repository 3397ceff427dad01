//! Addresses that a process may not listen at.

use std::{future, io, net::SocketAddr};

use crossbeam::channel;
use rstest::rstest;
use siskinstile_gatewayd::{
    listener::{self, Purpose},
    logger::Logger,
};
use tokio::task::LocalSet;

fn refuse(_: SocketAddr) -> io::Result<()> {
    Err(io::ErrorKind::PermissionDenied.into())
}

/// Guards against a service that does not start for want of its metrics alone; an operator has to hear of all else at once.
#[rstest]
#[case::metrics(Purpose::Metrics, true)]
#[case::callers(Purpose::Callers, false)]
#[tokio::test(flavor = "current_thread")]
async fn spawn_not_permitted(#[case] purpose: Purpose, #[case] goes_on: bool) {
    let (sender, _lines) = channel::unbounded();
    let logger = Logger::new(sender, "one");
    let target = (purpose, SocketAddr::from(([127, 0, 0, 1], 80)));
    let spawned = LocalSet::new()
        .run_until(async { listener::spawn(&logger, target, refuse, |()| future::pending()) })
        .await;
    assert_eq!(spawned.is_ok(), goes_on);
}
