//! Parts of prompts that crash the engines.

use std::time::Duration;

use rstest::rstest;
use siskinstile_gateway::{
    Effect, Name,
    call::{Outcome, Step},
    effect::Call,
    request::Id,
};

use crate::{
    simulation::Fleet,
    site::{Site, failed},
};

/// Crashes after which a part has to be known.
const KNOWN_CRASHES: u64 = 5;

/// Guards against an instance that sends a part of prompts to engine after engine, each of which
/// crashes: after five crashes it is refused, and requests that share the other parts are not.
#[rstest]
#[case::engines("/review/", &["kind", "bad"])]
#[case::first_part("/review/", &["bad"])]
#[case::resumable("/review-again/", &["kind", "bad", "topic"])]
fn part_crashes(#[case] prefix: &str, #[case] parts: &[&str]) {
    let mut site = Site::with_engines(24);
    for _ in 0..KNOWN_CRASHES {
        complete(&mut site, prefix, &["kind", "topic"]);
        let id = site.send_prompt(prefix, parts);
        if site.failure(id).is_some() {
            break;
        }
        crash(&mut site);
        complete(&mut site, prefix, &["kind", "topic"]);
        site.advance(1_000);
    }
    let id = site.send_prompt(prefix, &["other", "bad"]);
    let (status, retry_after) = site.failure(id).expect("refused at once");
    assert_eq!((status, retry_after.is_some()), (503, true));
    complete(&mut site, prefix, &["kind", "topic"]);
}

/// Guards against knowledge that stays with the instance that saw a crash: each sees one, and soon
/// all of them know the part, those that start later too.
#[rstest]
#[case::small(6, 2_500)]
#[case::relayed(120, 4_500)]
fn part_known_to_fleet(#[case] size: usize, #[case] within_ms: u64) {
    let mut fleet = Fleet::start(size);
    fleet.advance(3_000);
    let names: Vec<Name> = fleet.datacentres.keys().cloned().collect();
    for number in 0..KNOWN_CRASHES {
        let name = &names[number as usize * size / 6];
        let sound = fleet.run(name, 100 + number, &["kind"]).expect("sound");
        fleet.end_run(name, &sound, completed());
        if let Some(run) = fleet.run(name, number, &["kind", "bad"]) {
            fleet.end_run(name, &run, failed(true));
        }
        fleet.restart_engines();
        fleet.advance(400);
    }
    fleet.advance(within_ms);
    let late = names[size - 1].clone();
    fleet.kill(&late);
    fleet.start_instance(&late, 2);
    fleet.advance(within_ms);
    for (name, number) in names.iter().zip(1_000..) {
        assert!(fleet.run(name, number, &["bad"]).is_none(), "{name} sends the part");
        assert_eq!(fleet.failures.get(&Id(number)), Some(&503));
        assert!(fleet.run(name, 10_000 + number, &["kind"]).is_some(), "{name} refuses others");
    }
}

/// Requests with a quarantined part that wait or are being prepared are refused as not run, and
/// what has been prepared for them is released; one that failed is not sent again.
#[test]
fn part_quarantined_while_preparing() {
    let mut site = Site::with_engines(24);
    let parts = &["kind", "bad"];
    let prefilling = site.send_prompt("/review/", parts);
    let hold = site.call();
    site.report(hold.id, Outcome::Held { hold: "h1".into() });
    let prefill = site.call();
    for _ in 0..3 {
        complete(&mut site, "/review/", &["kind", "topic"]);
        site.send_prompt("/review-again/", parts);
        crash(&mut site);
        complete(&mut site, "/review/", &["kind", "topic"]);
        site.advance(120);
    }
    site.advance(500);
    assert_eq!(site.failure(prefilling).map(|it| it.0), Some(503));
    assert!(site.effects.contains(&Effect::Cancel(prefill.id)));
    site.calls();
    site.advance(3_000);
    let steps: Vec<Step> = site.calls().into_iter().map(|it| it.step).collect();
    assert!(!steps.iter().any(|it| matches!(it, Step::Run { .. } | Step::Prefill)), "{steps:?}");
}

/// Guards against a crash that looks like an answer: a stream that ends with its connection soon
/// after it has begun does not clear its parts.
#[test]
fn unframed_end_clears_nothing() {
    let mut site = Site::with_engines(24);
    for _ in 0..KNOWN_CRASHES {
        complete(&mut site, "/review/", &["kind", "topic"]);
        let id = site.send_prompt("/review/", &["kind", "bad"]);
        if site.failure(id).is_some() {
            return;
        }
        crash(&mut site);
        site.send_prompt("/review/", &["kind", "bad"]);
        let run = begin(&mut site);
        site.report(run.id, Outcome::Completed { events: 1, pause: Duration::ZERO, framed: false });
        site.advance(1_000);
    }
    panic!("the part is not quarantined");
}

/// Guards against wrong suspicion: an answer that went on for a second before it broke was not
/// broken off by its prompt.
#[test]
fn late_break_clears() {
    let mut site = Site::with_engines(24);
    for _ in 0..8 {
        complete(&mut site, "/review/", &["kind", "topic"]);
        let id = site.send_prompt("/review/", &["kind", "long"]);
        assert_eq!(site.failure(id), None);
        let run = begin(&mut site);
        site.report(run.id, Outcome::FirstEvent);
        site.advance(1_100);
        site.report(run.id, failed(true));
        site.calls();
        site.advance(400);
    }
}

/// Guards against wrong suspicion: connections that break before an answer has begun, as those of
/// endpoints that reset them, do not tell against the prompt, which is sent again meanwhile.
#[test]
fn break_before_answer() {
    let mut site = Site::with_engines(24);
    for _ in 0..8 {
        complete(&mut site, "/review/", &["kind", "topic"]);
        let id = site.send_prompt("/review/", &["kind", "rare"]);
        assert_eq!(site.failure(id), None);
        let run = site.run_generation();
        site.report(run.id, failed(true));
        site.calls();
        site.advance(400);
    }
}

fn completed() -> Outcome {
    Outcome::Completed { events: 12, pause: Duration::ZERO, framed: true }
}

fn complete(site: &mut Site, prefix: &str, parts: &[&str]) {
    site.calls();
    site.send_prompt(prefix, parts);
    let run = begin(site);
    site.report(run.id, completed());
    site.calls();
}

/// Lets the engine crash that begins to answer the request that was sent last.
fn crash(site: &mut Site) {
    let run = begin(site);
    site.report(run.id, failed(true));
}

/// Takes the request that was sent last to the beginning of its answer.
fn begin(site: &mut Site) -> Call {
    let run = site.run_generation();
    site.report(run.id, Outcome::Head { status: 200 });
    run
}
