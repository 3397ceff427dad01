use std::sync::Arc;

use rstest::rstest;
use siskinstile_core::{
    claim::{self, Outcome, Runner, Verdict},
    error::{Kind, Ran},
    request::{Arrival, Id, Response, Target},
};

fn arrival(digest: u64) -> Arrival {
    Arrival {
        id: Id(2),
        key: None,
        target: Target::Model("m".into()),
        idempotency_key: Some("k".into()),
        digest,
        prompt_tokens: 1,
        max_tokens: 1,
        prefixes: Arc::new([]),
    }
}

fn evaluate(digest: u64, outcome: Option<Outcome>, is_running: bool) -> Verdict {
    let runner = Runner { instance: "a".into(), incarnation: 1 };
    claim::evaluate(&arrival(digest), &claim::value(Id(1), 7, &runner, outcome), |_| is_running)
}

#[rstest]
#[case(8, Some(Outcome::Unknown), true, Kind::KeyReused, Ran::No)]
#[case(8, None, true, Kind::KeyReused, Ran::No)]
#[case(7, None, true, Kind::InProgress, Ran::Unknown)]
#[case(7, None, false, Kind::OutcomeUnknown, Ran::Unknown)]
#[case(7, Some(Outcome::Unknown), false, Kind::OutcomeUnknown, Ran::Unknown)]
fn evaluate_fails(
    #[case] digest: u64,
    #[case] outcome: Option<Outcome>,
    #[case] is_running: bool,
    #[case] kind: Kind,
    #[case] ran: Ran,
) {
    let Verdict::Fail(failure) = evaluate(digest, outcome, is_running) else {
        panic!("not a failure")
    };
    assert_eq!((failure.kind, failure.ran), (kind, ran));
}

#[test]
fn evaluate_answered() {
    let response =
        Response { status: 201, content_type: "text/plain".into(), body: "licence 9".into() };
    let verdict = evaluate(7, Some(Outcome::Answered(response.clone().into())), false);
    assert_eq!(verdict, Verdict::Replay(response.into()));
}

#[test]
fn evaluate_not_run() {
    assert_eq!(evaluate(7, Some(Outcome::NotRun), false), Verdict::TakeOver);
}

#[test]
fn evaluate_own() {
    let runner = Runner { instance: "a".into(), incarnation: 1 };
    let value = claim::value(Id(2), 7, &runner, None);
    assert_eq!(claim::evaluate(&arrival(7), &value, |_| true), Verdict::Own);
}
