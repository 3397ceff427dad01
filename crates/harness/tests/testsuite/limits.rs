//! Tests that limiters never grant more than the rate and burst of a team allow, with instance
//! deaths, pauses, partitions, clock drift and lost, duplicated or reordered messages.

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use rstest::rstest;
use siskinstile_core::{
    Instant,
    limit::Borrower,
    object::{Name, Team},
};
use siskinstile_harness::policy::limits::{
    mesh::{Decision, Mesh},
    oracle::Oracle,
};
use siskinstile_wire::message::limit::{Kind, Lend};

const TEAM: &str = "team";

fn team(rate: u64, burst: u64) -> Arc<Team> {
    Arc::new(Team { name: TEAM.into(), weight: 1, rate, burst, offline_grace_s: None })
}

fn mesh(seed: u64, team: &Arc<Team>, drift: &[i64]) -> Mesh {
    let mut mesh = Mesh::new(seed, 3, 2, drift);
    mesh.teams = Arc::new([(Name::from(TEAM), team.clone())].into_iter().collect());
    mesh
}

fn check_decisions(mesh: &mut Mesh, oracle: &mut Oracle, team: &Team) {
    for (at, _, decision) in std::mem::take(&mut mesh.decisions) {
        if let Decision::Entry(_, tokens) = decision {
            oracle.record_entry(at, 0, team, tokens);
        }
    }
}

/// A step of the property test.
#[derive(Debug, Clone)]
enum Step {
    Take { node: usize, tokens: u64 },
    Refund { node: usize, divisor: u64 },
    Kill { node: usize },
    Pause { node: usize, ms: u64 },
    Isolate { datacentre: usize, isolated: bool },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0_usize..6;
    prop_oneof![
        8 => (node.clone(), 1_u64..600).prop_map(|(node, tokens)| Step::Take { node, tokens }),
        2 => (node.clone(), 1_u64..4).prop_map(|(node, divisor)| Step::Refund { node, divisor }),
        1 => node.clone().prop_map(|node| Step::Kill { node }),
        1 => (node, 1_u64..9_000).prop_map(|(node, ms)| Step::Pause { node, ms }),
        1 => (0_usize..3, any::<bool>())
            .prop_map(|(datacentre, isolated)| Step::Isolate { datacentre, isolated }),
        4 => (1_u64..800).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Runs the steps and returns the number of grants that exceeded the central bucket.
fn overshoots(seed: u64, steps: &[Step]) -> u64 {
    let team = team(200, 1_000);
    let mut mesh = mesh(seed, &team, &[990, -990, 500, 0]);
    mesh.links.default_link.max_delay = Duration::from_millis(80);
    mesh.links.default_link.loss_rate = 0.1;
    mesh.links.default_link.duplicate_rate = 0.1;
    let mut oracle = Oracle::default();
    let mut charged = [0_u64; 6];
    for (wait_id, step) in steps.iter().enumerate() {
        match step {
            Step::Take { node, tokens } if mesh.is_running(*node) => {
                mesh.take(*node, &team, wait_id as u64, *tokens);
                let granted = |it: &(Instant, usize, Decision)| {
                    it.1 == *node && matches!(it.2, Decision::Granted(_))
                };
                if mesh.decisions.iter().any(granted) {
                    charged[*node] += tokens;
                }
            }
            Step::Refund { node, divisor } if mesh.is_running(*node) => {
                let tokens = charged[*node] / divisor;
                charged[*node] -= tokens;
                mesh.refund(*node, &team, tokens);
            }
            Step::Kill { node } => {
                mesh.kill(*node);
                charged[*node] = 0;
                mesh.restart(*node);
            }
            Step::Pause { node, ms } => mesh.pause(*node, Duration::from_millis(*ms)),
            Step::Isolate { datacentre, isolated } => {
                mesh.set_isolated(&format!("dc-{datacentre}"), *isolated)
            }
            Step::Wait { ms } => {
                let end = mesh.now() + Duration::from_millis(*ms);
                mesh.run(end);
            }
            Step::Take { .. } | Step::Refund { .. } => {}
        }
        check_decisions(&mut mesh, &mut oracle, &team);
    }
    oracle.counts.overshoots
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn limiter_never_overshoots(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..250),
    ) {
        prop_assert_eq!(overshoots(seed, &steps), 0);
    }
}

/// Sends requests to one instance until the tokens of the whole fleet are used up.
fn exhaust(mesh: &mut Mesh, oracle: &mut Oracle, team: &Team) {
    for wait_id in 0..40 {
        mesh.take(0, team, wait_id, 50);
        let end = mesh.now() + Duration::from_millis(20);
        mesh.run(end);
        check_decisions(mesh, oracle, team);
    }
}

#[test]
fn limiter_borrows_from_peers() {
    let team = team(1, 600);
    let mut mesh = mesh(1, &team, &[]);
    let mut oracle = Oracle::default();
    exhaust(&mut mesh, &mut oracle, &team);
    let granted =
        mesh.limiter(0).unwrap().clone().status(mesh.now())[TEAM]["use"]["granted"].clone();
    assert!(granted.as_u64().unwrap() >= 550, "{granted}");
    assert_eq!(oracle.counts.overshoots, 0);
}

/// A fault that the oracle has to detect.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// A borrower adds a loan that the owner has not recorded.
    ReceiverFirst,
    /// The same tokens are refunded twice.
    RefundTwice,
}

#[rstest]
#[case::receiver_first(Fault::ReceiverFirst)]
#[case::refund_twice(Fault::RefundTwice)]
fn oracle_detects(#[case] fault: Fault) {
    let team = team(1, 600);
    let mut mesh = mesh(1, &team, &[]);
    let mut oracle = Oracle::default();
    match fault {
        Fault::ReceiverFirst => {
            mesh.links.default_link.cut = true;
            mesh.take(0, &team, 0, 500);
            let owners: Vec<Name> = (1..6).map(|it| mesh.name(it).clone()).collect();
            for name in owners {
                for sequence in 1..6 {
                    let lend = Lend {
                        team: TEAM.into(),
                        tokens: 1_000,
                        sequence,
                        incarnation: 1,
                        remaining: 0,
                    };
                    let from = Borrower { name: name.clone(), incarnation: 1 };
                    mesh.handle_message(0, from, Kind::Lend(lend));
                }
            }
            mesh.take(0, &team, 1, 500);
        }
        Fault::RefundTwice => {
            exhaust(&mut mesh, &mut oracle, &team);
            for wait_id in 100..120 {
                // Only the first refund is reported to the oracle.
                mesh.refund(0, &team, 50);
                check_decisions(&mut mesh, &mut oracle, &team);
                mesh.refund(0, &team, 50);
                mesh.decisions.clear();
                mesh.take(0, &team, wait_id, 50);
                mesh.take(0, &team, wait_id + 100, 50);
                let end = mesh.now() + Duration::from_millis(300);
                mesh.run(end);
                check_decisions(&mut mesh, &mut oracle, &team);
            }
        }
    }
    check_decisions(&mut mesh, &mut oracle, &team);
    assert!(oracle.counts.overshoots > 0);
}
