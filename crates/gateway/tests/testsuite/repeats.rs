//! How often requests reach engines, against the bound on retries.

use std::collections::HashMap;

use rstest::rstest;
use siskinstile_gateway::{
    call::{Outcome, Step},
    request::Id,
};

use crate::site::Site;

/// Requests of a run, all within one window.
const REQUESTS: u32 = 100;
/// Time between two of them.
const INTERVAL_MS: u64 = 95;
/// Retries that the bound allows for them: a fifth of the requests, and 52.
const MAX_REPEATS: usize = 100 / 5 + 52;

/// Refuses all prompts and, if `refuses_runs`, all runs; returns the number of times that requests
/// reached engines beyond the first time of each.
fn repeats(refuses_runs: bool) -> usize {
    let mut site = Site::with_engines(40);
    let mut arrivals: HashMap<Id, usize> = HashMap::new();
    for _ in 0..REQUESTS {
        site.send("/review/");
        site.advance(INTERVAL_MS);
        for _ in 0..20 {
            for call in site.calls() {
                let refused = Outcome::Refused { status: 503 };
                let outcome = match call.step {
                    Step::Hold { .. } => Outcome::Held { hold: "h".into() },
                    Step::Prefill => refused,
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
    assert!(arrivals.len() > 80, "{} requests reached an engine", arrivals.len());
    arrivals.values().map(|it| it - 1).sum()
}

/// Guards against repeats that the budget does not count: a prompt that an engine refuses has reached
/// it, so that the run is one time more, with or without another try to have the prompt computed.
#[rstest]
#[case::prompts(false)]
#[case::prompts_and_runs(true)]
fn repeats_after_refusals(#[case] refuses_runs: bool) {
    let repeats = repeats(refuses_runs);
    assert!(repeats <= MAX_REPEATS, "{repeats} repeats of {REQUESTS} requests");
}
