//! Simulates six complete instances in three data centres, with the teams of the association.

mod fleet;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    Effect, Event, Instant,
    error::Kind as ErrorKind,
    key::Secret,
    limit::participant::WHOLE_PPM,
    object::{Name, Team},
    request::{Arrival, Id, Target},
};

use super::{baseline::Baseline, demand, oracle::Oracle};
use crate::world::{PLATFORM, World};
use fleet::{DATACENTRES, Engine, INSTANCES, datacentre, instance, settings};

/// Average demand of a team as a share of its rate, not counting its bursts of requests.
const MEAN_LOAD: f64 = 0.7;
/// Share of the requests that arrive in each data centre.
const DATACENTRE_SHARES: [f64; 3] = [0.6, 0.3, 0.1];
/// Interval at which each team sends a burst of requests, and the expected cost of such a burst as
/// a share of the burst that the team's rate limit allows.
const BURST_INTERVAL: Duration = Duration::from_secs(30);
const BURST_SHARE: f64 = 0.25;
/// Interval between instance deaths, and time until the dead instance is restarted.
const DEATH_INTERVAL: Duration = Duration::from_secs(60);
const RESTART_DELAY: Duration = Duration::from_secs(5);
/// The data centre that is cut off, and the start and end of the partition, counted from the end of
/// the warm-up.
const ISOLATED_DATACENTRE: usize = 2;
const PARTITION_START: Duration = Duration::from_secs(3_600);
const PARTITION_END: Duration = Duration::from_secs(7_200);
const RUN_LENGTH: Duration = Duration::from_secs(600);
const FAULTS_RUN_LENGTH: Duration = Duration::from_secs(3 * 3_600);
/// Time allowed for all instances to become ready before requests arrive.
const WARM_UP: Duration = Duration::from_secs(5);

/// Runs the simulation without faults and prints the figures.
pub fn without_faults(seed: u64) -> anyhow::Result<()> {
    Run::new(seed, RUN_LENGTH, false)?.run();
    Ok(())
}

/// Runs the simulation with an instance dying every minute and a data centre cut off for one hour
/// out of three, and prints the figures.
pub fn with_faults(seed: u64) -> anyhow::Result<()> {
    Run::new(seed, FAULTS_RUN_LENGTH, true)?.run();
    Ok(())
}

/// A request that has no outcome yet, with the decisions of the three baselines.
struct Pending {
    instance: usize,
    team: Arc<Team>,
    tokens: u64,
    granted: [bool; 3],
}

/// Action of the driver when a timer expires.
#[derive(Clone, Copy)]
enum Timer {
    Arrival { team: usize },
    Burst { team: usize },
    Death,
    Restart { instance: usize },
    Partition(bool),
}

struct Run {
    world: World<Engine>,
    rng: ChaCha8Rng,
    teams: Vec<Arc<Team>>,
    timers: Vec<Timer>,
    is_alive: Vec<bool>,
    /// Readiness that each instance last reported; false while it is dead.
    is_ready: Vec<bool>,
    partitioned: bool,
    last_id: u64,
    pending: IndexMap<Id, Pending>,
    oracle: Oracle,
    baselines: [Baseline; 3],
    length: Duration,
    with_faults: bool,
    seed: u64,
    deaths: u64,
    unrouted: u64,
    errors_by_kind: IndexMap<&'static str, u64>,
}

impl Run {
    fn new(seed: u64, length: Duration, with_faults: bool) -> anyhow::Result<Run> {
        let mut world = World::new(seed, Engine::new(seed));
        let set = fleet::set()?;
        for (kind, name, value) in set.values() {
            world.edit(&siskinstile_core::store::Call::Put {
                kind: kind.as_str().into(),
                name,
                value,
                if_version: Some(0),
            });
        }
        let drift = if with_faults { [900, -900, 0, 500, -500, 300] } else { [0; 6] };
        (0..INSTANCES).for_each(|index| world.start(settings(index), drift[index]));
        let teams = set.teams.values().cloned().map(Arc::new).collect();
        Ok(Run {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            teams,
            timers: Vec::new(),
            is_alive: vec![true; INSTANCES],
            is_ready: vec![true; INSTANCES],
            partitioned: false,
            last_id: 0,
            pending: IndexMap::new(),
            oracle: Oracle::default(),
            baselines: [
                Baseline::even(INSTANCES as u64),
                Baseline::uncoordinated(),
                Baseline::central(),
            ],
            length,
            with_faults,
            seed,
            deaths: 0,
            unrouted: 0,
            errors_by_kind: IndexMap::new(),
        })
    }

    fn run(&mut self) {
        let start = Instant::default() + WARM_UP;
        self.world.run(start);
        for team in 0..self.teams.len() {
            self.set_timer(start, Timer::Arrival { team });
            self.set_timer(start + BURST_INTERVAL / (team as u32 + 1), Timer::Burst { team });
        }
        if self.with_faults {
            self.set_timer(start + DEATH_INTERVAL, Timer::Death);
            self.set_timer(start + PARTITION_START, Timer::Partition(true));
            self.set_timer(start + PARTITION_END, Timer::Partition(false));
        }
        let end = start + self.length;
        while let Some(timer) = self.world.run(end) {
            self.check_decisions();
            self.handle_timer(self.timers[timer as usize]);
        }
        self.check_decisions();
        self.print();
    }

    fn set_timer(&mut self, at: Instant, timer: Timer) {
        self.timers.push(timer);
        self.world.set_timer(at, self.timers.len() as u64 - 1);
    }

    fn handle_timer(&mut self, timer: Timer) {
        let now = self.world.now();
        match timer {
            Timer::Arrival { team } => {
                self.send_request(team);
                let (min_tokens, max_tokens) = fleet::costs(&self.teams[team]);
                let per_second = self.teams[team].rate as f64 * MEAN_LOAD
                    / demand::mean_cost(min_tokens, max_tokens);
                let gap = demand::next_gap(&mut self.rng, per_second);
                self.set_timer(now + gap, timer);
            }
            Timer::Burst { team } => {
                let (min_tokens, max_tokens) = fleet::costs(&self.teams[team]);
                let tokens = self.teams[team].burst as f64 * BURST_SHARE;
                let count = (tokens / demand::mean_cost(min_tokens, max_tokens)) as usize;
                (0..count).for_each(|_| self.send_request(team));
                self.set_timer(now + BURST_INTERVAL, timer);
            }
            Timer::Death => {
                self.kill_random();
                self.set_timer(now + DEATH_INTERVAL, Timer::Death);
            }
            Timer::Restart { instance: index } => {
                self.is_alive[index] = true;
                self.world.restart(&instance(index));
            }
            Timer::Partition(partitioned) => self.set_partitioned(partitioned),
        }
    }

    fn send_request(&mut self, team: usize) {
        let team = self.teams[team].clone();
        let (min_tokens, max_tokens) = fleet::costs(&team);
        let tokens = demand::cost(&mut self.rng, min_tokens, max_tokens);
        let arrival_datacentre = demand::weighted_index(&mut self.rng, &DATACENTRE_SHARES);
        let candidates: Vec<usize> = (0..INSTANCES)
            .filter(|it| datacentre(*it) == arrival_datacentre && self.accepts_requests(*it))
            .collect();
        if candidates.is_empty() {
            self.unrouted += 1;
            return;
        }
        let index = candidates[self.rng.random_range(0..candidates.len())];
        self.send_to(index, team, tokens);
    }

    fn send_to(&mut self, index: usize, team: Arc<Team>, tokens: u64) {
        self.last_id += 1;
        let (id, now, side) = (Id(self.last_id), self.world.now(), self.side(index));
        let name = instance(index);
        let granted =
            [0, 1, 2].map(|it: usize| self.baselines[it].take(now, side, &name, &team, tokens));
        let arrival = Arrival {
            id,
            key: Some(Secret::new(format!("{}.{}", team.name, fleet::SECRET))),
            target: Target::Model(fleet::MODEL.into()),
            idempotency_key: None,
            digest: 0,
            prompt_tokens: tokens / 2,
            max_tokens: tokens - tokens / 2,
            prefixes: Arc::new([]),
        };
        self.pending.insert(id, Pending { instance: index, team, tokens, granted });
        self.world.send_event(&name, Event::Arrival(arrival));
    }

    /// Returns whether the load balancer sends requests to an instance.
    fn accepts_requests(&self, index: usize) -> bool {
        self.is_alive[index] && self.is_ready[index]
    }

    /// Returns the index of the partition side on which an instance is; 0 without a partition.
    fn side(&self, index: usize) -> usize {
        usize::from(self.partitioned && datacentre(index) == ISOLATED_DATACENTRE)
    }

    /// Kills a random ready instance. During the partition only instances outside the isolated
    /// data centre are killed, since an instance that starts inside it cannot obtain the
    /// configuration in this version.
    fn kill_random(&mut self) {
        let partitioned = self.partitioned;
        let candidates: Vec<usize> = (0..INSTANCES)
            .filter(|it| {
                self.accepts_requests(*it)
                    && !(partitioned && datacentre(*it) == ISOLATED_DATACENTRE)
            })
            .collect();
        if candidates.is_empty() {
            return;
        }
        let index = candidates[self.rng.random_range(0..candidates.len())];
        self.deaths += 1;
        self.is_alive[index] = false;
        self.is_ready[index] = false;
        self.world.kill(&instance(index));
        self.pending.retain(|_, it| it.instance != index);
        self.baselines.iter_mut().for_each(|it| it.restart(&instance(index)));
        let restart_at = self.world.now() + RESTART_DELAY;
        self.set_timer(restart_at, Timer::Restart { instance: index });
    }

    fn set_partitioned(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
        for index in (0..INSTANCES).filter(|it| datacentre(*it) == ISOLATED_DATACENTRE) {
            self.world.links.set_cut(&instance(index), PLATFORM, partitioned);
            for other in (0..INSTANCES).filter(|it| datacentre(*it) != ISOLATED_DATACENTRE) {
                self.world.links.set_cut(&instance(index), &instance(other), partitioned);
            }
        }
        let isolated = WHOLE_PPM / DATACENTRES as u64;
        let shares_ppm =
            if partitioned { vec![WHOLE_PPM - isolated, isolated] } else { Vec::new() };
        self.oracle.set_partition(&shares_ppm);
        self.baselines.iter_mut().for_each(|it| it.oracle.set_partition(&shares_ppm));
    }

    /// Passes the grants, refusals and completions since the last timer to the oracle, in time
    /// order.
    fn check_decisions(&mut self) {
        let mut grants = std::mem::take(&mut self.world.grants).into_iter().peekable();
        for output in std::mem::take(&mut self.world.outputs) {
            while let Some((at, name, entry)) = grants.next_if(|it| it.0 <= output.at) {
                self.record_entry(at, &name, &entry.team, entry.tokens);
            }
            self.handle_effect(output.at, &output.instance, output.effect);
        }
        grants
            .for_each(|(at, name, entry)| self.record_entry(at, &name, &entry.team, entry.tokens));
    }

    fn record_entry(&mut self, at: Instant, instance: &str, team: &Name, tokens: i64) {
        let side = self.side(fleet::instance_index(instance));
        let team = self.teams.iter().find(|it| it.name == *team).cloned();
        team.iter().for_each(|team| self.oracle.record_entry(at, side, team, tokens));
    }

    fn handle_effect(&mut self, at: Instant, instance: &str, effect: Effect) {
        match effect {
            Effect::Ready(ready) => self.is_ready[fleet::instance_index(instance)] = ready,
            Effect::Finish { request } => self.finish(at, request),
            Effect::Fail { request, failure } => {
                let Some(pending) = self.pending.swap_remove(&request) else { return };
                *self.errors_by_kind.entry(failure.kind.as_str()).or_default() += 1;
                let side = self.side(pending.instance);
                if failure.kind == ErrorKind::RateLimited {
                    self.oracle.record_refusal(at, side, &pending.team, pending.tokens);
                }
            }
            _ => {}
        }
    }

    /// Counts a completed request as granted and refunds its unused tokens at the baselines.
    fn finish(&mut self, at: Instant, request: Id) {
        let Some(pending) = self.pending.swap_remove(&request) else { return };
        self.oracle.record_grant();
        let unused = fleet::unused_tokens(request, pending.tokens);
        let side = self.side(pending.instance);
        let name = instance(pending.instance);
        for (baseline, granted) in self.baselines.iter_mut().zip(pending.granted) {
            if granted {
                baseline.refund(at, side, &name, &pending.team, unused);
            }
        }
    }

    fn print(&self) {
        println!(
            "{INSTANCES} instances, {DATACENTRES} data centres, {} teams, {:?}, seed {}, {} deaths, \
             {} requests found no instance",
            self.teams.len(),
            self.length,
            self.seed,
            self.deaths,
            self.unrouted,
        );
        self.oracle.counts.print("handed over");
        self.baselines.iter().for_each(Baseline::print);
        println!(
            "errors by kind {:?}; wrongful by team {:?}",
            self.errors_by_kind, self.oracle.wrongful_by_team
        );
        let seconds = (INSTANCES as f64) * self.length.as_secs_f64();
        println!(
            "all messages a second an instance {:.2}, bytes {:.0} (heartbeats too)",
            self.world.traffic.0 as f64 / seconds,
            self.world.traffic.1 as f64 / seconds,
        );
    }
}
