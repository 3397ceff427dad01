//! Selection of the instances that follow the platform's store.

use std::time::Duration;

use rstest::rstest;
use siskinstile_gateway::{
    Event, Instant,
    member::{Peer, Table},
};
use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::site::Site;

/// Posts a heartbeat from each of `peers` peers in the gateway's data centre.
fn post_heartbeats(site: &mut Site, peers: u64, number: u64, store_age_ms: u32) {
    for peer in 0..peers {
        site.post(Event::Heartbeat(Box::new(Heartbeat {
            name: format!("peer-{peer}"),
            incarnation: 1,
            number,
            datacentre: "north".into(),
            store_age_ms,
            ..Heartbeat::default()
        })));
    }
}

/// Returns a peer in the data centre `north` without contact with the store.
fn peer() -> Peer {
    Peer {
        cut_off: false,
        incarnation: 1,
        datacentre: "north".into(),
        number: 1,
        last_heartbeat: Instant::default(),
        store_age: Duration::MAX / 2,
        waiting: Default::default(),
        reconfiguring: Vec::new(),
    }
}

/// In a small fleet every instance follows the store itself.
#[test]
fn follow_rank_small_fleet() {
    let mut site = Site::configured();
    post_heartbeats(&mut site, 5, 1, 0);
    assert_eq!(site.state.follow_rank(site.now), Some(0));
}

/// In a large fleet an instance relies on peers with contact to the store, but on none that reports
/// no answer of the store or whose last heartbeat is too old.
#[rstest]
#[case::in_contact(100, 0, false)]
#[case::store_unavailable(u32::MAX, 0, true)]
#[case::old(1_900, 400, true)]
fn follow_rank_large_fleet(#[case] age_ms: u32, #[case] advance_ms: u64, #[case] follows: bool) {
    let mut site = Site::configured();
    post_heartbeats(&mut site, 40, 1, age_ms);
    site.advance(advance_ms);
    assert_eq!(site.state.follow_rank(site.now).is_some(), follows);
}

/// If no instance has contact with the store, they try one after the other: the first always does,
/// and the others have consecutive ranks.
#[test]
fn follow_rank_order() {
    let peers: Vec<String> = (0..18).map(|it| format!("peer-{it}")).collect();
    let rank = |own: usize| {
        let mut table = Table::new("north".into(), Duration::from_secs(3));
        for name in peers.iter().filter(|it| **it != peers[own]) {
            table.record_heartbeat(name.as_str().into(), peer());
        }
        table.follow_rank(Instant::default(), &peers[own], "north")
    };
    let mut ranks: Vec<u32> = (0..18).filter_map(rank).collect();
    ranks.sort_unstable();
    // The first always follows; the second takes over at once.
    let expected: Vec<u32> = [0].into_iter().chain(0..17).collect();
    assert_eq!(ranks, expected);
}
