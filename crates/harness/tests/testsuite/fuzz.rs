use rstest::rstest;
use siskinstile_core::fault::Fault;
use siskinstile_harness::fuzz::{self, Promise};

#[rstest]
#[case(1_000)]
#[case(20_000)]
fn fuzz_finds_nothing(#[case] seed: u64) {
    let report = fuzz::search(seed, 110_000, None);
    assert!(report.finding.is_none(), "{:?}", report.finding);
    assert!(report.steps >= 110_000);
}

#[rstest]
#[case(Fault::SkipClaim, Promise::RunOnce)]
#[case(Fault::RetrySent, Promise::RunOnce)]
#[case(Fault::SkipHolds, Promise::NoHold)]
#[case(Fault::AcceptOldAttempt, Promise::Whole)]
#[case(Fault::ReportNotRun, Promise::NotRun)]
#[case(Fault::NoDeadline, Promise::Answered)]
#[case(Fault::AbandonClaim, Promise::KeyFree)]
#[case(Fault::UseLeaving, Promise::Leaving)]
#[case(Fault::SkipDrainWait, Promise::NoCut)]
#[case(Fault::AnswerTwice, Promise::Once)]
fn fuzz_catches_injected(#[case] fault: Fault, #[case] promise: Promise) {
    let report = fuzz::search(1, 2_000_000, Some(fault));
    assert_eq!(report.finding.map(|it| it.violation.promise), Some(promise));
}

/// Each case once broke a promise.
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
fn fuzz_replays_mended(#[case] case: &str) {
    let case = serde_json::from_str(case).unwrap();
    assert_eq!(fuzz::run(&case, None).violations, []);
}
