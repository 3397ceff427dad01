//! Processing of a generation by prefill and decode engines.

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{
    Catalog, Effect, Event, Instant, Name,
    call::{Handle, Outcome, Start, Step},
    catalog::Split,
    effect::Call,
    health::{Signal, Tracker},
};

use crate::site::{Site, draft, failed};

#[test]
fn run_slot_before_prompt() {
    let mut site = Site::configured();
    site.send("/review/");
    let run = site.run_generation();
    assert_eq!(&*run.endpoint.id, "d1");
    let Step::Run { hold, source, start } = run.step else { panic!("{run:?}") };
    assert_eq!(hold.as_deref(), Some("h1"));
    assert!(matches!(source, Some(Handle { name, .. }) if &*name == "kv1"));
    assert_eq!(start, Start::New);
}

/// Guards against a text that is joined from two runs: after events of a plain service's stream have reached the
/// caller, the next run is told where to go on, at the same version; without an identifier there is none.
#[rstest]
#[case::identified(Some("10"), true)]
#[case::unidentified(None, false)]
fn plain_stream_broken(#[case] last_event: Option<&str>, #[case] goes_on: bool) {
    let mut site = Site::configured();
    let mut plain = draft(2);
    for route in &mut plain.routes {
        route.splits = vec![Split { service: "registry".into(), weight: 1 }];
    }
    let plain = Catalog::check(plain).expect("the draft is sound");
    site.post(Event::Configured(Arc::new(plain)));
    let id = site.send("/review-again/");
    let first = site.call();
    let start = |call: &Call| match &call.step {
        Step::Run { start, .. } => start.clone(),
        step => panic!("{step:?}"),
    };
    assert_eq!(start(&first), Start::New);
    site.report(first.id, Outcome::Head { status: 200 });
    site.report(first.id, Outcome::FirstEvent);
    let (sent, unresponsive, ended, closed, cause) = (true, false, false, false, "test");
    let last_event = last_event.map(Name::from);
    let broken = Outcome::Failed {
        sent,
        unresponsive,
        ended,
        closed,
        cause,
        last_event: last_event.clone(),
    };
    site.report(first.id, broken);
    let starts: Vec<Start> = match goes_on {
        true => vec![start(&site.tell_start())],
        false => site.calls().iter().map(start).collect(),
    };
    let expected: Vec<Start> = last_event.into_iter().map(Start::After).collect();
    assert_eq!((starts, site.failure(id).is_none()), (expected, goes_on));
}

/// If the response to a prefill is lost, the decode engine computes the prompt, since no run has
/// been sent yet.
#[rstest]
#[case::lost(failed(true))]
#[case::unreachable(failed(false))]
fn prefill_failed(#[case] outcome: Outcome) {
    let mut site = Site::configured();
    site.send("/review/");
    let hold = site.call();
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    let prefill = site.call();
    site.report(prefill.id, outcome);
    let run = site.call();
    assert!(matches!(run.step, Step::Run { source: None, .. }), "{run:?}");
}

/// A prefill engine that refuses a prompt is ejected for a while, and another one is tried.
#[test]
fn prefill_refused() {
    let mut site = Site::configured();
    site.send("/review/");
    let hold = site.call();
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    let first = site.call();
    site.report(first.id, Outcome::Refused { status: 503 });
    let second = site.call();
    assert_eq!(second.step, Step::Prefill);
    assert_ne!(first.endpoint.id, second.endpoint.id);
}

/// A refused run is sent once more to the same engine, which then computes the prompt.
#[test]
fn run_refused() {
    let mut site = Site::configured();
    let id = site.send("/review/");
    let run = site.run_generation();
    site.report(run.id, Outcome::Refused { status: 503 });
    let again = site.call();
    assert_eq!(again.endpoint.id, run.endpoint.id);
    assert!(matches!(again.step, Step::Run { source: None, .. }), "{again:?}");
    site.report(again.id, Outcome::Refused { status: 503 });
    assert_eq!(site.failure(id).map(|it| it.0), Some(503));
}

/// Only a resumable stream continues at another engine, after the last relayed event.
#[rstest]
#[case::at_most_once("/review/", false)]
#[case::resumable("/review-again/", true)]
fn stream_cut(#[case] prefix: &str, #[case] resumes: bool) {
    let mut site = Site::configured();
    let id = site.send(prefix);
    let run = site.run_generation();
    site.report(run.id, Outcome::Head { status: 200 });
    site.report(run.id, Outcome::FirstEvent);
    site.calls();
    site.report(
        run.id,
        Outcome::Failed {
            sent: true,
            unresponsive: false,
            ended: false,
            closed: false,
            last_event: Some("7".into()),
            cause: "test",
        },
    );
    assert_eq!(site.failure(id).is_none(), resumes);
    if resumes {
        let hold = site.call();
        site.report(hold.id, Outcome::Held { hold: "h2".into() });
        // Another prefill would exceed the route's attempts.
        let again = site.tell_start();
        assert_ne!(again.endpoint.id, run.endpoint.id);
        assert!(matches!(again.step, Step::Run { start: Start::After(id), .. } if &*id == "7"));
    }
}

/// When the caller disconnects, its prefill is cancelled and its reservation released.
#[test]
fn disconnected_releases_all() {
    let mut site = Site::configured();
    let id = site.send("/review/");
    let hold = site.call();
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    let prefill = site.call();
    site.post(Event::Disconnected(id));
    assert!(site.effects.contains(&Effect::Cancel(prefill.id)));
    let release = site.call();
    assert_eq!(release.step, Step::Release { hold: "h1".into() });
    assert_eq!(site.state.open_requests(), 0);
}

/// A slot that is reserved after the caller has disconnected is released, since no request is left
/// to do so.
#[test]
fn disconnected_while_holding() {
    let mut site = Site::configured();
    let id = site.send("/review/");
    let hold = site.call();
    site.post(Event::Disconnected(id));
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    assert_eq!(site.call().step, Step::Release { hold: "h1".into() });
}

/// An engine that does not respond to a reservation is ejected, and the request is placed at
/// another one.
#[test]
fn hold_unresponsive() {
    let mut site = Site::configured();
    site.send("/review/");
    let first = site.call();
    site.advance(450);
    let second = site.calls().into_iter().find(|it| matches!(it.step, Step::Hold { .. }));
    let second = second.expect("another engine is tried");
    assert_ne!(first.endpoint.id, second.endpoint.id);
}

/// Guards against an endpoint that counts as silent since the instance itself has not run: what has arrived meanwhile
/// is read before a call is judged, and one without an answer fails a little later.
#[rstest]
#[case::answered(true)]
#[case::silent(false)]
fn hold_after_own_pause(#[case] is_answered: bool) {
    let mut site = Site::configured();
    let id = site.send("/review/");
    let hold = site.call();
    site.now = site.now + Duration::from_millis(1_500);
    site.post(Event::Tick);
    assert!(!site.effects.contains(&Effect::Cancel(hold.id)), "the answer may have arrived");
    if is_answered {
        site.report(hold.id, Outcome::Held { hold: "h1".into() });
        assert_eq!(site.call().step, Step::Prefill);
    } else {
        site.advance(150);
        assert!(site.effects.contains(&Effect::Cancel(hold.id)));
        assert!(site.calls().iter().any(|it| it.endpoint.id != hold.endpoint.id));
    }
    assert_eq!(site.failure(id), None);
}

/// Guards against endpoints that are left out for seconds after one short silence, since each of the calls that were
/// open at once counted as another one; a silence after the ejection counts.
#[test]
fn silent_at_once() {
    let (mut health, endpoint) = (Tracker::default(), Name::from("d1"));
    let at = |ms| Instant::default() + Duration::from_millis(ms);
    for ms in [1_000, 1_000, 1_000, 1_100] {
        health.record(at(ms), &endpoint, Signal::Unresponsive);
    }
    assert!(health.is_ejected(at(1_450), &endpoint));
    assert!(!health.is_ejected(at(1_550), &endpoint));
    health.record(at(2_000), &endpoint, Signal::Unresponsive);
    assert!(health.is_ejected(at(2_750), &endpoint));
}

/// With more requests than slots, those that fit are placed, the next ones wait, and the remainder
/// is refused at once with a retry-after time.
#[test]
fn burst_over_slots() {
    let mut site = Site::configured();
    let ids: Vec<_> = (0..24).map(|_| site.send("/review-again/")).collect();
    let holds = site.calls().len();
    assert_eq!(holds, 8, "two engines with room for four each");
    let refused: Vec<Duration> =
        ids.iter().filter_map(|id| site.failure(*id)).filter_map(|it| it.1).collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|it| *it >= Duration::from_millis(200)), "{refused:?}");
    let waiting = ids.len() - holds - refused.len();
    assert!((1..=4).contains(&waiting), "{waiting}");
}

/// An engine with more load than has been reported to the instance refuses reservations: it is
/// tried less and less often, and the request waits for a slot instead of being refused.
#[test]
fn hold_refused_often() {
    let mut site = Site::configured();
    let id = site.send("/review/");
    let mut attempts = 0;
    for _ in 0..50 {
        for call in site.calls() {
            if matches!(call.step, Step::Hold { .. }) {
                attempts += 1;
                site.report(call.id, Outcome::Refused { status: 503 });
            }
        }
        site.advance(10);
    }
    assert!((4..=10).contains(&attempts), "{attempts}");
    assert_eq!(site.failure(id), None);
}

/// A stream whose events come slowly goes on until the request's deadline; one that stalls after its
/// first event ends then, whatever bytes still come.
#[rstest]
#[case::at_most_once("/review/")]
#[case::resumable("/review-again/")]
fn stream_slow(#[case] prefix: &str) {
    let mut site = Site::configured();
    let id = site.send(prefix);
    let run = site.run_generation();
    site.report(run.id, Outcome::Head { status: 200 });
    site.report(run.id, Outcome::FirstEvent);
    site.calls();
    site.advance(13_500);
    assert!(site.failure(id).is_none(), "the caller waits for 14 s");
    assert!(!site.effects.contains(&Effect::Cancel(run.id)));
    site.advance(1_000);
    assert_eq!(site.failure(id).map(|it| it.0), Some(504));
    assert!(site.effects.contains(&Effect::Cancel(run.id)));
}

/// An instance that was paused for longer than a request could take answers it, and sends nothing
/// for it.
#[test]
fn paused_past_deadline() {
    let mut site = Site::configured();
    let id = site.send("/review/");
    let hold = site.call();
    site.now = site.now + Duration::from_secs(20);
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    let steps: Vec<Step> = site.calls().into_iter().map(|it| it.step).collect();
    assert!(site.failure(id).is_some());
    assert!(!steps.iter().any(|it| matches!(it, Step::Run { .. })), "{steps:?}");
}
