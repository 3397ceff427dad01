//! Suspicion against the requests of one team on one route: what confirms it, what clears it, how it is told.

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{
    Directory, Event, Instant,
    directory::Endpoint,
    name_hash::NameHash,
    quarantine::{Crash, GroupReport, Groups},
};

use crate::site::{Site, ended, endpoints};

/// The group whose requests end endpoints, and one that is only there.
const FATAL: NameHash = NameHash(7);
const OTHER: NameHash = NameHash(8);
/// Endpoints that have to have ended until a group is known.
const KNOWN_CRASHES: u64 = 5;

/// Groups on virtual time, with endpoints that each end once and requests that come once.
struct Bench {
    groups: Groups,
    now: Instant,
    endpoints: u64,
    requests: u64,
}

impl Bench {
    fn new() -> Bench {
        let now = Instant::from_millis(10_000);
        Bench { groups: Groups::default(), now, endpoints: 0, requests: 0 }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.groups.update(self.now);
    }

    /// Lets an endpoint end that runs a request of each of these groups.
    fn end(&mut self, groups: &[NameHash]) {
        self.endpoints += 1;
        for group in groups {
            self.requests += 1;
            self.end_with(*group, NameHash(1_000 + self.requests));
        }
    }

    fn end_with(&mut self, group: NameHash, request: NameHash) {
        let began_at = self.now - Duration::from_millis(60);
        let crash = Crash { engine: NameHash(self.endpoints), began_at, at: self.now };
        self.groups.record_crash(self.now, group, request, crash);
    }

    fn succeed(&mut self, group: NameHash, count: u64) {
        for _ in 0..count {
            self.requests += 1;
            self.groups.record_success(self.now, group, NameHash(self.requests));
        }
    }

    fn is_quarantined(&self, group: NameHash) -> bool {
        self.groups.remaining(self.now, group).is_some()
    }

    /// Takes over what another instance sends.
    fn hear(&mut self, from: &Bench) {
        let sent = from.groups.reports(from.now);
        let sent = sent.iter().map(|it| it.to_send(from.now)).collect::<Vec<_>>();
        let received = sent.iter().filter_map(|it| GroupReport::received(self.now, it));
        self.groups.record_reports(self.now, received);
    }
}

/// Guards against groups that one success clears, so that endpoint after endpoint ends; and against the
/// refusal of a group of which most requests are sound.
#[rstest]
#[case::half_sound(1, true)]
#[case::mostly_sound(8, true)]
#[case::sound(40, false)]
fn cleared_in_proportion(#[case] successes: u64, #[case] is_quarantined: bool) {
    let mut bench = Bench::new();
    for _ in 0..KNOWN_CRASHES {
        bench.end(&[FATAL]);
        bench.advance(600);
        bench.succeed(FATAL, successes);
    }
    assert_eq!(bench.is_quarantined(FATAL), is_quarantined);
}

/// Guards against the loss of a rack, or of all endpoints, being taken for the fault of a popular group:
/// endpoints that end at once are one crash, also where two racks are lost one after the other.
#[rstest]
#[case::one(1)]
#[case::two(2)]
fn racks_lost(#[case] racks: u64) {
    let mut bench = Bench::new();
    for _ in 0..racks {
        for _ in 0..6 {
            bench.end(&[FATAL]);
            bench.advance(10);
        }
        bench.advance(5_000);
    }
    assert!(!bench.is_quarantined(FATAL));
}

/// Guards against the refusal of a group for crashes of all endpoints in turn, which take the requests of
/// every popular group with them; one that is there at some crashes of another is free.
#[test]
fn beside_others() {
    let mut bench = Bench::new();
    for _ in 0..8 {
        bench.end(&[FATAL, OTHER]);
        bench.advance(1_000);
    }
    assert!(!bench.is_quarantined(FATAL) && !bench.is_quarantined(OTHER));
    for _ in 0..3 {
        bench.end(&[FATAL]);
        bench.advance(1_000);
    }
    assert!(bench.is_quarantined(FATAL) && !bench.is_quarantined(OTHER));
}

/// Guards against the refusal of a whole group for one request that comes again and again, which is
/// refused by itself.
#[test]
fn one_request_again() {
    let mut bench = Bench::new();
    for _ in 0..8 {
        bench.endpoints += 1;
        bench.end_with(FATAL, NameHash(1));
        bench.advance(1_000);
    }
    assert!(!bench.is_quarantined(FATAL));
    for request in 2..4 {
        bench.endpoints += 1;
        bench.end_with(FATAL, NameHash(request));
        bench.advance(1_000);
    }
    assert!(bench.is_quarantined(FATAL));
}

/// Guards against a refusal without end: it ends a minute after the last crash, one more crash renews it,
/// and sound requests clear the group.
#[test]
fn bounded_in_time() {
    let mut bench = Bench::new();
    for _ in 0..KNOWN_CRASHES {
        bench.end(&[FATAL]);
        bench.advance(500);
    }
    assert!(bench.is_quarantined(FATAL));
    bench.advance(60_000);
    assert!(!bench.is_quarantined(FATAL));
    bench.end(&[FATAL]);
    bench.advance(400);
    assert!(bench.is_quarantined(FATAL), "renewed");
    bench.advance(300_000);
    assert!(!bench.is_quarantined(FATAL));
    bench.succeed(FATAL, 200);
    bench.end(&[FATAL]);
    bench.advance(400);
    assert!(!bench.is_quarantined(FATAL), "cleared");
}

/// Guards against knowledge that stays with the instance that saw a crash, and against successes that are
/// counted where they happen only: each of five instances sees one crash, a sixth one all successes.
#[rstest]
#[case::fatal(10, true)]
#[case::sound(100, false)]
fn told(#[case] successes: u64, #[case] is_quarantined: bool) {
    let mut instances: Vec<Bench> = (0..6).map(|_| Bench::new()).collect();
    for number in 0..5 {
        instances[number].endpoints = number as u64;
        instances[number].requests = 1_000 * (number as u64 + 1);
        instances[number].end(&[FATAL]);
        exchange(&mut instances);
        instances[5].succeed(FATAL, successes / 5);
    }
    exchange(&mut instances);
    assert!(instances.iter().all(|it| it.is_quarantined(FATAL) == is_quarantined));
}

/// Lets all instances tell one another what they know, some time later.
fn exchange(instances: &mut [Bench]) {
    for _ in 0..2 {
        for to in 0..instances.len() {
            let (before, after) = instances.split_at_mut(to);
            let (receiver, after) = after.split_first_mut().expect("the receiver");
            before.iter().chain(&*after).for_each(|it| receiver.hear(it));
        }
        instances.iter_mut().for_each(|it| it.advance(250));
    }
}

/// Guards against requests that end endpoint after endpoint and never come again, and against a refusal
/// of more than their team's requests on their route.
#[rstest]
#[case::idempotent("/lookup/", "/issue/")]
#[case::at_most_once("/issue/", "/lookup/")]
fn group_refused(#[case] prefix: &str, #[case] other: &str) {
    let mut site = Site::configured();
    for content in 0..KNOWN_CRASHES {
        site.send_content(prefix, &[], NameHash(content));
        let call = site.call();
        site.advance(60);
        site.report(call.id, ended());
        site.calls();
        let started_at_ms = Some(content + 2);
        let listed = endpoints().into_iter().map(|it| Endpoint { started_at_ms, ..it });
        site.post(Event::EndpointsListed(Arc::new(Directory::new(listed))));
        site.advance(1_000);
    }
    let id = site.send_content(prefix, &[], NameHash(100));
    let (status, retry_after) = site.failure(id).expect("refused at once");
    assert_eq!((status, retry_after.is_some()), (503, true));
    let sound = site.send(other);
    assert_eq!(site.failure(sound), None);
}

/// Guards against repeats that end one more endpoint each: once three have ended apart under different
/// requests of a group, one that ends its endpoint is not sent again.
#[test]
fn repeat_withheld() {
    let mut site = Site::configured();
    let mut sends = Vec::new();
    for content in 0..4 {
        site.send_content("/lookup/", &[], NameHash(content));
        let calls = site.calls();
        site.advance(60);
        calls.iter().for_each(|it| site.report(it.id, ended()));
        sends.push(calls.len() + site.calls().len());
        let started_at_ms = Some(content + 2);
        let listed = endpoints().into_iter().map(|it| Endpoint { started_at_ms, ..it });
        site.post(Event::EndpointsListed(Arc::new(Directory::new(listed))));
        site.advance(200);
    }
    assert_eq!(sends, [2, 2, 1, 1]);
}
