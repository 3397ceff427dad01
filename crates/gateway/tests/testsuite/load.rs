//! Loads of endpoints over all instances.

use indexmap::IndexMap;
use proptest::prelude::*;
use siskinstile_gateway::{
    Name,
    load::{Load, Loads},
    name_hash::NameHash,
};

fn load(requests: u32) -> Load {
    Load {
        requests,
        memory_tokens: u64::from(requests) * 100,
        prompt_tokens: u64::from(requests) * 7,
    }
}

proptest! {
    /// After any sequence of added, replaced and removed loads, each total is the sum of the own
    /// and the reported loads.
    #[test]
    fn total_sum(ops in proptest::collection::vec((0_u8..4, 0_usize..4, 0_usize..5, 0_u8..32), 1..200)) {
        let names: Vec<Name> = (0..5).map(|it| format!("e{it}").as_str().into()).collect();
        let mut loads = Loads::default();
        let mut own = [0_u32; 5];
        let mut peers: IndexMap<Name, IndexMap<NameHash, Load>> = IndexMap::new();
        for (op, peer, endpoint, listed_bits) in ops {
            let peer: Name = format!("peer-{peer}").as_str().into();
            match op {
                0 => {
                    loads.add(&names[endpoint], load(1));
                    own[endpoint] += 1;
                }
                1 => {
                    loads.remove(&names[endpoint], load(1));
                    own[endpoint] = own[endpoint].saturating_sub(1);
                }
                2 => {
                    let listed =
                        names.iter().enumerate().filter(|(index, _)| listed_bits >> index & 1 == 1);
                    let report: IndexMap<NameHash, Load> =
                        listed.map(|(_, it)| (NameHash::of(it), load(3))).collect();
                    loads.set_peer(&peer, report.clone());
                    peers.insert(peer, report);
                }
                _ => {
                    loads.remove_peer(&peer);
                    peers.swap_remove(&peer);
                }
            }
            for (name, own) in names.iter().zip(own) {
                let reported = peers
                    .values()
                    .filter_map(|it| it.get(&NameHash::of(name)))
                    .map(|it| it.requests);
                prop_assert_eq!(loads.total(name), load(own + reported.sum::<u32>()));
            }
        }
    }
}
