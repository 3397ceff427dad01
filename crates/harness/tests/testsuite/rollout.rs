use std::path::Path;

use rstest::rstest;
use siskinstile_core::{fault::Fault, object::Set};
use siskinstile_harness::rollout::{
    self, INSTANCES, Rollout,
    action::{Action, Edit},
    instance,
    oracle::Breach,
};

/// Sequences of actions of a test.
const RUNS: u64 = 24;

fn association() -> Set {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/association");
    siskinctl::files::load(&dir).unwrap().0
}

/// Runs the sequences of fixed seeds and returns the first breach with its seed.
fn breach(fault: Option<Fault>) -> Option<(u64, Breach)> {
    rollout::fuzz(&association(), 0..RUNS, fault)
}

#[test]
fn rollout_holds() {
    assert_eq!(breach(None), None);
}

#[rstest]
#[case::revert(Fault::AdoptOlder, |it: &Breach| matches!(it, Breach::Reverted(_)))]
#[case::partial(Fault::AdoptPartial, |it: &Breach| matches!(it, Breach::NotACut(_)))]
#[case::unchecked(Fault::PublishUnchecked, |it: &Breach| matches!(it, Breach::Invalid(_)))]
#[case::ignore_peers(Fault::IgnorePeers, |it: &Breach| matches!(it, Breach::Behind(_)))]
fn rollout_catches(#[case] fault: Fault, #[case] expected: fn(&Breach) -> bool) {
    let (seed, found) = breach(Some(fault)).expect("the fault is caught");
    assert!(expected(&found), "seed {seed}: {found:?}");
}

/// Pauses the publisher at several points of a publication, past its lease, while others publish.
fn race(fault: Option<Fault>) -> Option<Breach> {
    (0..60).find_map(|step| {
        let mut rollout = Rollout::new(step, &association(), fault);
        let edit = |rate| Action::Edit(Edit::Rate { team: 0, rate });
        rollout.run(&[]).unwrap();
        let lease = rollout.world.store.get("lease", "publisher").unwrap().value.clone().unwrap();
        let holder = lease["holder"].as_str().unwrap();
        let index = (0..INSTANCES).find(|it| *instance(*it) == *holder).unwrap();
        let actions = [
            Action::Slow { index, ms: 300 },
            edit(1_001),
            Action::Pass { ms: 100 + 50 * step },
            Action::Pause { index, ms: 14_000 },
            edit(1_002),
            Action::Pass { ms: 13_500 },
            edit(1_003),
            Action::Pass { ms: 3_000 },
        ];
        rollout.run(&actions).err()
    })
}

#[test]
fn race_paused_publisher() {
    assert_eq!(race(None), None);
}

#[test]
fn race_catches_unfenced() {
    let found = race(Some(Fault::PublishUnfenced)).expect("the fault is caught");
    assert!(matches!(found, Breach::Forked(_) | Breach::NotACut(_)), "{found:?}");
}
