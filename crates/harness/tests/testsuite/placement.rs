use rstest::rstest;
use siskinstile_core::place::Policy;
use siskinstile_harness::policy::placement::{Case, Site, Trouble};

/// Most prefill that may be wasted, without and with faults.
const WASTED: f64 = 0.005;
const WASTED_WITH_FAULTS: f64 = 0.02;

fn case(trouble: Trouble, load: f64, doors: usize) -> Case {
    Case { site: Site::Board, load, trouble, policy: Policy::Promise, doors, seed: 1 }
}

#[rstest]
#[case::full(1.0)]
#[case::overload(2.0)]
fn placement_load(#[case] load: f64) {
    let figures = case(Trouble::None, load, 6).run();
    assert_eq!(figures.unsound, 0);
    assert!(figures.wasted < WASTED, "{figures}");
}

#[rstest]
#[case::slow(Trouble::Slow)]
#[case::dead(Trouble::Dead)]
#[case::stall(Trouble::Stall)]
#[case::takeover(Trouble::Takeover)]
#[case::loss(Trouble::Loss)]
fn placement_fault(#[case] trouble: Trouble) {
    let figures = case(trouble, 1.0, 6).run();
    assert_eq!(figures.unsound, 0);
    assert!(figures.wasted < WASTED_WITH_FAULTS, "{figures}");
}
