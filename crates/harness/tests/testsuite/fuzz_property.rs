use proptest::{option, prelude::*, test_runner::RngSeed};
use siskinstile_harness::fuzz::{
    self, Case,
    case::{INSTANCES, Kind, Op},
};

fn submit() -> impl Strategy<Value = Op> {
    let kind = prop_oneof![Just(Kind::Completion), Just(Kind::Lookup), Just(Kind::Issue)];
    (0..INSTANCES, kind, option::of(0..6_u64), 0..2_u64, 1..120_u64)
        .prop_map(|(at, kind, key, body, tokens)| Op::Submit { at, kind, key, body, tokens })
}

fn platform() -> impl Strategy<Value = Op> {
    (0..INSTANCES, any::<bool>(), 0..80_u8, 2..2_500_u64, any::<bool>()).prop_map(
        |(at, outward, loss, most_ms, cut)| Op::Platform { at, outward, loss, most_ms, cut },
    )
}

fn link() -> impl Strategy<Value = Op> {
    (0..INSTANCES, 0..INSTANCES, 0..60_u8, 0..60_u8, 2..400_u64, any::<bool>()).prop_map(
        |(from, to, loss, twice, most_ms, cut)| Op::Link { from, to, loss, twice, most_ms, cut },
    )
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        40 => submit(),
        40 => (0..300_u64).prop_map(Op::Wait),
        5 => (0..3_000_u64).prop_map(Op::Wait),
        4 => (0..20_usize).prop_map(Op::Leave),
        4 => (0..INSTANCES, any::<bool>()).prop_map(|(at, listed)| Op::Kill { at, listed }),
        4 => (0..INSTANCES).prop_map(Op::Restart),
        3 => (0..INSTANCES, 0..8_000_u64).prop_map(|(at, ms)| Op::Pause { at, ms }),
        4 => platform(),
        3 => link(),
        2 => Just(Op::Mend),
        3 => (0..50_u32).prop_map(Op::Trouble),
        2 => (0..6_usize, 0..4_000_u64).prop_map(|(endpoint, ms)| Op::Down { endpoint, ms }),
        2 => (0..6_usize, any::<bool>())
            .prop_map(|(endpoint, leaving)| Op::Mark { endpoint, leaving }),
        2 => (0..INSTANCES).prop_map(Op::Drain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold(seed: u64, ops in proptest::collection::vec(op(), 1..120)) {
        let case = Case { seed: seed >> 24, ops };
        prop_assert_eq!(fuzz::run(&case, None).violations, []);
    }
}
