//! How evenly the holds of an instance are spread over the peers that would cancel them.

use indexmap::IndexMap;
use siskinstile_core::{member::rank, object::Name};

/// Instances of a data centre at the target size.
const INSTANCES: usize = 36;
/// Holds of the instance that dies.
const HOLDS: u64 = 100;
/// Peers that are told of a hold.
const COPIES: usize = 2;

/// Returns the largest number of holds that one peer has to cancel, if the peers are ranked by
/// `key`.
pub fn busiest(key: impl Fn(u64) -> String) -> usize {
    let peers: Vec<Name> =
        (1..INSTANCES).map(|it| Name::from(format!("dc-3-instance-{it}"))).collect();
    let mut counts: IndexMap<Name, usize> = IndexMap::new();
    for hold in 0..HOLDS {
        let key = key(hold);
        let mut ranked = peers.clone();
        ranked.sort_by_key(|name| std::cmp::Reverse(rank(name, &key)));
        ranked.truncate(COPIES);
        ranked.into_iter().for_each(|name| *counts.entry(name).or_default() += 1);
    }
    counts.values().copied().max().unwrap_or(0)
}

/// Returns the rows of the comparison.
pub fn table() -> String {
    let fixed = busiest(|_| "dc-3-instance-0".into());
    let spread = busiest(|hold| format!("{:016x}", hold.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    format!("| fixed for the instance | {fixed} |\n| ranked by the request | {spread} |\n")
}
