//! What heartbeats cost in fleets of different sizes, and what instances know of one another when
//! relays fail.

use rstest::rstest;
use siskinstile_gateway::Name;

use crate::simulation::Fleet;

/// Guards against heartbeats from everyone to everyone: an ordinary instance sends and receives as
/// many messages in a fleet of 300 as in one of 100, and a relay one for each member of its data
/// centre and each other one.
#[test]
fn messages_by_size() {
    let traffic = [100, 300].map(|size| {
        let mut fleet = Fleet::start(size);
        fleet.advance(3_000);
        fleet.take_traffic();
        fleet.advance(5_000);
        let traffic = fleet.take_traffic();
        let median = traffic[size / 2];
        let relay = traffic[0];
        (median, relay)
    });
    let [(small, small_relay), (large, large_relay)] = traffic;
    assert!(large.sent * 10 <= small.sent * 12, "{small:?} {large:?}");
    assert!(large.received * 10 <= small.received * 12, "{small:?} {large:?}");
    assert!(large.sent <= 50, "10 a second: {large:?}");
    assert!(large_relay.sent * 10 <= small_relay.sent * 12, "{small_relay:?} {large_relay:?}");
}

/// Guards against a start in which everyone tells everyone, and against a log line for each peer
/// and heartbeat.
#[test]
fn start_at_once() {
    let mut fleet = Fleet::start(300);
    fleet.advance(2_000);
    let traffic = fleet.take_traffic();
    let sent: usize = traffic.iter().map(|it| it.sent).sum();
    assert!(sent <= 300 * 2 * 60, "{sent}");
    fleet.advance(10_000);
    let lines = fleet.take_traffic().iter().map(|it| it.lines).max();
    assert_eq!(lines, Some(0), "nothing changes");
}

/// Every instance knows the requests of all others, and counts its own once.
#[test]
fn loads_known() {
    let mut fleet = Fleet::start(300);
    fleet.advance(3_000);
    for (request, name) in fleet.members("dc-1").into_iter().enumerate().step_by(5) {
        fleet.reserve(&name, request as u64);
    }
    fleet.advance(500);
    let (min, max) = fleet.known_in("dc-1", "e-dc-1");
    assert_eq!((min, max), (10, 10), "within the data centre");
    fleet.advance(2_500);
    assert_eq!(fleet.known_requests("e-dc-1"), (10, 10), "in all");
}

/// The loss of one relay goes unnoticed, and that of both for as long as it takes to find the next
/// candidate.
#[rstest]
#[case::first(&[0], 500)]
#[case::second(&[1], 500)]
#[case::both(&[0, 1], 2_500)]
#[case::four(&[0, 1, 2, 3], 3_500)]
fn relays_killed(#[case] killed: &[usize], #[case] within_ms: u64) {
    let mut fleet = Fleet::start(300);
    fleet.advance(3_000);
    let members = fleet.members("dc-1");
    for index in killed {
        fleet.kill(&members[*index]);
    }
    fleet.reserve(&members[20], 1);
    fleet.advance(within_ms);
    assert_eq!(fleet.known_in("dc-1", "e-dc-1"), (1, 1), "within the data centre");
    fleet.reserve(&members[30], 2);
    fleet.advance(5_000);
    assert_eq!(fleet.known_requests("e-dc-1"), (2, 2), "in all");
}

/// Guards against teams that spend their rate in each data centre: what is spent in one is known in
/// all others within a second.
#[test]
fn spending_known() {
    let mut fleet = Fleet::start(150);
    // Reports in the first seconds may cover spending from before they were heard.
    fleet.advance(12_000);
    let spenders = fleet.members("dc-1");
    for (request, name) in spenders.iter().cycle().take(200).enumerate() {
        fleet.reserve(name, request as u64);
    }
    let spent = 200.0 * 320.0;
    fleet.advance(900);
    let levels = fleet.instances.values().filter_map(|it| it.state.quota_level("a"));
    let highest = levels.fold(f64::MIN, f64::max);
    // The rate is as high as the burst.
    let (rate, seconds) = (60_000.0, 0.9);
    assert!(highest <= rate - spent + rate * seconds, "{highest}");
}

/// Guards against a team that spends its rate twice: the two sides of a cut know of it within 4 s, and
/// then grant their parts of the rate. Without a cut, no instance counts as unreachable.
#[test]
fn datacentre_cut() {
    let mut fleet = Fleet::start(150);
    fleet.advance(8_000);
    let share = |fleet: &Fleet, name: &Name| fleet.instances[name].state.reachable_share();
    for name in fleet.datacentres.keys() {
        assert_eq!(share(&fleet, name), 1.0, "{name}");
    }
    fleet.cut = Some("dc-1".into());
    fleet.advance(4_000);
    for (name, datacentre) in &fleet.datacentres {
        let expected = if &**datacentre == "dc-1" { 1.0 / 3.0 } else { 2.0 / 3.0 };
        assert!((share(&fleet, name) - expected).abs() < 1e-9, "{name}: {}", share(&fleet, name));
    }
    fleet.cut = None;
    fleet.advance(3_000);
    for name in fleet.datacentres.keys() {
        assert_eq!(share(&fleet, name), 1.0, "{name}");
    }
}

/// After a restart of all instances but a few, the fleet knows itself again.
#[test]
fn mass_restart() {
    let mut fleet = Fleet::start(150);
    fleet.advance(3_000);
    let names: Vec<Name> = fleet.datacentres.keys().cloned().collect();
    for name in names.iter().step_by(3) {
        fleet.kill(name);
    }
    fleet.advance(1_000);
    for name in names.iter().step_by(3) {
        fleet.start_instance(name, 2);
    }
    fleet.advance(3_000);
    let restarted = names[3].clone();
    fleet.reserve(&restarted, 1);
    fleet.advance(3_000);
    let engine = format!("e-{}", fleet.datacentres[&restarted]);
    assert_eq!(fleet.known_requests(&engine), (1, 1));
}

impl Fleet {
    /// Returns the smallest and the largest number of requests at an engine that the living
    /// instances of a data centre know of.
    fn known_in(&self, datacentre: &str, engine: &str) -> (u32, u32) {
        let local =
            self.instances.iter().filter(|(name, _)| *self.datacentres[*name] == *datacentre);
        let living = local.filter(|(_, it)| it.is_alive);
        let known: Vec<u32> =
            living.map(|(_, it)| it.state.endpoint_load(engine).requests).collect();
        (*known.iter().min().expect("one lives"), *known.iter().max().expect("one lives"))
    }
}
