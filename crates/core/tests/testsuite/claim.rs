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

fn judge(digest: u64, outcome: Option<Outcome>, runs: bool) -> Verdict {
    let runner = Runner { instance: "a".into(), incarnation: 1 };
    claim::judge(&arrival(digest), &claim::value(Id(1), 7, &runner, outcome), |_| runs)
}

#[rstest]
#[case(8, Some(Outcome::Unknown), true, Kind::KeyReused, Ran::No)]
#[case(8, None, true, Kind::KeyReused, Ran::No)]
#[case(7, None, true, Kind::InProgress, Ran::Unknown)]
#[case(7, None, false, Kind::OutcomeUnknown, Ran::Unknown)]
#[case(7, Some(Outcome::Unknown), false, Kind::OutcomeUnknown, Ran::Unknown)]
fn judge_fails(
    #[case] digest: u64,
    #[case] outcome: Option<Outcome>,
    #[case] runs: bool,
    #[case] kind: Kind,
    #[case] ran: Ran,
) {
    let Verdict::Fail(failure) = judge(digest, outcome, runs) else { panic!("not a failure") };
    assert_eq!((failure.kind, failure.ran), (kind, ran));
}

#[test]
fn judge_answered() {
    let copy =
        Response { status: 201, content_type: "text/plain".into(), body: "licence 9".into() };
    let verdict = judge(7, Some(Outcome::Answered(copy.clone().into())), false);
    assert_eq!(verdict, Verdict::Replay(copy.into()));
}

#[test]
fn judge_not_run() {
    assert_eq!(judge(7, Some(Outcome::NotRun), false), Verdict::Free);
}

#[test]
fn judge_own() {
    let runner = Runner { instance: "a".into(), incarnation: 1 };
    let value = claim::value(Id(2), 7, &runner, None);
    assert_eq!(claim::judge(&arrival(7), &value, |_| true), Verdict::Own);
}
