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
#[case(Fault::ForgetHold, Promise::NoHold)]
#[case(Fault::OldAttempt, Promise::Whole)]
#[case(Fault::ClaimNotRun, Promise::NotRun)]
#[case(Fault::NoDeadline, Promise::Answered)]
#[case(Fault::LeaveClaim, Promise::KeyFree)]
#[case(Fault::UseLeaving, Promise::Leaving)]
#[case(Fault::CutDrain, Promise::NoCut)]
#[case(Fault::AnswerTwice, Promise::Once)]
fn fuzz_catches_planted(#[case] fault: Fault, #[case] promise: Promise) {
    let report = fuzz::search(1, 2_000_000, Some(fault));
    assert_eq!(report.finding.map(|it| it.violation.promise), Some(promise));
}
