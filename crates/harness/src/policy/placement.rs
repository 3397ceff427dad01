//! Compares placement policies under load and faults, for one pool in one data centre.

mod figures;
mod workload;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    Effect, Event, Instant,
    key::Secret,
    member,
    object::{Name, Policy},
    request::{Arrival, Id, Target},
    state::Settings,
    store::Call,
};

pub use self::figures::Figures;
use self::{
    figures::RequestRecord,
    workload::{TEAMS, Workload},
};
use super::engine::Engines;
use crate::world::World;

/// Selects the simulated pool and its demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// The pool of the Board: 3 prefill and 9 decode engines, 60 % patient requests.
    Board,
    /// The pool of the association: 5 prefill and 15 decode engines, 10 % patient requests.
    Association,
    /// A pool of 45 prefill and 145 decode engines, 50 % patient requests.
    LargePool,
}

/// Length of the period in which requests arrive.
const ARRIVALS: Duration = Duration::from_secs(120);
/// Requests that arrive within this time after [`START`] are not counted.
const WARM_UP: Duration = Duration::from_secs(20);
/// Time after the last arrival until which the run continues, so that requests can complete.
const WIND_DOWN: Duration = Duration::from_secs(60);
/// Time of the first arrivals, after the instances have started.
const START: Instant = Instant::from_millis(5_000);
/// Time from [`START`] to the beginning of the fault.
const FAULT_AT: Duration = Duration::from_secs(30);
/// Time after which a stalled link recovers.
const STALL_DURATION: Duration = Duration::from_secs(20);
/// Share of the messages that are lost, and also share that are duplicated, under
/// [`Disturbance::Loss`].
const LOSS_RATE: f64 = 0.05;
/// Interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay with which a load report reaches the instances.
const REPORT_DELAY: Duration = Duration::from_secs(2);
/// Number of cases that run in parallel.
const THREADS: usize = 4;
/// The policies to compare, with their label in the table and the number of instances. The last
/// one, the oracle, receives the output length of each request and undelayed load reports.
const POLICIES: [(&str, Policy, usize); 7] = [
    ("promise", Policy::Promise, 1),
    ("promise, 6 doors", Policy::Promise, 6),
    ("least used", Policy::LeastUsed, 1),
    ("round robin", Policy::RoundRobin, 1),
    ("least load", Policy::LeastLoad, 1),
    ("prefix affinity", Policy::PrefixAffinity, 1),
    ("oracle", Policy::Exact, 1),
];

/// Timers of the driver; all other timer values are the identifiers of arriving requests.
const TIMER_LOAD: u64 = u64::MAX;
const TIMER_FAULT: u64 = u64::MAX - 1;
const TIMER_RECOVERY: u64 = u64::MAX - 2;

/// Deviation from normal operation during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// No deviation.
    None,
    /// Requests arrive in bursts: for 2 s of every 10 s at 2.5 times the mean rate.
    Bursts,
    /// A larger share of the prompts is long.
    Long,
    /// A decode engine becomes three times slower.
    Slow,
    /// A decode engine and a prefill engine die.
    Dead,
    /// The link of a prefill engine stalls for 20 s.
    Stall,
    /// The instance that places the requests dies, and another one takes over. Has no effect with a
    /// single instance.
    Takeover,
    /// Links lose one message in twenty and duplicate one in twenty.
    Loss,
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// The pool and its demand.
    pub site: Site,
    /// Arrival rate as a multiple of the pool's capacity.
    pub load: f64,
    /// Deviation from normal operation.
    pub disturbance: Disturbance,
    /// Policy by which endpoints are chosen.
    pub policy: Policy,
    /// Number of instances; the requests are distributed round-robin.
    pub instances: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Runs all policies at a site, under several loads and disturbances, and prints a table.
pub(super) fn run(site: Site, seed: u64) -> anyhow::Result<()> {
    let workload = Workload::new(site, false);
    println!("{site:?}, seed {seed}, capacity {:.1} requests/s", workload.capacity(seed));
    println!("{}", Figures::head());
    let loads = [0.7, 1.0, 1.3, 2.0].map(|load| (load, Disturbance::None));
    let disturbances = [
        Disturbance::Bursts,
        Disturbance::Long,
        Disturbance::Slow,
        Disturbance::Dead,
        Disturbance::Stall,
        Disturbance::Takeover,
        Disturbance::Loss,
    ];
    for (load, disturbance) in loads.into_iter().chain(disturbances.map(|it| (1.0, it))) {
        let cases = POLICIES.map(|(name, policy, instances)| {
            (name, Case { site, load, disturbance, policy, instances, seed })
        });
        for (name, figures) in run_parallel(&cases) {
            println!("{load:4.1} {:8} {name:16} {figures}", format!("{disturbance:?}"));
        }
    }
    Ok(())
}

fn run_parallel(cases: &[(&'static str, Case)]) -> Vec<(&'static str, Figures)> {
    let queue: Mutex<VecDeque<usize>> = Mutex::new((0..cases.len()).collect());
    let results: Mutex<Vec<(usize, Figures)>> = Mutex::new(Vec::new());
    let next = || queue.lock().ok()?.pop_front();
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(index) = next() {
                    let figures = cases[index].1.run();
                    results.lock().expect("no run panics").push((index, figures));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no run panics");
    results.sort_by_key(|it| it.0);
    results.into_iter().map(|(index, figures)| (cases[index].0, figures)).collect()
}

impl Case {
    /// Runs the case and returns its figures; the same case always gives the same figures.
    pub fn run(self) -> Figures {
        Run::new(self).run()
    }
}

struct Run {
    case: Case,
    workload: Workload,
    world: World<Engines>,
    rng: ChaCha8Rng,
    records: IndexMap<Id, RequestRecord>,
    load_reports: VecDeque<Vec<Event>>,
}

impl Run {
    fn new(case: Case) -> Run {
        let workload = Workload::new(case.site, case.disturbance == Disturbance::Long);
        let set = workload.set(case.policy);
        let engines = Engines::new(&set.pools["pool"]);
        let mut world = World::new(case.seed, engines);
        let problems = siskinstile_core::check::check(&set);
        assert!(problems.is_empty(), "{problems:?}");
        for (kind, name, value) in set.values() {
            world.edit(&Call::Put { kind: kind.as_str().into(), name, value, if_version: Some(0) });
        }
        for index in 0..case.instances {
            world.start(settings(index, case.instances), 0);
        }
        let rng = ChaCha8Rng::seed_from_u64(case.seed);
        Run { case, workload, world, rng, records: IndexMap::new(), load_reports: VecDeque::new() }
    }

    fn run(mut self) -> Figures {
        let end = START + ARRIVALS + WIND_DOWN;
        self.plan_arrivals();
        self.world.set_timer(START, TIMER_LOAD);
        self.world.set_timer(START + FAULT_AT, TIMER_FAULT);
        self.world.set_timer(START + FAULT_AT + STALL_DURATION, TIMER_RECOVERY);
        while let Some(timer) = self.world.run(end) {
            match timer {
                TIMER_LOAD => self.report_loads(),
                TIMER_FAULT => self.begin_fault(),
                TIMER_RECOVERY => self.world.endpoints.restore_link("prefill-0"),
                id => self.send_request(Id(id)),
            }
            self.collect_outcomes();
        }
        self.collect_outcomes();
        let counted_from = START + WARM_UP;
        let capacity = self.workload.capacity(self.case.seed);
        let counts = &self.world.endpoints.counts;
        let length = ARRIVALS - WARM_UP;
        Figures::new(&self.records, counts, self.world.traffic, counted_from, length, capacity)
    }

    fn plan_arrivals(&mut self) {
        let rate = self.workload.capacity(self.case.seed) * self.case.load;
        let mut seconds = 0.0;
        let mut id = 0;
        while seconds < ARRIVALS.as_secs_f64() {
            let factor = match self.case.disturbance {
                Disturbance::Bursts if seconds % 10.0 < 2.0 => 2.5,
                Disturbance::Bursts => 0.625,
                _ => 1.0,
            };
            seconds += -(1.0 - self.rng.random::<f64>()).ln() / (rate * factor);
            id += 1;
            let sample = self.workload.sample(&mut self.rng, id);
            let at = START + Duration::from_secs_f64(seconds);
            self.world.set_timer(at, id);
            self.world.endpoints.demands.insert(Id(id), sample.demand);
            self.records.insert(
                Id(id),
                RequestRecord::new(at, sample.team, sample.patient, sample.first_token_target),
            );
        }
    }

    fn send_request(&mut self, id: Id) {
        let (Some(demand), Some(record)) =
            (self.world.endpoints.demands.get(&id), self.records.get(&id))
        else {
            return;
        };
        let exact = self.case.policy == Policy::Exact;
        let arrival = Arrival {
            id,
            key: Some(Secret::new(format!("{}-key.secret", TEAMS[record.team].name))),
            target: Target::Model(if record.patient { "review" } else { "assist" }.into()),
            idempotency_key: None,
            digest: 0,
            prompt_tokens: demand.prompt_tokens,
            max_tokens: if exact { demand.output_tokens } else { demand.max_tokens },
            prefixes: demand.prefixes.clone(),
        };
        if exact && let Some(demand) = self.world.endpoints.demands.get_mut(&id) {
            demand.max_tokens = demand.output_tokens;
        }
        let instance = instance_name(id.0 as usize % self.case.instances);
        if !self.world.send_event(&instance, Event::Arrival(arrival.clone())) {
            self.world.send_event(
                &next_instance(&instance, self.case.instances),
                Event::Arrival(arrival),
            );
        }
    }

    fn report_loads(&mut self) {
        self.load_reports.push_back(self.world.endpoints.loads());
        let delayed_reports = match self.case.policy {
            Policy::Exact => 0,
            _ => REPORT_DELAY.as_millis() / REPORT_INTERVAL.as_millis(),
        };
        if self.load_reports.len() > delayed_reports as usize {
            for event in self.load_reports.pop_front().unwrap_or_default() {
                for index in 0..self.case.instances {
                    self.world.send_event(&instance_name(index), event.clone());
                }
            }
        }
        self.world.set_timer(self.world.now() + REPORT_INTERVAL, TIMER_LOAD);
    }

    fn begin_fault(&mut self) {
        let now = self.world.now();
        let engines = &mut self.world.endpoints;
        match self.case.disturbance {
            Disturbance::Slow => engines.slow_down(now, "decode-0", 3.0),
            Disturbance::Dead => {
                engines.kill(now, "decode-0");
                engines.kill(now, "prefill-0");
            }
            Disturbance::Stall => engines.stall_link("prefill-0"),
            Disturbance::Takeover => self.kill_dispatcher(),
            Disturbance::Loss => {
                let link = &mut self.world.links.default_link;
                (link.loss_rate, link.duplicate_rate) = (LOSS_RATE, LOSS_RATE);
            }
            Disturbance::None | Disturbance::Bursts | Disturbance::Long => {}
        }
    }

    /// Kills the instance that places the requests, unless it is the only one. The requests that it
    /// has received so far may have no outcome.
    fn kill_dispatcher(&mut self) {
        let instances = (0..self.case.instances).map(instance_name);
        let dispatcher = instances.max_by_key(|it| member::rank(it, "dispatch:pool"));
        let Some(name) = dispatcher.filter(|_| self.case.instances > 1) else { return };
        for (id, record) in &mut self.records {
            if record.arrived_at <= self.world.now()
                && *instance_name(id.0 as usize % self.case.instances) == *name
            {
                record.instance_killed = true;
            }
        }
        self.world.kill(&name);
        self.world.store.deregister(&name);
    }

    fn collect_outcomes(&mut self) {
        for output in std::mem::take(&mut self.world.outputs) {
            let (id, outcome) = match output.effect {
                Effect::Finish { request } => (request, figures::Outcome::Answered),
                Effect::Fail { request, failure } => {
                    (request, figures::Outcome::Failed(failure.kind))
                }
                _ => continue,
            };
            if let Some(it) = self.records.get_mut(&id) {
                it.outcomes.push(outcome);
            }
        }
    }
}

fn settings(index: usize, fleet_size: usize) -> Settings {
    Settings {
        name: instance_name(index),
        incarnation: 1,
        datacentre: "dc".into(),
        fleet_size: fleet_size as u64,
        balancer_lag: Duration::from_secs(1),
    }
}

fn instance_name(index: usize) -> Name {
    format!("door-{index}").into()
}

/// Returns the instance that the load balancer uses when the instance `name` is dead.
fn next_instance(name: &str, instances: usize) -> Name {
    let next = (0..instances)
        .position(|it| *instance_name(it) == *name)
        .map_or(0, |it| (it + 1) % instances);
    instance_name(next)
}

/// A shared list of prefix hashes.
type Prefixes = Arc<[u64]>;
