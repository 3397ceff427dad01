//! Tests of the limiter.

use std::sync::Arc;

use siskinstile_core::{
    Instant,
    limit::{
        Limiter, Verdict,
        participant::{Participant, Table},
    },
    object::Team,
};

#[test]
fn take_before_table_is_known() {
    let team = Team { name: "team".into(), weight: 1, rate: 10, burst: 100, offline_grace_s: None };
    let mut limiter = Limiter::new("a".into(), 1, "dc".into());
    limiter.mark_first_start();
    assert_eq!(limiter.take(Instant::from_millis(50), &team, 1, 90), Verdict::Pending);
    let participant = Participant { name: "a".into(), datacentre: "dc".into() };
    limiter.set_table(Instant::from_millis(550), Arc::new(Table::new(vec![participant])));
    limiter.tick(Instant::from_millis(600));
    assert_eq!(limiter.take_verdicts(), [(1, Verdict::Granted)]);
}
