//! Simulates the rate limiters alone at the target size of the fleet.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use rand::RngExt as _;
use siskinstile_core::{
    Instant,
    object::{Name, Team},
};

use super::{
    baseline::Baseline,
    demand,
    mesh::{Decision, Mesh},
    oracle::Oracle,
};

const TEAMS: usize = 7_600;
const DATACENTRES: usize = 10;
const INSTANCES_PER_DATACENTRE: usize = 36;
/// Requests per second over the whole fleet.
const REQUEST_RATE: f64 = 1_200.0;
/// Average demand of a team as a share of its rate.
const MEAN_LOAD: f64 = 0.7;
/// Share of a team's requests that arrive in its main data centre.
const LOCAL_SHARE: f64 = 0.7;
/// Smallest and largest cost of a request, in tokens.
const COST: (u64, u64) = (64, 16_000);
/// Burst of a team in seconds of its rate, and the minimum burst in tokens.
const BURST_S: f64 = 8.0;
const MIN_BURST: f64 = 32_000.0;
const RUN_LENGTH: Duration = Duration::from_secs(30);

/// A request that waits for the limiter's decision.
struct Pending {
    team: Arc<Team>,
    tokens: u64,
}

/// Runs the simulation and prints the figures.
pub fn run(seed: u64) -> anyhow::Result<()> {
    let mut mesh = Mesh::new(seed, DATACENTRES, INSTANCES_PER_DATACENTRE, &[900, -900, 0, 400]);
    mesh.links.default_link.min_delay = Duration::from_millis(1);
    mesh.links.default_link.max_delay = Duration::from_millis(20);
    let weights: Vec<f64> = (1..=TEAMS).map(|rank| 1.0 / rank as f64).collect();
    let teams = teams(&weights);
    mesh.teams = Arc::new(teams.iter().map(|it| (it.name.clone(), it.clone())).collect());
    let mut oracle = Oracle::default();
    let instances = (DATACENTRES * INSTANCES_PER_DATACENTRE) as u64;
    let mut baselines = [Baseline::even(instances), Baseline::uncoordinated(), Baseline::central()];
    let mut pending: IndexMap<u64, Pending> = IndexMap::new();
    let mut now = Instant::default();
    let mut wait_id = 0;
    let cumulative: Vec<f64> = cumulative(&weights);
    let started = std::time::Instant::now();
    let mut limiter_time = Duration::ZERO;
    while now < Instant::default() + RUN_LENGTH {
        now = now + demand::next_gap(&mut mesh.rng, REQUEST_RATE);
        let timer = std::time::Instant::now();
        mesh.run(now);
        limiter_time += timer.elapsed();
        check_decisions(&mut mesh, &mut pending, &mut oracle);
        let pick = mesh.rng.random_range(0.0..cumulative[TEAMS - 1]);
        let rank = cumulative.partition_point(|it| *it < pick).min(TEAMS - 1);
        let team = teams[rank].clone();
        let node = receiving_instance(&mut mesh, rank);
        let tokens = demand::cost(&mut mesh.rng, COST.0, COST.1);
        let instance = mesh.name(node).clone();
        baselines.iter_mut().for_each(|it| {
            it.take(now, 0, &instance, &team, tokens);
        });
        wait_id += 1;
        pending.insert(wait_id, Pending { team: team.clone(), tokens });
        let timer = std::time::Instant::now();
        mesh.take(node, &team, wait_id, tokens);
        limiter_time += timer.elapsed();
    }
    mesh.run(now + Duration::from_secs(1));
    check_decisions(&mut mesh, &mut pending, &mut oracle);
    println!(
        "{TEAMS} teams, {instances} instances, {DATACENTRES} data centres, {RUN_LENGTH:?}, seed {seed}"
    );
    oracle.counts.print("handed over");
    baselines.iter().for_each(Baseline::print);
    let rank = |name: &Name| name[5..].parse::<usize>().unwrap_or(0);
    for (from, to) in [(0, 10), (10, 100), (100, 1_000), (1_000, TEAMS)] {
        let wrongful = oracle.wrongful_by_team.iter().filter(|it| (from..to).contains(&rank(it.0)));
        println!("wrongful, teams {from} to {to}: {}", wrongful.map(|it| it.1).sum::<u64>());
    }
    print_rates(&mesh, wait_id, limiter_time);
    println!("the run took {:?}", started.elapsed());
    Ok(())
}

fn print_rates(mesh: &Mesh, requests: u64, limiter_time: Duration) {
    let seconds = RUN_LENGTH.as_secs_f64() * mesh.len() as f64;
    let tracked_teams: usize =
        (0..mesh.len()).filter_map(|it| mesh.limiter(it)).map(|it| it.len()).sum();
    println!(
        "messages a second an instance {:.2}, bytes {:.0}; messages a request {:.2}; \
         teams kept an instance {:.0}; microseconds a step {:.2} (with the queue of the run); \
         core an instance {:.3}%",
        mesh.traffic.0 as f64 / seconds,
        mesh.traffic.1 as f64 / seconds,
        mesh.traffic.0 as f64 / requests as f64,
        tracked_teams as f64 / mesh.len() as f64,
        limiter_time.as_secs_f64() * 1e6 / mesh.limiter_calls as f64,
        limiter_time.as_secs_f64() / seconds * 100.0,
    );
}

fn check_decisions(mesh: &mut Mesh, pending: &mut IndexMap<u64, Pending>, oracle: &mut Oracle) {
    for (at, _, decision) in std::mem::take(&mut mesh.decisions) {
        match decision {
            Decision::Entry(team, tokens) => oracle.record_entry(at, 0, &mesh.teams[&team], tokens),
            Decision::Granted(wait_id) => {
                pending.swap_remove(&wait_id);
                oracle.record_grant();
            }
            Decision::Refused(wait_id) => {
                let request = pending.swap_remove(&wait_id);
                if let Some(request) = request {
                    oracle.record_refusal(at, 0, &request.team, request.tokens);
                }
            }
        }
    }
}

fn teams(weights: &[f64]) -> Vec<Arc<Team>> {
    let total: f64 = weights.iter().sum();
    let mean = demand::mean_cost(COST.0, COST.1);
    let team = |(rank, weight): (usize, &f64)| {
        let rate = REQUEST_RATE * weight / total * mean / MEAN_LOAD;
        Arc::new(Team {
            name: Name::from(format!("team-{rank}")),
            weight: 1,
            rate: rate.ceil() as u64,
            burst: (rate * BURST_S).max(MIN_BURST) as u64,
            offline_grace_s: None,
        })
    };
    weights.iter().enumerate().map(team).collect()
}

fn cumulative(weights: &[f64]) -> Vec<f64> {
    weights
        .iter()
        .scan(0.0, |sum, it| {
            *sum += it;
            Some(*sum)
        })
        .collect()
}

/// Returns a random instance at which a request of the team with this rank arrives.
fn receiving_instance(mesh: &mut Mesh, rank: usize) -> usize {
    let datacentre = match mesh.rng.random_bool(LOCAL_SHARE) {
        true => rank % DATACENTRES,
        false => mesh.rng.random_range(0..DATACENTRES),
    };
    datacentre * INSTANCES_PER_DATACENTRE + mesh.rng.random_range(0..INSTANCES_PER_DATACENTRE)
}
