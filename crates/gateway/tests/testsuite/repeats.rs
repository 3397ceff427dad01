//! How often requests reach engines, against the bound on retries.

use std::{collections::HashMap, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{
    call::{Notice, Outcome, Step},
    effect::Call,
    request::Id,
};

use crate::site::{Site, failed};

/// Requests of a run, all within one window.
const REQUESTS: u32 = 100;
/// Time between two of them.
const INTERVAL_MS: u64 = 95;
/// Starts of an instance within one window.
const STARTS: u32 = 4;
/// Retries that the bound allows for them: a fifth of the requests, and 52.
const MAX_REPEATS: usize = 100 / 5 + 52;

/// Ends all prompts in the given way and, if `refuses_runs`, refuses all runs; returns the number of times that requests
/// reached engines beyond the first time of each.
fn repeats(prompt: &Outcome, refuses_runs: bool) -> usize {
    repeats_at(&mut Site::with_engines(40), REQUESTS, prompt, refuses_runs)
}

/// The same for a number of requests at one instance.
fn repeats_at(site: &mut Site, requests: u32, prompt: &Outcome, refuses_runs: bool) -> usize {
    let mut arrivals: HashMap<Id, usize> = HashMap::new();
    for _ in 0..requests {
        site.send("/review/");
        site.advance(INTERVAL_MS);
        for _ in 0..20 {
            for call in site.calls() {
                let refused = Outcome::Refused { status: 503 };
                let outcome = match call.step {
                    Step::Hold { .. } => Outcome::Held { hold: "h".into() },
                    Step::Prefill => prompt.clone(),
                    Step::Run { .. } if refuses_runs => refused,
                    _ => Outcome::Completed { events: 2, pause: Default::default(), framed: true },
                };
                if let (Step::Prefill | Step::Run { .. }, Some(request)) =
                    (&call.step, call.request)
                {
                    *arrivals.entry(request).or_default() += 1;
                }
                site.report(call.id, outcome);
            }
        }
    }
    let reached = arrivals.len();
    assert!(reached * 5 > requests as usize * 4, "{reached} requests reached an engine");
    arrivals.values().map(|it| it - 1).sum()
}

/// Guards against repeats that the budget does not count: a prompt that an engine refuses, or breaks off,
/// has reached it, so that the run is one time more, with or without another try to have the prompt
/// computed.
#[rstest]
#[case::prompts(Outcome::Refused { status: 503 }, false)]
#[case::prompts_and_runs(Outcome::Refused { status: 503 }, true)]
#[case::prompts_broken(failed(true), false)]
fn repeats_after_refusals(#[case] prompt: Outcome, #[case] refuses_runs: bool) {
    let repeats = repeats(&prompt, refuses_runs);
    assert!(repeats <= MAX_REPEATS, "{repeats} repeats of {REQUESTS} requests");
}

/// Guards against repeats beyond the bound while instances are killed and start again: each start began
/// with a whole part of the retries, which the one before had spent within the same window.
#[test]
fn repeats_after_restarts() {
    let refused = Outcome::Refused { status: 503 };
    let per_start = REQUESTS / STARTS;
    let starts = (0..STARTS).map(|number| {
        let mut site = Site::restarted(40, number.into());
        repeats_at(&mut site, per_start, &refused, true)
    });
    let repeats: usize = starts.sum();
    assert!(repeats <= MAX_REPEATS, "{repeats} repeats of {REQUESTS} requests");
}

/// Lets engines refuse prompts until a refused one is not tried again, as no retry is left.
fn spend_retries(site: &mut Site) {
    for _ in 0..20 {
        let id = site.send("/review/");
        for _ in 0..30 {
            for call in site.calls() {
                let outcome = match call.step {
                    Step::Hold { .. } => Outcome::Held { hold: "h".into() },
                    _ => Outcome::Refused { status: 503 },
                };
                site.report(call.id, outcome);
                if call.step == Step::Prefill && site.failure(id).is_some() {
                    return;
                }
            }
        }
        site.advance(400);
    }
    panic!("there are retries left");
}

/// Guards against prompts that are computed again although no retry is left: a prompt has been
/// computed, its reserved engine wants no calls, and when there is another slot the prompt is not kept
/// any more. The engine of that slot then computes it itself.
#[rstest]
#[case::retries_left(false)]
#[case::none_left(true)]
fn prompt_computed_again(#[case] is_spent: bool) {
    let mut site = Site::with_engines(40);
    if is_spent {
        spend_retries(&mut site);
        site.advance(2_000);
        site.calls();
    }
    site.send("/review/");
    let hold = site.call();
    let notice = Notice { backoff: Some(Duration::from_secs(9)), ..Notice::default() };
    site.report_with(hold.id, Outcome::Held { hold: "h1".into() }, notice);
    let prefill = site.call();
    site.report(prefill.id, Outcome::Computed { handle: "kv1".into(), tokens: 5_000 });
    let is_hold = |it: &Call| matches!(it.step, Step::Hold { .. });
    let second = site.calls().into_iter().find(is_hold).expect("another reservation");
    site.advance(300);
    site.report(second.id, Outcome::Refused { status: 503 });
    let third = site.calls().into_iter().find(is_hold).expect("a third one");
    site.advance(300);
    site.report(third.id, Outcome::Held { hold: "h3".into() });
    let next = site.calls().into_iter().find(|it| it.request == prefill.request);
    let step = next.expect("a call").step;
    assert_eq!(step == Step::Prefill, !is_spent, "{step:?}");
}
