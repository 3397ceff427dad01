//! Limits that endpoints state on the requests from all instances together.

use std::{collections::HashMap, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{
    Effect, Event, Name,
    call::{Notice, Outcome, StatedLimit, Step},
    effect::Call,
};
use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::{simulation, site::Site};

/// Time until all instances have to know a limit.
const CONTACT_MS: u64 = 3_000;
/// Length of a run.
const LENGTH_MS: u64 = 16_000;
/// Time between two steps of a run.
const STEP_MS: u64 = 20;

/// The gateways of a fleet in front of endpoints that all state the same limit in each response.
struct Fleet {
    sites: Vec<Site>,
    notice: Notice,
    /// Times of the calls to each endpoint.
    calls: HashMap<Name, Vec<u64>>,
}

impl Fleet {
    /// Starts a fleet; `rate` is in requests per 1,000 seconds.
    fn start(members: u64, rate: u64) -> Fleet {
        let sites = (0..members).map(|number| Site::member(number, members)).collect();
        let notice = Notice { limit: StatedLimit::Rate(rate), ..Notice::default() };
        Fleet { sites, notice, calls: HashMap::new() }
    }

    /// Sends requests at all instances, each that often, and lets the endpoints answer at once.
    fn run(&mut self, prefix: &str, interval_ms: u64) {
        for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            for (number, site) in (0..).zip(&mut self.sites) {
                // The instances get their requests at different times.
                if (now_ms + number % 17 * STEP_MS).is_multiple_of(interval_ms) {
                    site.send(prefix);
                }
                site.advance(STEP_MS);
                for _ in 0..6 {
                    for call in site.calls() {
                        self.calls.entry(call.endpoint.id.clone()).or_default().push(now_ms);
                        answer(site, &call, self.notice);
                    }
                }
            }
        }
    }

    /// Returns the most calls that an endpoint got within 4 s, once all know the limit.
    fn most_calls(&self) -> usize {
        let counts = self.calls.values().flat_map(|times| {
            let known = times.iter().filter(|it| **it >= CONTACT_MS);
            known.map(|from| times.iter().filter(|it| (*from..from + 4_000).contains(it)).count())
        });
        counts.max().unwrap_or_default()
    }
}

fn answer(site: &mut Site, call: &Call, notice: Notice) {
    let outcome = match call.step {
        Step::Hold { .. } => Outcome::Held { hold: "h".into() },
        Step::Prefill => Outcome::Computed { handle: "kv".into(), tokens: 5_000 },
        Step::Run { .. } if &*call.endpoint.service == "registry" => {
            Outcome::Buffered { status: 200 }
        }
        Step::Run { .. } => {
            site.report_with(call.id, Outcome::Head { status: 200 }, notice);
            Outcome::Completed { events: 2, pause: Default::default(), framed: true }
        }
        _ => Outcome::Done,
    };
    site.report_with(call.id, outcome, notice);
}

/// Guards against endpoints that are overrun although each instance keeps to the limit: all together
/// send at most one and a half times what it allows, and five more in 4 s, also where it allows an
/// instance less than one request in a minute. Calls of each kind count.
#[rstest]
#[case::small_fleet(6, 1_300, "/lookup/", 200)]
#[case::small_fleet_below_one(6, 300, "/lookup/", 200)]
#[case::small_fleet_many(6, 20_000, "/lookup/", 40)]
#[case::large_fleet(74, 1_300, "/lookup/", 400)]
#[case::largest_fleet(295, 2_200, "/issue/", 1_000)]
#[case::engines(6, 2_000, "/review/", 300)]
#[case::engines_large_fleet(74, 3_000, "/review/", 1_000)]
fn calls_within_limit(
    #[case] members: u64,
    #[case] rate: u64,
    #[case] prefix: &str,
    #[case] interval_ms: u64,
) {
    let mut fleet = Fleet::start(members, rate);
    fleet.run(prefix, interval_ms);
    let allowed = 1.5 * 4.0 * rate as f64 / 1_000.0 + 5.0;
    let most = fleet.most_calls();
    assert!(most as f64 <= allowed, "{most} calls in 4 s, {allowed} allowed");
}

/// A plain request goes elsewhere while the limit of an endpoint allows none, and if that holds for all
/// it is refused at once, with the time in which the fleet may call one again. The limit ends when it
/// is no longer stated.
#[test]
fn refusal_at_limit() {
    let mut site = Site::member(0, 6);
    let limited = Notice { limit: StatedLimit::Rate(100), ..Notice::default() };
    let first = lookup(&mut site, limited).expect("a call");
    let other = lookup(&mut site, Notice::default()).expect("a call");
    assert_ne!(first, other);
    assert_eq!(lookup(&mut site, limited), Some(other));
    let id = site.send("/lookup/");
    assert!(site.calls().is_empty(), "no endpoint may be called");
    // A tenth of a request a second, of which four fifths are used.
    assert_eq!(site.failure(id), Some((503, Some(Duration::from_millis(12_500)))));
    // Of the two endpoints, one is called within two periods of 75 s.
    let called = (0..1_600).find_map(|_| {
        site.advance(100);
        lookup(&mut site, Notice { limit: StatedLimit::None, ..Notice::default() })
    });
    let called = called.expect("a call");
    assert_eq!(lookup(&mut site, Notice::default()), Some(called), "its limit has ended");
}

/// A generation is refused at once if the limits of all decode engines allow none, and told when the
/// fleet may call one again.
#[test]
fn generation_refused_at_limit() {
    let mut site = Site::member(0, 6);
    let limited = Notice { limit: StatedLimit::Rate(100), ..Notice::default() };
    for _ in 0..2 {
        site.send("/review/");
        let hold = site.calls().into_iter().find(|it| matches!(it.step, Step::Hold { .. }));
        let hold = hold.expect("a reservation");
        site.report_with(hold.id, Outcome::Refused { status: 503 }, limited);
        site.calls();
    }
    let id = site.send("/review/");
    assert!(site.calls().is_empty(), "no engine may be called");
    let (status, retry_after) = site.failure(id).expect("refused at once");
    assert_eq!(status, 503);
    // Until the next call of this instance it may take 75 s, until one of the fleet 12.5 s.
    let range = Duration::from_secs(4)..Duration::from_secs(20);
    assert!(retry_after.is_some_and(|it| range.contains(&it)), "{retry_after:?}");
}

/// Sends a lookup and lets the endpoint answer; returns the endpoint.
fn lookup(site: &mut Site, notice: Notice) -> Option<Name> {
    site.send("/lookup/");
    let call = site.calls().into_iter().find(|it| &*it.endpoint.service == "registry")?;
    site.report_with(call.id, Outcome::Buffered { status: 200 }, notice);
    Some(call.endpoint.id.clone())
}

/// Returns the heartbeats that a gateway sends within some time.
fn heartbeats(site: &mut Site, ms: u64) -> Vec<Heartbeat> {
    site.advance(ms);
    let sent = std::mem::take(&mut site.effects).into_iter();
    let heartbeats = sent.filter_map(|it| match it {
        Effect::Heartbeat { heartbeat, .. } => Some(*heartbeat),
        _ => None,
    });
    heartbeats.collect()
}

/// An instance learns of a limit, and of its end, from one that has heard of it from a third.
#[test]
fn limit_told() {
    let mut sites: Vec<Site> = (0..3).map(|number| Site::member(number, 3)).collect();
    let limited = Notice { limit: StatedLimit::Rate(100), ..Notice::default() };
    for _ in 0..2 {
        lookup(&mut sites[0], limited).expect("a call");
    }
    pass_on(&mut sites);
    let id = sites[2].send("/lookup/");
    assert_eq!(sites[2].failure(id).map(|it| it.0), Some(503), "no call is allowed");
    let end = Notice { limit: StatedLimit::None, ..Notice::default() };
    let ended = (0..500).any(|_| {
        sites.iter_mut().for_each(|it| it.advance(100));
        lookup(&mut sites[0], end).is_some()
    });
    assert!(ended, "within a period of 37.5 s");
    pass_on(&mut sites);
    assert!(lookup(&mut sites[2], Notice::default()).is_some());
}

/// In a fleet with relays, all instances of all data centres know of a limit, and of its end, within the
/// time in which they have to.
#[rstest]
#[case::fleet_100(100)]
#[case::fleet_295(295)]
fn limit_known_in_time(#[case] members: usize) {
    let mut fleet = simulation::Fleet::start(members);
    fleet.advance(3_000);
    let (engine, name) = ("e-dc-0", fleet.members("dc-0")[20].clone());
    let runs = [1, 2].map(|request| fleet.run(&name, request, &[]).expect("a run"));
    let statements = [(StatedLimit::Rate(2_000), members), (StatedLimit::None, 0)];
    for (run, (limit, expected)) in runs.iter().zip(statements) {
        assert_eq!(&*run.endpoint.id, engine);
        let notice = Notice { limit, ..Notice::default() };
        fleet.report_with(&name, run, Outcome::Head { status: 200 }, notice);
        fleet.advance(CONTACT_MS);
        let knows = |name: &Name| fleet.instances[name].state.is_limited(fleet.now, engine);
        let known = fleet.datacentres.keys().filter(|it| knows(it)).count();
        assert_eq!(known, expected, "{limit:?}");
    }
}

/// Hands what each instance sends on to the next one, the last excepted.
fn pass_on(sites: &mut [Site]) {
    for number in 1..sites.len() {
        for heartbeat in heartbeats(&mut sites[number - 1], 2_000) {
            sites[number].post(Event::Heartbeat(heartbeat.into()));
        }
        sites[number].advance(100);
    }
}
