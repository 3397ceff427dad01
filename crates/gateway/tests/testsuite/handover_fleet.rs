//! Handover while a data centre of a large fleet reaches no endpoint.

use std::{collections::HashMap, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{Instant, Name, name_hash::NameHash, quota::Tolerance};

use crate::simulation::{Fleet, PROMPT};

/// Time from the start of a cut on from which requests are served by peers.
const NOTICE_TIME: Duration = Duration::from_secs(1);
/// Time until all instances know which others are cut off.
const NEWS_TIME: Duration = Duration::from_millis(2_500);
/// Time between two requests at each instance that is cut off.
const INTERVAL_MS: u64 = 250;
/// Requests at each of them.
const REQUESTS: u64 = 16;
/// Load of the peer with most requests, relative to the mean.
const MAX_SKEW: f64 = 3.0;

/// Guards against requests that are handed to instances which are cut off as well, against peers that get
/// the requests of many, and against requests that are refused: all instances of one data centre lose
/// their links to endpoints.
#[rstest]
#[case::fleet_6(6, 2)]
#[case::fleet_74(74, 18)]
#[case::fleet_295(295, 50)]
fn datacentre_cut_off(#[case] size: usize, #[case] datacentre_size: usize) {
    let mut fleet = Fleet::start_in(size, datacentre_size, Tolerance::default());
    fleet.advance(8_000);
    let cut: Vec<Name> = fleet.datacentres.keys().take(datacentre_size).cloned().collect();
    fleet.unlinked = cut.iter().cloned().collect();
    let start = fleet.now;
    let mut arrivals: HashMap<u64, Instant> = HashMap::new();
    for number in 0..REQUESTS {
        for (place, name) in cut.iter().enumerate() {
            let id = 1 + number * 1_000 + place as u64;
            arrivals.insert(id, fleet.now);
            fleet.arrive(name, id, &[], PROMPT, NameHash(id));
        }
        fleet.advance(INTERVAL_MS);
    }
    let mut counts: HashMap<Name, usize> = HashMap::new();
    for (at, from, handover) in &fleet.handovers {
        let is_known = *at > start + NEWS_TIME;
        assert!(!is_known || !cut.contains(&handover.peer), "{from} to {}", handover.peer);
        *counts.entry(handover.peer.clone()).or_default() += 1;
    }
    let late: Vec<u64> =
        arrivals.iter().filter(|(_, at)| **at > start + NOTICE_TIME).map(|(id, _)| *id).collect();
    let handed_over = |id: &u64| fleet.handovers.iter().any(|it| it.2.request.0 == *id);
    let missing = late.iter().filter(|id| !handed_over(id)).count();
    assert_eq!(missing, 0, "of {} requests", late.len());
    let others = size - datacentre_size;
    let to_others: Vec<usize> = fleet
        .datacentres
        .keys()
        .filter(|it| !cut.contains(it))
        .map(|it| counts.get(it).copied().unwrap_or_default())
        .collect();
    let mean = to_others.iter().sum::<usize>() as f64 / others as f64;
    let most = to_others.iter().copied().max().unwrap_or_default() as f64;
    assert!(most <= MAX_SKEW * mean + 1.0, "{most} at one, {mean:.1} in the mean");
}
