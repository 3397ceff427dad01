//! What endpoints state about themselves: that they are leaving, and that they want no calls.

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{
    Directory, Effect, Event,
    call::{Notice, Outcome, StatedLimit, Step},
    directory::{Endpoint, Readiness},
};
use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::site::{Site, endpoints, failed};

const LEAVING: Notice = Notice {
    load: None,
    leaving: true,
    is_other: false,
    backoff: None,
    limit: StatedLimit::Unknown,
    cold_remaining: None,
};

fn backoff(ms: u64) -> Notice {
    Notice { backoff: Some(Duration::from_millis(ms)), ..Notice::default() }
}

/// Sends a plain request and reports the outcome of its call; returns the endpoint that got it.
fn lookup(site: &mut Site, outcome: Outcome, notice: Notice) -> Option<String> {
    site.send("/lookup/");
    let call = site.calls().into_iter().next()?;
    site.report_with(call.id, outcome, notice);
    site.calls();
    Some(call.endpoint.id.to_string())
}

const ANSWERED: Outcome = Outcome::Buffered { status: 200 };

fn list(site: &mut Site, endpoints: Vec<Endpoint>) {
    site.post(Event::EndpointsListed(Arc::new(Directory::new(endpoints))));
}

/// Returns the endpoints, `r1` with the given entry.
fn with_entry(readiness: Readiness, started_at_ms: u64, sequence: u64) -> Vec<Endpoint> {
    let mut all = endpoints();
    for endpoint in all.iter_mut().filter(|it| &*it.id == "r1") {
        endpoint.readiness = readiness;
        endpoint.started_at_ms = Some(started_at_ms);
        endpoint.sequence = Some(sequence);
    }
    all
}

/// Returns whether `r1`, the endpoint in the own data centre, still gets requests.
fn is_used(site: &mut Site) -> bool {
    lookup(site, ANSWERED, Notice::default()).as_deref() == Some("r1")
}

/// An endpoint that says in any answer that it is leaving gets no new requests, although the
/// platform's store, which may be unavailable, still lists it as ready.
#[rstest]
#[case::answer(ANSWERED)]
#[case::server_error(Outcome::Buffered { status: 500 })]
#[case::refusal(Outcome::Refused { status: 503 })]
#[case::broken(failed(true))]
fn leaving_announced(#[case] outcome: Outcome) {
    let mut site = Site::configured();
    assert_eq!(lookup(&mut site, outcome, LEAVING).as_deref(), Some("r1"));
    site.advance(5_000);
    assert!(!is_used(&mut site));
    list(&mut site, with_entry(Readiness::Ready, 1, 9));
    assert!(!is_used(&mut site), "an entry is no later statement than the endpoint's own");
    list(&mut site, with_entry(Readiness::Ready, 2, 1));
    assert!(is_used(&mut site), "it has started again");
}

/// A leaving engine gets no more reservations and prompts.
#[test]
fn leaving_engine() {
    let mut site = Site::configured();
    site.send("/review/");
    let hold = site.call();
    site.report_with(hold.id, Outcome::Held { hold: "h1".into() }, LEAVING);
    site.advance(100);
    site.calls();
    site.send("/review/");
    assert_ne!(site.call().endpoint.id, hold.endpoint.id);
}

/// Instances tell one another which endpoints are leaving.
#[test]
fn leaving_reported() {
    let mut teller = Site::configured();
    lookup(&mut teller, ANSWERED, LEAVING);
    teller.advance(300);
    let mut heartbeats = teller.effects.iter().filter_map(|it| match it {
        Effect::Heartbeat { heartbeat, .. } => Some(&**heartbeat),
        _ => None,
    });
    let told = heartbeats.next_back().expect("a heartbeat").clone();
    let mut site = Site::configured();
    site.post(Event::Heartbeat(Heartbeat { name: "two".into(), ..told.clone() }.into()));
    assert!(!is_used(&mut site));
    list(&mut site, with_entry(Readiness::Ready, 2, 1));
    let repeated = Heartbeat { name: "two".into(), number: told.number + 1, ..told };
    site.post(Event::Heartbeat(repeated.into()));
    assert!(is_used(&mut site), "the report concerns an earlier start");
}

/// A store that was restored from an older copy lists entries that had been replaced: an endpoint
/// known to leave stays so until it has written a later entry or has started again.
#[rstest]
#[case::older_entry(1, 4, false)]
#[case::same_entry(1, 5, false)]
#[case::later_entry(1, 6, true)]
#[case::restarted(2, 1, true)]
fn draining_listed(#[case] started_at_ms: u64, #[case] sequence: u64, #[case] used: bool) {
    let mut site = Site::configured();
    list(&mut site, with_entry(Readiness::Draining, 1, 5));
    list(&mut site, with_entry(Readiness::Ready, started_at_ms, sequence));
    assert_eq!(is_used(&mut site), used);
}

/// The same for an endpoint whose entry was removed.
#[rstest]
#[case::older_entry(4, false)]
#[case::later_entry(5, true)]
fn removed_listed(#[case] sequence: u64, #[case] used: bool) {
    let mut site = Site::configured();
    list(&mut site, endpoints().into_iter().filter(|it| &*it.id != "r1").collect());
    list(&mut site, with_entry(Readiness::Ready, 1, sequence));
    assert_eq!(is_used(&mut site), used);
}

/// An endpoint that refuses and asks for a pause gets nothing until the pause is over.
#[test]
fn backoff_plain() {
    let mut site = Site::configured();
    lookup(&mut site, Outcome::Refused { status: 503 }, backoff(3_000));
    for _ in 0..28 {
        site.advance(100);
        assert!(!is_used(&mut site));
    }
    site.advance(300);
    assert!(is_used(&mut site));
}

/// A shorter pause that is stated later does not end a longer one, and a list without the endpoint
/// does not either.
#[test]
fn backoff_kept() {
    let mut site = Site::configured();
    lookup(&mut site, Outcome::Refused { status: 503 }, backoff(3_000));
    list(&mut site, endpoints().into_iter().filter(|it| &*it.id != "r1").collect());
    list(&mut site, with_entry(Readiness::Ready, 2, 1));
    site.advance(2_500);
    assert!(!is_used(&mut site));
}

/// An absurd time is limited.
#[test]
fn backoff_absurd() {
    let mut site = Site::configured();
    let notice = Notice { backoff: Some(Duration::MAX), ..Notice::default() };
    lookup(&mut site, Outcome::Refused { status: 503 }, notice);
    site.advance(59_000);
    assert!(!is_used(&mut site));
    site.advance(2_000);
    assert!(is_used(&mut site));
}

/// If all endpoints want no calls, the caller is refused at once and told when the first one may be
/// called again.
#[test]
fn backoff_all() {
    let mut site = Site::configured();
    lookup(&mut site, Outcome::Refused { status: 503 }, backoff(3_000));
    lookup(&mut site, Outcome::Refused { status: 503 }, backoff(2_000));
    let id = site.send("/lookup/");
    assert!(site.calls().is_empty());
    assert_eq!(site.failure(id), Some((503, Some(Duration::from_millis(2_000)))));
}

/// A decode engine that asks for a pause while a prompt is computed for it does not get the run:
/// the request goes to another engine.
#[test]
fn backoff_reserved_engine() {
    let mut site = Site::configured();
    // With one prefill engine, the second request would leave the data centre rather than wait.
    let mut all = endpoints();
    all.iter_mut().filter(|it| &*it.id == "p2").for_each(|it| it.datacentre = "north".into());
    list(&mut site, all);
    site.send("/review/");
    let first = site.call();
    site.report(first.id, Outcome::Held { hold: "h1".into() });
    let prefill = site.call();
    site.send("/review/");
    let second = site.call();
    assert_eq!(second.endpoint.id, first.endpoint.id);
    site.report_with(second.id, Outcome::Refused { status: 503 }, backoff(3_000));
    site.calls();
    site.report(prefill.id, Outcome::Computed { handle: "kv1".into(), tokens: 5_000 });
    let calls = site.calls();
    assert!(calls.iter().all(|it| it.endpoint.id != first.endpoint.id), "{calls:?}");
    assert!(calls.iter().any(|it| matches!(it.step, Step::Hold { .. })), "{calls:?}");
}

/// Guards against a run that reaches an engine long after it began to leave, since the prompt took
/// that long: the request gets a slot at another engine, and the prompt is not computed again.
#[rstest]
#[case::soon(800, false)]
#[case::long_after(1_500, true)]
fn leaving_reserved_engine(#[case] prefill_ms: u64, #[case] moves: bool) {
    let mut site = Site::configured();
    learn_slow_prompts(&mut site);
    site.send("/review/");
    let hold = site.call();
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    let prefill = site.call();
    let leaving = |mut it: Endpoint| {
        if it.id == hold.endpoint.id {
            it.readiness = Readiness::Draining;
        }
        it
    };
    let listed = endpoints().into_iter().map(leaving);
    site.post(Event::EndpointsListed(Arc::new(Directory::new(listed))));
    site.advance(prefill_ms);
    site.calls();
    site.report(prefill.id, Outcome::Computed { handle: "kv1".into(), tokens: 5_000 });
    let mut calls = site.calls();
    if moves {
        let again = calls.iter().find(|it| matches!(it.step, Step::Hold { .. }));
        let again = again.expect("another reservation").clone();
        assert_ne!(again.endpoint.id, hold.endpoint.id);
        site.report(again.id, Outcome::Held { hold: "h2".into() });
        calls = site.calls();
    }
    let [run] = &calls[..] else { panic!("{calls:?}") };
    let Step::Run { source, .. } = &run.step else { panic!("{run:?}") };
    assert_eq!(run.endpoint.id != hold.endpoint.id, moves);
    assert_eq!(source.as_ref().map(|it| &*it.name), Some("kv1"));
}

/// Lets prompts take so long that a prefill has time.
fn learn_slow_prompts(site: &mut Site) {
    for _ in 0..20 {
        site.send("/review/");
        let hold = site.call();
        site.report(hold.id, Outcome::Held { hold: "h".into() });
        let prefill = site.call();
        site.advance(450);
        site.report(prefill.id, Outcome::Computed { handle: "kv".into(), tokens: 5_000 });
        let run = site.call();
        site.report(run.id, Outcome::Head { status: 200 });
        let pause = Duration::ZERO;
        site.report(run.id, Outcome::Completed { events: 12, pause, framed: true });
    }
}

/// If all decode engines want no calls for longer than a request can wait, it is refused at once.
#[test]
fn backoff_all_decode_engines() {
    let mut site = Site::configured();
    for _ in 0..2 {
        site.send("/review/");
        for hold in site.calls() {
            site.report_with(hold.id, Outcome::Refused { status: 503 }, backoff(20_000));
        }
    }
    site.calls();
    let id = site.send("/review/");
    let (status, retry_after) = site.failure(id).expect("refused at once");
    assert_eq!(status, 503);
    assert!(retry_after.is_some_and(|it| it >= Duration::from_secs(4)), "{retry_after:?}");
}

/// Guards against requests that are refused for as long as an old entry, or another writer's, stands at the address of
/// another endpoint: it gets a request each half minute, or once it has changed.
#[test]
fn other_at_address() {
    const REFUSED: Outcome = Outcome::Refused { status: 421 };
    let mut site = Site::configured();
    let notice = Notice { is_other: true, ..Notice::default() };
    assert_eq!(lookup(&mut site, REFUSED, notice).as_deref(), Some("r1"));
    site.advance(29_000);
    assert!(!is_used(&mut site));
    list(&mut site, with_entry(Readiness::Ready, 1, 9));
    assert!(!is_used(&mut site), "the entry tells the same address and start");
    site.advance(2_000);
    assert_eq!(lookup(&mut site, REFUSED, notice).as_deref(), Some("r1"));
    assert!(!is_used(&mut site));
    list(&mut site, with_entry(Readiness::Ready, 2, 1));
    assert!(is_used(&mut site), "it has started again");
}

/// Such an entry is used nevertheless if the service has no other endpoint.
#[test]
fn other_at_address_only() {
    let mut site = Site::configured();
    list(&mut site, endpoints().into_iter().filter(|it| &*it.id != "r2").collect());
    let notice = Notice { is_other: true, ..Notice::default() };
    lookup(&mut site, Outcome::Refused { status: 421 }, notice);
    assert!(is_used(&mut site));
}
