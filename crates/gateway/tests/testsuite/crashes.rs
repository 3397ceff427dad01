//! Parts of prompts that crash the engines.

use rstest::rstest;
use siskinstile_gateway::{Name, call::Outcome, effect::Call, request::Id};

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

fn completed() -> Outcome {
    Outcome::Completed { events: 12, pause: std::time::Duration::ZERO, framed: true }
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
