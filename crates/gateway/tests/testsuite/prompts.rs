//! Prompts that take longer than expected.
//!
//! Guards against work that is done twice when there is least room for it: in a burst a prefill engine
//! gets prompts from several instances, each of which takes a multiple of its usual time. They were
//! given up, and the decode engines computed them once more.

use std::time::Duration;

use rstest::rstest;
use siskinstile_gateway::{
    call::{Outcome, Step},
    directory::Stage,
    effect::Call,
};

use crate::site::{Site, failed};

/// Longest time after which a prompt of the test is overdue.
const MAX_OVERDUE: Duration = Duration::from_millis(1_200);
/// Longest time that the engines of the test keep a reservation.
const HOLD_LIMIT: Duration = Duration::from_secs(2);

/// Sends a request and advances time until its prompt is overdue; returns the call for the prompt and
/// that for the engine's report.
fn overdue_prompt(site: &mut Site) -> (Call, Call) {
    site.send("/review/");
    let hold = site.call();
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    let prefill = site.call();
    assert_eq!(prefill.step, Step::Prefill);
    let started = site.now;
    loop {
        site.advance(10);
        assert!(site.now.since(started) < MAX_OVERDUE, "the prompt is not checked");
        if let Some(check) = site.calls().into_iter().next() {
            assert_eq!((&check.step, &check.endpoint.id), (&Step::Inspect, &prefill.endpoint.id));
            return (prefill, check);
        }
    }
}

fn report(requests: u32) -> Outcome {
    Outcome::Inspected { stage: Stage::Prefill, orders: 0, busy: false, requests }
}

/// An engine that is at work is not abandoned, and its prompt is used.
#[test]
fn overdue_engine_alive() {
    let mut site = Site::configured();
    let (prefill, check) = overdue_prompt(&mut site);
    site.report(check.id, report(4));
    site.advance(200);
    assert!(site.calls().is_empty());
    site.report(prefill.id, Outcome::Computed { handle: "kv1".into(), tokens: 1_000 });
    let run = site.call();
    assert!(matches!(run.step, Step::Run { source: Some(_), .. }), "{run:?}");
}

/// A prompt does not wait for an engine that has ended or does not answer.
#[rstest]
#[case::ended(Some(failed(false)))]
#[case::silent(None)]
fn overdue_engine_dead(#[case] outcome: Option<Outcome>) {
    let mut site = Site::configured();
    let (_, check) = overdue_prompt(&mut site);
    match outcome {
        Some(outcome) => site.report(check.id, outcome),
        None => site.advance(300),
    }
    let run = site.call();
    assert!(matches!(run.step, Step::Run { source: None, .. }), "{run:?}");
}

/// An engine that is alive but has lost the prompt shows no work in two reports.
#[test]
fn overdue_prompt_lost() {
    let mut site = Site::configured();
    let (_, first) = overdue_prompt(&mut site);
    site.report(first.id, report(0));
    assert!(site.calls().is_empty());
    site.advance(500);
    let second = site.call();
    assert_eq!(second.step, Step::Inspect);
    site.report(second.id, report(0));
    let run = site.call();
    assert!(matches!(run.step, Step::Run { source: None, .. }), "{run:?}");
}

/// The run is sent while its reservation still holds, however long the prompt takes.
#[test]
fn overdue_reservation_ends() {
    let mut site = Site::configured();
    let reserved_at = site.now;
    let (_, check) = overdue_prompt(&mut site);
    site.report(check.id, report(9));
    let run = loop {
        match site.calls().into_iter().next() {
            Some(check) if check.step == Step::Inspect => site.report(check.id, report(9)),
            Some(run) => break run,
            None => site.advance(10),
        }
        assert!(site.now.since(reserved_at) < HOLD_LIMIT, "no run");
    };
    assert!(matches!(run.step, Step::Run { hold: Some(_), source: None, .. }), "{run:?}");
}
