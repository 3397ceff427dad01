//! Which instances follow the platform's store.

use rstest::rstest;
use siskinstile_gateway::Event;
use siskinstile_wire::message::beat::Beat;

use crate::site::Site;

/// Hands the gateway a beat of each of some peers in its data centre.
fn hear(site: &mut Site, peers: u64, number: u64, store_age_ms: u32) {
    for peer in 0..peers {
        site.post(Event::Beat(Beat {
            name: format!("peer-{peer}"),
            incarnation: 1,
            number,
            datacentre: "north".into(),
            store_age_ms,
            ..Beat::default()
        }));
    }
}

/// In a small fleet no instance depends on another's contact with the store.
#[test]
fn follows_store_small() {
    let mut site = Site::open();
    hear(&mut site, 5, 1, 0);
    assert!(site.state.follows_store(site.now));
}

/// In a large one the instance relies on those who are in contact, and on nobody who says that the
/// store does not answer or has not said anything for long.
#[rstest]
#[case::in_contact(100, 0, false)]
#[case::turned_away(u32::MAX, 0, true)]
#[case::old(1_900, 400, true)]
fn follows_store_large(#[case] age_ms: u32, #[case] pass_ms: u64, #[case] follows: bool) {
    let mut site = Site::open();
    hear(&mut site, 40, 1, age_ms);
    site.pass(pass_ms);
    assert_eq!(site.state.follows_store(site.now), follows);
}
