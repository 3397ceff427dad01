//! Tests of rights to spend under deaths, pauses, cuts, drift and any order of messages.

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use rstest::rstest;
use siskinstile_core::{
    Instant,
    limit::Borrower,
    object::{Name, Team},
};
use siskinstile_harness::policy::limits::{
    judge::Judge,
    mesh::{Decision, Mesh},
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

fn judge(mesh: &mut Mesh, judge: &mut Judge, team: &Team) {
    for (at, _, decision) in std::mem::take(&mut mesh.decisions) {
        if let Decision::Entry(_, tokens) = decision {
            judge.entry(at, 0, team, tokens);
        }
    }
}

/// What happens in a step of the fuzz.
#[derive(Debug, Clone)]
enum Step {
    Take { node: usize, tokens: u64 },
    GiveBack { node: usize, share: u64 },
    Die { node: usize },
    Pause { node: usize, ms: u64 },
    Cut { datacentre: usize, cut: bool },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0_usize..6;
    prop_oneof![
        8 => (node.clone(), 1_u64..600).prop_map(|(node, tokens)| Step::Take { node, tokens }),
        2 => (node.clone(), 1_u64..4).prop_map(|(node, share)| Step::GiveBack { node, share }),
        1 => node.clone().prop_map(|node| Step::Die { node }),
        1 => (node, 1_u64..9_000).prop_map(|(node, ms)| Step::Pause { node, ms }),
        1 => (0_usize..3, any::<bool>())
            .prop_map(|(datacentre, cut)| Step::Cut { datacentre, cut }),
        4 => (1_u64..800).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Runs steps and returns the number of overshoots.
fn overshoots(seed: u64, steps: &[Step]) -> u64 {
    let team = team(200, 1_000);
    let mut mesh = mesh(seed, &team, &[990, -990, 500, 0]);
    mesh.links.default_link.max_delay = Duration::from_millis(80);
    mesh.links.default_link.loss_rate = 0.1;
    mesh.links.default_link.duplicate_rate = 0.1;
    let mut oracle = Judge::default();
    let mut charged = [0_u64; 6];
    for (wait, step) in steps.iter().enumerate() {
        match step {
            Step::Take { node, tokens } if mesh.runs(*node) => {
                mesh.take(*node, &team, wait as u64, *tokens);
                let granted = |it: &(Instant, usize, Decision)| {
                    it.1 == *node && matches!(it.2, Decision::Granted(_))
                };
                if mesh.decisions.iter().any(granted) {
                    charged[*node] += tokens;
                }
            }
            Step::GiveBack { node, share } if mesh.runs(*node) => {
                let tokens = charged[*node] / share;
                charged[*node] -= tokens;
                mesh.give_back(*node, &team, tokens);
            }
            Step::Die { node } => {
                mesh.kill(*node);
                charged[*node] = 0;
                mesh.restart(*node);
            }
            Step::Pause { node, ms } => mesh.pause(*node, Duration::from_millis(*ms)),
            Step::Cut { datacentre, cut } => mesh.cut(&format!("dc-{datacentre}"), *cut),
            Step::Wait { ms } => {
                let end = mesh.now() + Duration::from_millis(*ms);
                mesh.run(end);
            }
            Step::Take { .. } | Step::GiveBack { .. } => {}
        }
        judge(&mut mesh, &mut oracle, &team);
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

/// Sends requests at one instance until all rights of the fleet are used.
fn use_up(mesh: &mut Mesh, oracle: &mut Judge, team: &Team) {
    for wait in 0..40 {
        mesh.take(0, team, wait, 50);
        let end = mesh.now() + Duration::from_millis(20);
        mesh.run(end);
        judge(mesh, oracle, team);
    }
}

#[test]
fn limiter_finds_rights_elsewhere() {
    let team = team(1, 600);
    let mut mesh = mesh(1, &team, &[]);
    let mut oracle = Judge::default();
    use_up(&mut mesh, &mut oracle, &team);
    let granted =
        mesh.limiter(0).unwrap().clone().status(mesh.now())[TEAM]["use"]["granted"].clone();
    assert!(granted.as_u64().unwrap() >= 550, "{granted}");
    assert_eq!(oracle.counts.overshoots, 0);
}

/// A fault that the oracle has to see.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// A loan is taken up of which its home knows nothing.
    ReceiverFirst,
    /// The same tokens are given back twice.
    RefundTwice,
}

#[rstest]
#[case::receiver_first(Fault::ReceiverFirst)]
#[case::refund_twice(Fault::RefundTwice)]
fn oracle_sees(#[case] fault: Fault) {
    let team = team(1, 600);
    let mut mesh = mesh(1, &team, &[]);
    let mut oracle = Judge::default();
    match fault {
        Fault::ReceiverFirst => {
            mesh.links.default_link.cut = true;
            mesh.take(0, &team, 0, 500);
            let homes: Vec<Name> = (1..6).map(|it| mesh.name(it).clone()).collect();
            for name in homes {
                for sequence in 1..6 {
                    let lend = Lend {
                        team: TEAM.into(),
                        tokens: 1_000,
                        sequence,
                        incarnation: 1,
                        remaining: 0,
                    };
                    let from = Borrower { name: name.clone(), incarnation: 1 };
                    mesh.message(0, from, Kind::Lend(lend));
                }
            }
            mesh.take(0, &team, 1, 500);
        }
        Fault::RefundTwice => {
            use_up(&mut mesh, &mut oracle, &team);
            for wait in 100..120 {
                // The oracle hears of the first refund only.
                mesh.give_back(0, &team, 50);
                judge(&mut mesh, &mut oracle, &team);
                mesh.give_back(0, &team, 50);
                mesh.decisions.clear();
                mesh.take(0, &team, wait, 50);
                mesh.take(0, &team, wait + 100, 50);
                let end = mesh.now() + Duration::from_millis(300);
                mesh.run(end);
                judge(&mut mesh, &mut oracle, &team);
            }
        }
    }
    judge(&mut mesh, &mut oracle, &team);
    assert!(oracle.counts.overshoots > 0);
}
