//! Placement under load and faults: one pool in one data centre, by policy.

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
    object::Name,
    place::Policy,
    request::{Arrival, Id, Target},
    state::Settings,
    store::Call,
};

pub use self::figures::Figures;
use self::{
    figures::Fate,
    workload::{Shape, TEAMS},
};
use super::engine::Fleet;
use crate::world::World;

/// A pool and its demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// The pools of the Board.
    Board,
    /// The pools of the association.
    Association,
    /// A pool of 190 workers.
    LargePool,
}

/// Time for which requests arrive.
const ARRIVALS: Duration = Duration::from_secs(120);
/// Requests that arrive before this are not counted.
const WARM_UP: Duration = Duration::from_secs(20);
/// Time after the last arrival until which answers count.
const WIND_DOWN: Duration = Duration::from_secs(60);
/// Time at which arrivals begin.
const START: Instant = Instant::from_millis(5_000);
/// When a fault begins, after the start of arrivals.
const FAULT_AT: Duration = Duration::from_secs(30);
/// How long a link stalls.
const STALL: Duration = Duration::from_secs(20);
/// Part of the messages that is lost, and that is doubled.
const LOSS: f64 = 0.05;
/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a load report.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Runs at the same time.
const THREADS: usize = 4;
/// The policies compared; the oracle is the last.
const POLICIES: [(&str, Policy, usize); 7] = [
    ("promise", Policy::Promise, 1),
    ("promise, 6 doors", Policy::Promise, 6),
    ("least used", Policy::LeastUsed, 1),
    ("round robin", Policy::RoundRobin, 1),
    ("least load", Policy::LeastLoad, 1),
    ("prefix affinity", Policy::PrefixAffinity, 1),
    ("oracle", Policy::Exact, 1),
];

const MARK_LOAD: u64 = u64::MAX;
const MARK_FAULT: u64 = u64::MAX - 1;
const MARK_MEND: u64 = u64::MAX - 2;

/// What is out of the ordinary in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Arrivals come in bursts.
    Bursts,
    /// Many prompts are long.
    Long,
    /// A decode engine is three times slower.
    Slow,
    /// A decode engine and a prefill engine die.
    Dead,
    /// The link of a prefill engine stalls.
    Stall,
    /// The instance that places the requests dies.
    Takeover,
    /// Links lose and double one message in twenty.
    Loss,
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// The pool and its demand.
    pub site: Site,
    /// Demand as a multiple of capacity.
    pub load: f64,
    /// What is out of the ordinary.
    pub trouble: Trouble,
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Instances that requests come to.
    pub doors: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Runs every case of a site and prints a table.
pub(super) fn run(site: Site, seed: u64) -> anyhow::Result<()> {
    let shape = Shape::new(site, false);
    println!("{site:?}, seed {seed}, capacity {:.1} requests/s", shape.capacity(seed));
    println!("{}", Figures::head());
    let ordinary = [0.7, 1.0, 1.3, 2.0].map(|load| (load, Trouble::None));
    let troubles = [
        Trouble::Bursts,
        Trouble::Long,
        Trouble::Slow,
        Trouble::Dead,
        Trouble::Stall,
        Trouble::Takeover,
        Trouble::Loss,
    ];
    for (load, trouble) in ordinary.into_iter().chain(troubles.map(|it| (1.0, it))) {
        let cases = POLICIES
            .map(|(name, policy, doors)| (name, Case { site, load, trouble, policy, doors, seed }));
        for (name, figures) in run_all(&cases) {
            println!("{load:4.1} {:8} {name:16} {figures}", format!("{trouble:?}"));
        }
    }
    Ok(())
}

fn run_all(cases: &[(&'static str, Case)]) -> Vec<(&'static str, Figures)> {
    let queue: Mutex<VecDeque<usize>> = Mutex::new((0..cases.len()).collect());
    let out: Mutex<Vec<(usize, Figures)>> = Mutex::new(Vec::new());
    let next = || queue.lock().ok()?.pop_front();
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(index) = next() {
                    let figures = cases[index].1.run();
                    out.lock().expect("no run panics").push((index, figures));
                }
            });
        }
    });
    let mut out = out.into_inner().expect("no run panics");
    out.sort_by_key(|it| it.0);
    out.into_iter().map(|(index, figures)| (cases[index].0, figures)).collect()
}

impl Case {
    /// Runs the case and returns its figures.
    pub fn run(self) -> Figures {
        Run::new(self).run()
    }
}

struct Run {
    case: Case,
    shape: Shape,
    world: World<Fleet>,
    rng: ChaCha8Rng,
    fates: IndexMap<Id, Fate>,
    reports: VecDeque<Vec<Event>>,
}

impl Run {
    fn new(case: Case) -> Run {
        let shape = Shape::new(case.site, case.trouble == Trouble::Long);
        let set = shape.set(case.policy);
        let fleet = Fleet::new(&set.pools["pool"]);
        let mut world = World::new(case.seed, fleet);
        let problems = siskinstile_core::check::check(&set);
        assert!(problems.is_empty(), "{problems:?}");
        for (kind, name, value) in set.values() {
            world.edit(&Call::Put { kind: kind.as_str().into(), name, value, if_version: Some(0) });
        }
        for door in 0..case.doors {
            world.start(settings(door, case.doors), 0);
        }
        let rng = ChaCha8Rng::seed_from_u64(case.seed);
        Run { case, shape, world, rng, fates: IndexMap::new(), reports: VecDeque::new() }
    }

    fn run(mut self) -> Figures {
        let end = START + ARRIVALS + WIND_DOWN;
        self.plan_arrivals();
        self.world.set_timer(START, MARK_LOAD);
        self.world.set_timer(START + FAULT_AT, MARK_FAULT);
        self.world.set_timer(START + FAULT_AT + STALL, MARK_MEND);
        while let Some(mark) = self.world.run(end) {
            match mark {
                MARK_LOAD => self.report_loads(),
                MARK_FAULT => self.begin_fault(),
                MARK_MEND => self.world.endpoints.mend("prefill-0"),
                id => self.arrive(Id(id)),
            }
            self.collect();
        }
        self.collect();
        let from = START + WARM_UP;
        let capacity = self.shape.capacity(self.case.seed);
        let counts = &self.world.endpoints.counts;
        let length = ARRIVALS - WARM_UP;
        Figures::new(&self.fates, counts, self.world.traffic, from, length, capacity)
    }

    fn plan_arrivals(&mut self) {
        let rate = self.shape.capacity(self.case.seed) * self.case.load;
        let mut seconds = 0.0;
        let mut id = 0;
        while seconds < ARRIVALS.as_secs_f64() {
            let factor = match self.case.trouble {
                Trouble::Bursts if seconds % 10.0 < 2.0 => 2.5,
                Trouble::Bursts => 0.625,
                _ => 1.0,
            };
            seconds += -(1.0 - self.rng.random::<f64>()).ln() / (rate * factor);
            id += 1;
            let draw = self.shape.draw(&mut self.rng, id);
            let at = START + Duration::from_secs_f64(seconds);
            self.world.set_timer(at, id);
            self.world.endpoints.demands.insert(Id(id), draw.demand);
            self.fates.insert(Id(id), Fate::new(at, draw.team, draw.patient, draw.first_token));
        }
    }

    fn arrive(&mut self, id: Id) {
        let (Some(demand), Some(fate)) =
            (self.world.endpoints.demands.get(&id), self.fates.get(&id))
        else {
            return;
        };
        let exact = self.case.policy == Policy::Exact;
        let arrival = Arrival {
            id,
            key: Some(Secret::new(format!("{}-key.secret", TEAMS[fate.team].name))),
            target: Target::Model(if fate.patient { "review" } else { "assist" }.into()),
            idempotency_key: None,
            digest: 0,
            prompt_tokens: demand.prompt,
            max_tokens: if exact { demand.output } else { demand.most },
            prefixes: demand.prefixes.clone(),
        };
        if exact && let Some(demand) = self.world.endpoints.demands.get_mut(&id) {
            demand.most = demand.output;
        }
        let door = door(id.0 as usize % self.case.doors);
        if !self.world.send_event(&door, Event::Arrival(arrival.clone())) {
            self.world.send_event(&door_after(&door, self.case.doors), Event::Arrival(arrival));
        }
    }

    fn report_loads(&mut self) {
        self.reports.push_back(self.world.endpoints.loads());
        let lag = match self.case.policy {
            Policy::Exact => 0,
            _ => REPORT_LAG.as_millis() / REPORT_INTERVAL.as_millis(),
        };
        if self.reports.len() > lag as usize {
            for event in self.reports.pop_front().unwrap_or_default() {
                for index in 0..self.case.doors {
                    self.world.send_event(&door(index), event.clone());
                }
            }
        }
        self.world.set_timer(self.world.now() + REPORT_INTERVAL, MARK_LOAD);
    }

    fn begin_fault(&mut self) {
        let now = self.world.now();
        let fleet = &mut self.world.endpoints;
        match self.case.trouble {
            Trouble::Slow => fleet.slow(now, "decode-0", 3.0),
            Trouble::Dead => {
                fleet.kill(now, "decode-0");
                fleet.kill(now, "prefill-0");
            }
            Trouble::Stall => fleet.stall("prefill-0"),
            Trouble::Takeover => self.kill_dispatcher(),
            Trouble::Loss => {
                let link = &mut self.world.links.default_link;
                (link.loss_rate, link.duplicate_rate) = (LOSS, LOSS);
            }
            Trouble::None | Trouble::Bursts | Trouble::Long => {}
        }
    }

    /// Ends the instance that places the requests; those that came to it end with it.
    fn kill_dispatcher(&mut self) {
        let all = (0..self.case.doors).map(door);
        let first = all.max_by_key(|it| member::rank(it, "dispatch:pool"));
        let Some(name) = first.filter(|_| self.case.doors > 1) else { return };
        for (id, fate) in &mut self.fates {
            if fate.at <= self.world.now() && *door(id.0 as usize % self.case.doors) == *name {
                fate.lost = true;
            }
        }
        self.world.kill(&name);
        self.world.store.deregister(&name);
    }

    fn collect(&mut self) {
        for output in std::mem::take(&mut self.world.outputs) {
            let (id, fate) = match output.effect {
                Effect::Finish { request } => (request, figures::End::Answered),
                Effect::Fail { request, failure } => (request, figures::End::Failed(failure.kind)),
                _ => continue,
            };
            if let Some(it) = self.fates.get_mut(&id) {
                it.ends.push(fate);
            }
        }
    }
}

fn settings(index: usize, fleet: usize) -> Settings {
    Settings {
        name: door(index),
        incarnation: 1,
        datacentre: "dc".into(),
        fleet_size: fleet as u64,
        balancer_lag: Duration::from_secs(1),
    }
}

fn door(index: usize) -> Name {
    format!("door-{index}").into()
}

/// Returns the door that the balancer takes when one is dead.
fn door_after(name: &str, doors: usize) -> Name {
    let next = (0..doors).position(|it| *door(it) == *name).map_or(0, |it| (it + 1) % doors);
    door(next)
}

/// A shared list of prefix hashes.
type Prefixes = Arc<[u64]>;
