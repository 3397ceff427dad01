//! Tests of the fair queue.

use indexmap::IndexMap;
use proptest::prelude::*;
use siskinstile_core::{
    Instant,
    fair::{Item, Queue},
    object::{Name, Urgency},
    request::Id,
};

fn item(id: u64, team: &str, cost: u64) -> Item {
    Item {
        request: Id(id),
        team: team.into(),
        weight: 1,
        urgency: Urgency::Urgent,
        arrived: Instant::default(),
        cost,
    }
}

/// Returns the tokens of each team among the first `tokens` served.
fn served(queue: &mut Queue, tokens: u64) -> IndexMap<Name, u64> {
    let mut served_tokens: IndexMap<Name, u64> = IndexMap::new();
    while served_tokens.values().sum::<u64>() < tokens {
        let Some(it) = queue.pop_where(Instant::default(), |_| true) else { break };
        *served_tokens.entry(it.team).or_default() += it.cost;
    }
    served_tokens
}

/// A team with a long queue does not delay a team with a short one.
#[test]
fn pop_where_flooding_team() {
    let mut queue = Queue::default();
    (0..1_000).for_each(|id| queue.push(item(id, "many", 100)));
    (1_000..1_100).for_each(|id| queue.push(item(id, "few", 100)));
    let served_tokens = served(&mut queue, 20_000);
    assert_eq!(served_tokens["few"], 10_000);
}

/// A team with large prompts does not delay a team with small ones.
#[test]
fn pop_where_large_prompts() {
    let mut queue = Queue::default();
    (0..20).for_each(|id| queue.push(item(id, "huge", 30_000)));
    (100..3_100).for_each(|id| queue.push(item(id, "small", 100)));
    let served_tokens = served(&mut queue, 300_000);
    assert!(served_tokens["small"] >= 120_000, "{served_tokens:?}");
}

#[test]
fn correct_charges_extra_cost() {
    let mut queue = Queue::default();
    (0..100).for_each(|id| queue.push(item(id, "a", 100)));
    (100..200).for_each(|id| queue.push(item(id, "b", 100)));
    queue.correct("a", 1, 2_000);
    let served_tokens = served(&mut queue, 2_000);
    assert!(served_tokens.get("a").copied().unwrap_or(0) <= 100, "{served_tokens:?}");
}

#[test]
fn correct_grants_no_credit() {
    let mut queue = Queue::default();
    queue.push(item(0, "b", 100));
    queue.correct("a", 1, -1_000_000);
    (1..100).for_each(|id| queue.push(item(id, "a", 100)));
    (100..200).for_each(|id| queue.push(item(id, "b", 100)));
    let served_tokens = served(&mut queue, 2_000);
    assert!(served_tokens["b"] >= 900, "{served_tokens:?}");
}

#[test]
fn pop_where_drops_idle_teams() {
    let mut queue = Queue::default();
    for id in 0..10_000 {
        queue.push(item(id, &format!("team-{id}"), 100));
        queue.pop_where(Instant::default(), |_| true);
    }
    assert_eq!((queue.len(), queue.teams()), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(64) })]

    /// Two teams that are always backlogged differ by at most the largest cost of each.
    #[test]
    fn pop_where_equal_weights(
        costs in prop::collection::vec((1_u64..2_000, 1_u64..2_000), 50..200)
    ) {
        let mut queue = Queue::default();
        for (index, (a, b)) in costs.iter().enumerate() {
            queue.push(item(index as u64 * 2, "a", *a));
            queue.push(item(index as u64 * 2 + 1, "b", *b));
        }
        let (mut a, mut b) = (0_i64, 0_i64);
        let total: (u64, u64) = costs.iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        while let Some(it) = queue.pop_where(Instant::default(), |_| true) {
            match &*it.team {
                "a" => a += it.cost as i64,
                _ => b += it.cost as i64,
            }
            if a as u64 == total.0 || b as u64 == total.1 {
                break;
            }
            prop_assert!((a - b).abs() <= 4_000, "a {a} b {b}");
        }
    }

    /// The length is the number of queued requests after any sequence of pushes, pops and removals.
    #[test]
    fn len_after_any_steps(steps in prop::collection::vec((0_u8..4, 0_u64..8), 1..200)) {
        let mut queue = Queue::default();
        let mut next = 0;
        for (step, team) in steps {
            match step {
                0 | 1 => {
                    queue.push(item(next, &format!("team-{team}"), team * 10 + 1));
                    next += 1;
                }
                2 => drop(queue.pop_where(Instant::default(), |it| it.cost > 20)),
                _ => {
                    queue.remove(Id(team));
                }
            }
            prop_assert_eq!(queue.iter().count(), queue.len());
            prop_assert!(queue.teams() <= 8);
        }
    }
}
