//! Distribution of the holds of an instance over the peers that cancel them if it dies.

use indexmap::IndexMap;
use siskinstile_core::{member::rank, object::Name};

/// Instances per data centre at the target size.
const INSTANCES: usize = 36;
/// Number of holds of the instance that dies.
const HOLDS: u64 = 100;
/// Number of peers that record each hold.
const PEERS_PER_HOLD: usize = 2;

/// Returns the largest number of holds that one peer has to cancel if the peers that record hold
/// number `n` are chosen by their rank for `key(n)`.
pub fn max_holds_per_peer(key: impl Fn(u64) -> String) -> usize {
    let peers: Vec<Name> =
        (1..INSTANCES).map(|it| Name::from(format!("dc-3-instance-{it}"))).collect();
    let mut counts: IndexMap<Name, usize> = IndexMap::new();
    for hold in 0..HOLDS {
        let key = key(hold);
        let mut ranked = peers.clone();
        ranked.sort_by_key(|name| std::cmp::Reverse(rank(name, &key)));
        ranked.truncate(PEERS_PER_HOLD);
        ranked.into_iter().for_each(|name| *counts.entry(name).or_default() += 1);
    }
    counts.values().copied().max().unwrap_or(0)
}

/// Returns the table rows that compare the same peers for all holds of an instance with a choice by
/// request.
pub fn table() -> String {
    let fixed = max_holds_per_peer(|_| "dc-3-instance-0".into());
    let spread =
        max_holds_per_peer(|hold| format!("{:016x}", hold.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    format!("| fixed for the instance | {fixed} |\n| ranked by the request | {spread} |\n")
}
