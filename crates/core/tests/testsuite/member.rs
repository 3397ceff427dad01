use std::time::Duration;

use rstest::rstest;
use siskinstile_core::{
    Instant,
    member::{Heartbeat, Record, Status, Table},
    object::Name,
};

fn table(size: usize) -> Table {
    let mut table = Table::default();
    let record = |index: usize| Record {
        name: format!("i-{index}").into(),
        address: format!("10.0.0.{index}:1").into(),
        admin: None,
        datacentre: "d".into(),
        incarnation: 1,
        state: Status::Live,
    };
    table.replace((0..size).map(record).collect());
    table
}

fn record_heartbeat(table: &mut Table, received_at: Instant, incarnation: u64) {
    let heartbeat = Heartbeat { received_at, incarnation, generation: 1, leaving: false };
    table.record_heartbeat(&Name::from("i-1"), heartbeat);
}

/// Advances the clock in steps of one second and returns the new time.
fn advance(table: &mut Table, seconds: u64) -> Instant {
    (0..=seconds).for_each(|it| table.advance(Instant::from_millis(it * 1_000)));
    Instant::from_millis(seconds * 1_000)
}

#[rstest]
#[case::fresh(3, true)]
#[case::silent(4, false)]
fn is_alive_after_silence(#[case] seconds: u64, #[case] expected: bool) {
    let mut table = table(2);
    record_heartbeat(&mut table, Instant::default(), 1);
    let now = advance(&mut table, seconds);
    assert_eq!(table.is_alive("i-1", now), expected);
    assert_eq!(table.ranked("d", "key").len(), 1 + usize::from(expected));
}

/// A paused process received no heartbeats; that must not make its peers suspect.
#[test]
fn is_alive_after_own_pause() {
    let mut table = table(2);
    record_heartbeat(&mut table, Instant::default(), 1);
    let now = Instant::default() + Duration::from_secs(20);
    table.advance(now);
    assert!(table.is_alive("i-1", now));
}

#[test]
fn record_heartbeat_older_incarnation() {
    let mut table = table(2);
    record_heartbeat(&mut table, Instant::default(), 5);
    record_heartbeat(&mut table, Instant::from_millis(10), 4);
    assert_eq!(table.heartbeat("i-1").unwrap().incarnation, 5);
}

#[rstest]
#[case::mesh(12, 11)]
#[case::ring(36, 6)]
fn heartbeat_targets_by_size(#[case] size: usize, #[case] expected: usize) {
    assert_eq!(table(size).heartbeat_targets("d", "i-0").len(), expected);
}
