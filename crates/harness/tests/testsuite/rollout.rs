use std::path::Path;

use rstest::rstest;
use siskinstile_core::{fault::Fault, object::Set};
use siskinstile_harness::rollout::{
    self, INSTANCES, Rollout,
    action::{Action, Edit},
    instance,
    oracle::Violation,
};

/// Number of sequences of actions per test.
const RUNS: u64 = 24;

fn association() -> Set {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/association");
    siskinctl::files::load(&dir).unwrap().0
}

/// Runs the sequences of fixed seeds and returns the first violation with its seed.
fn first_violation(fault: Option<Fault>) -> Option<(u64, Violation)> {
    rollout::fuzz(&association(), 0..RUNS, fault)
}

#[test]
fn rollout_keeps_invariants() {
    assert_eq!(first_violation(None), None);
}

#[rstest]
#[case::revert(Fault::AdoptOlder, |it: &Violation| matches!(it, Violation::Reverted(_)))]
#[case::partial(Fault::AdoptPartial, |it: &Violation| matches!(it, Violation::NotACut(_)))]
#[case::unchecked(Fault::PublishUnchecked, |it: &Violation| matches!(it, Violation::Invalid(_)))]
#[case::ignore_peers(Fault::IgnorePeers, |it: &Violation| matches!(it, Violation::Behind(_)))]
fn rollout_catches_injected(#[case] fault: Fault, #[case] expected: fn(&Violation) -> bool) {
    let (seed, found) = first_violation(Some(fault)).expect("the fault is caught");
    assert!(expected(&found), "seed {seed}: {found:?}");
}

/// Pauses the publisher at several points of a publication until its lease has expired and another
/// instance publishes, and returns the first violation.
fn run_race(fault: Option<Fault>) -> Option<Violation> {
    (0..60).find_map(|step| {
        let mut rollout = Rollout::new(step, &association(), fault);
        let edit = |rate| Action::Edit(Edit::Rate { team: 0, rate });
        rollout.run(&[]).unwrap();
        let lease = rollout.world.store.get("lease", "publisher").unwrap().value.clone().unwrap();
        let holder = lease["holder"].as_str().unwrap();
        let index = (0..INSTANCES).find(|it| *instance(*it) == *holder).unwrap();
        let actions = [
            Action::Delay { index, ms: 300 },
            edit(1_001),
            Action::Advance { ms: 100 + 50 * step },
            Action::Pause { index, ms: 14_000 },
            edit(1_002),
            Action::Advance { ms: 13_500 },
            edit(1_003),
            Action::Advance { ms: 3_000 },
        ];
        rollout.run(&actions).err()
    })
}

#[test]
fn race_paused_publisher() {
    assert_eq!(run_race(None), None);
}

#[test]
fn race_catches_unfenced() {
    let found = run_race(Some(Fault::PublishUnfenced)).expect("the fault is caught");
    assert!(matches!(found, Violation::Forked(_) | Violation::NotACut(_)), "{found:?}");
}
