//! The limiter's part alone at the target size.

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
    judge::Judge,
    mesh::{Decision, Mesh},
};

const TEAMS: usize = 7_600;
const DATACENTRES: usize = 10;
const INSTANCES_EACH: usize = 36;
/// Requests a second of the whole fleet.
const REQUESTS: f64 = 1_200.0;
/// Share of its rate that a team uses on average.
const LOAD: f64 = 0.7;
/// Share of a team's requests that arrive in its own data centre.
const AT_HOME: f64 = 0.7;
/// Smallest and largest cost of a request, in tokens.
const COST: (u64, u64) = (64, 16_000);
/// Burst, in seconds of the rate, and the least burst in tokens.
const BURST_S: f64 = 8.0;
const BURST_LEAST: f64 = 32_000.0;
const RUN: Duration = Duration::from_secs(30);

/// A request that waits for its verdict.
struct Open {
    team: Arc<Team>,
    tokens: u64,
}

/// Runs it and prints the figures.
pub fn run(seed: u64) -> anyhow::Result<()> {
    let mut mesh = Mesh::new(seed, DATACENTRES, INSTANCES_EACH, &[900, -900, 0, 400]);
    mesh.links.default_link.min_delay = Duration::from_millis(1);
    mesh.links.default_link.max_delay = Duration::from_millis(20);
    let weights: Vec<f64> = (1..=TEAMS).map(|rank| 1.0 / rank as f64).collect();
    let teams = teams(&weights);
    mesh.teams = Arc::new(teams.iter().map(|it| (it.name.clone(), it.clone())).collect());
    let mut ours = Judge::default();
    let instances = (DATACENTRES * INSTANCES_EACH) as u64;
    let mut baselines = [Baseline::even(instances), Baseline::uncoordinated(), Baseline::central()];
    let mut open: IndexMap<u64, Open> = IndexMap::new();
    let mut at = Instant::default();
    let mut wait = 0;
    let cumulative: Vec<f64> = cumulative(&weights);
    let started = std::time::Instant::now();
    let mut spent = Duration::ZERO;
    while at < Instant::default() + RUN {
        at = at + demand::gap(&mut mesh.rng, REQUESTS);
        let timer = std::time::Instant::now();
        mesh.run(at);
        spent += timer.elapsed();
        judge(&mut mesh, &mut open, &mut ours);
        let point = mesh.rng.random_range(0.0..cumulative[TEAMS - 1]);
        let rank = cumulative.partition_point(|it| *it < point).min(TEAMS - 1);
        let team = teams[rank].clone();
        let node = door(&mut mesh, rank);
        let tokens = demand::cost(&mut mesh.rng, COST.0, COST.1);
        let name = mesh.name(node).clone();
        baselines.iter_mut().for_each(|it| {
            it.take(at, 0, &name, &team, tokens);
        });
        wait += 1;
        open.insert(wait, Open { team: team.clone(), tokens });
        let timer = std::time::Instant::now();
        mesh.take(node, &team, wait, tokens);
        spent += timer.elapsed();
    }
    mesh.run(at + Duration::from_secs(1));
    judge(&mut mesh, &mut open, &mut ours);
    println!(
        "{TEAMS} teams, {instances} instances, {DATACENTRES} data centres, {RUN:?}, seed {seed}"
    );
    ours.counts.print("handed over");
    baselines.iter().for_each(Baseline::print);
    let rank = |name: &Name| name[5..].parse::<usize>().unwrap_or(0);
    for (least, most) in [(0, 10), (10, 100), (100, 1_000), (1_000, TEAMS)] {
        let of = ours.by_team.iter().filter(|it| (least..most).contains(&rank(it.0)));
        println!("wrongful, teams {least} to {most}: {}", of.map(|it| it.1).sum::<u64>());
    }
    slopes(&mesh, wait, spent);
    println!("the run took {:?}", started.elapsed());
    Ok(())
}

fn slopes(mesh: &Mesh, requests: u64, spent: Duration) {
    let seconds = RUN.as_secs_f64() * mesh.len() as f64;
    let kept: usize = (0..mesh.len()).filter_map(|it| mesh.limiter(it)).map(|it| it.len()).sum();
    println!(
        "messages a second an instance {:.2}, bytes {:.0}; messages a request {:.2}; \
         teams kept an instance {:.0}; microseconds a step {:.2} (with the queue of the run); \
         core an instance {:.3}%",
        mesh.traffic.0 as f64 / seconds,
        mesh.traffic.1 as f64 / seconds,
        mesh.traffic.0 as f64 / requests as f64,
        kept as f64 / mesh.len() as f64,
        spent.as_secs_f64() * 1e6 / mesh.steps as f64,
        spent.as_secs_f64() / seconds * 100.0,
    );
}

fn judge(mesh: &mut Mesh, open: &mut IndexMap<u64, Open>, ours: &mut Judge) {
    for (at, _, decision) in std::mem::take(&mut mesh.decisions) {
        match decision {
            Decision::Entry(team, tokens) => ours.entry(at, 0, &mesh.teams[&team], tokens),
            Decision::Granted(wait) => {
                open.swap_remove(&wait);
                ours.granted();
            }
            Decision::Refused(wait) => {
                let it = open.swap_remove(&wait);
                if let Some(it) = it {
                    ours.refused(at, 0, &it.team, it.tokens);
                }
            }
        }
    }
}

fn teams(weights: &[f64]) -> Vec<Arc<Team>> {
    let total: f64 = weights.iter().sum();
    let mean = demand::mean_cost(COST.0, COST.1);
    let team = |(rank, weight): (usize, &f64)| {
        let rate = REQUESTS * weight / total * mean / LOAD;
        Arc::new(Team {
            name: Name::from(format!("team-{rank}")),
            weight: 1,
            rate: rate.ceil() as u64,
            burst: (rate * BURST_S).max(BURST_LEAST) as u64,
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

/// Returns the instance at which a request of a team arrives.
fn door(mesh: &mut Mesh, rank: usize) -> usize {
    let datacentre = match mesh.rng.random_bool(AT_HOME) {
        true => rank % DATACENTRES,
        false => mesh.rng.random_range(0..DATACENTRES),
    };
    datacentre * INSTANCES_EACH + mesh.rng.random_range(0..INSTANCES_EACH)
}
