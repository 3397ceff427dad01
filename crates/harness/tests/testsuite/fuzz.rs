use rstest::rstest;
use siskinstile_core::fault::Fault;
use siskinstile_harness::fuzz::{self, Invariant};

#[rstest]
#[case(1_000)]
#[case(20_000)]
fn search_finds_nothing(#[case] seed: u64) {
    let report = fuzz::search(seed, 110_000, None);
    assert!(report.finding.is_none(), "{:?}", report.finding);
    assert!(report.steps >= 110_000);
}

#[rstest]
#[case(Fault::SkipClaim, Invariant::RunOnce)]
#[case(Fault::RetrySent, Invariant::RunOnce)]
#[case(Fault::SkipHolds, Invariant::NoHold)]
#[case(Fault::AcceptOldAttempt, Invariant::Whole)]
#[case(Fault::ReportNotRun, Invariant::NotRun)]
#[case(Fault::NoDeadline, Invariant::Answered)]
#[case(Fault::AbandonClaim, Invariant::KeyFree)]
#[case(Fault::UseLeaving, Invariant::Leaving)]
#[case(Fault::SkipDrainWait, Invariant::NoCut)]
#[case(Fault::AnswerTwice, Invariant::Once)]
fn search_catches_injected(#[case] fault: Fault, #[case] invariant: Invariant) {
    let report = fuzz::search(1, 2_000_000, Some(fault));
    assert_eq!(report.finding.map(|it| it.violation.invariant), Some(invariant));
}

/// Each case violated an invariant before the fault behind it was fixed; its file name describes
/// the situation.
#[rstest]
#[case(include_str!("cases/call-without-report.json"))]
#[case(include_str!("cases/claim-dead-runner.json"))]
#[case(include_str!("cases/claim-lost-write.json"))]
#[case(include_str!("cases/drain-paused.json"))]
#[case(include_str!("cases/drain-short-pause.json"))]
#[case(include_str!("cases/hold-leaving-peers.json"))]
#[case(include_str!("cases/hold-new-instance.json"))]
#[case(include_str!("cases/hold-paused-owner.json"))]
#[case(include_str!("cases/hold-restarted-owner.json"))]
fn replay_fixed_cases(#[case] case: &str) {
    let case = serde_json::from_str(case).unwrap();
    assert_eq!(fuzz::run(&case, None).violations, []);
}
