//! Six instances of the real reducer in three data centres, with the teams of the association.

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

use super::{baseline::Baseline, demand, judge::Judge};
use crate::world::{PLATFORM, World};
use fleet::{DATACENTRES, Engine, INSTANCES, datacentre, instance, settings};

/// Share of its rate that a team uses on average.
const LOAD: f64 = 0.7;
/// Shares of the requests by data centre.
const SKEW: [f64; 3] = [0.6, 0.3, 0.1];
/// Time between two bursts of a team, and the share of its burst that one asks for.
const BURST_INTERVAL: Duration = Duration::from_secs(30);
const BURST_SHARE: f64 = 0.25;
/// Time between two deaths, and until the dead instance is back.
const DEATH_INTERVAL: Duration = Duration::from_secs(60);
const DEAD_FOR: Duration = Duration::from_secs(5);
/// The data centre that is cut off, and when.
const CUT: usize = 2;
const CUT_FROM: Duration = Duration::from_secs(3_600);
const CUT_UNTIL: Duration = Duration::from_secs(7_200);
const QUIET_RUN: Duration = Duration::from_secs(600);
const FAULTS_RUN: Duration = Duration::from_secs(3 * 3_600);
/// Time until the fleet serves.
const WARM_UP: Duration = Duration::from_secs(5);

/// Runs it without faults and prints the figures.
pub fn quiet(seed: u64) -> anyhow::Result<()> {
    Run::new(seed, QUIET_RUN, false)?.go();
    Ok(())
}

/// Runs it with an instance dying each minute and a data centre cut off for an hour out of three.
pub fn faults(seed: u64) -> anyhow::Result<()> {
    Run::new(seed, FAULTS_RUN, true)?.go();
    Ok(())
}

struct Open {
    instance: usize,
    team: Arc<Team>,
    tokens: u64,
    granted: [bool; 3],
}

/// What the driver does at a mark.
#[derive(Clone, Copy)]
enum Mark {
    Arrival { team: usize },
    Burst { team: usize },
    Death,
    Back { instance: usize },
    Cut(bool),
}

struct Run {
    world: World<Engine>,
    rng: ChaCha8Rng,
    teams: Vec<Arc<Team>>,
    marks: Vec<Mark>,
    alive: Vec<bool>,
    /// When an instance was last seen to serve.
    serving: Vec<bool>,
    cut: bool,
    next: u64,
    open: IndexMap<Id, Open>,
    ours: Judge,
    baselines: [Baseline; 3],
    length: Duration,
    faults: bool,
    seed: u64,
    deaths: u64,
    unserved: u64,
    by_kind: IndexMap<&'static str, u64>,
}

impl Run {
    fn new(seed: u64, length: Duration, faults: bool) -> anyhow::Result<Run> {
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
        let drift = if faults { [900, -900, 0, 500, -500, 300] } else { [0; 6] };
        (0..INSTANCES).for_each(|index| world.start(settings(index), drift[index]));
        let teams = set.teams.values().cloned().map(Arc::new).collect();
        Ok(Run {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            teams,
            marks: Vec::new(),
            alive: vec![true; INSTANCES],
            serving: vec![true; INSTANCES],
            cut: false,
            next: 0,
            open: IndexMap::new(),
            ours: Judge::default(),
            baselines: [
                Baseline::even(INSTANCES as u64),
                Baseline::uncoordinated(),
                Baseline::central(),
            ],
            length,
            faults,
            seed,
            deaths: 0,
            unserved: 0,
            by_kind: IndexMap::new(),
        })
    }

    fn go(&mut self) {
        let start = Instant::default() + WARM_UP;
        self.world.run(start);
        for team in 0..self.teams.len() {
            self.mark(start, Mark::Arrival { team });
            self.mark(start + BURST_INTERVAL / (team as u32 + 1), Mark::Burst { team });
        }
        if self.faults {
            self.mark(start + DEATH_INTERVAL, Mark::Death);
            self.mark(start + CUT_FROM, Mark::Cut(true));
            self.mark(start + CUT_UNTIL, Mark::Cut(false));
        }
        let end = start + self.length;
        while let Some(mark) = self.world.run(end) {
            self.judge();
            self.act(self.marks[mark as usize]);
        }
        self.judge();
        self.print();
    }

    fn mark(&mut self, at: Instant, mark: Mark) {
        self.marks.push(mark);
        self.world.set_timer(at, self.marks.len() as u64 - 1);
    }

    fn act(&mut self, mark: Mark) {
        let now = self.world.now();
        match mark {
            Mark::Arrival { team } => {
                self.arrive(team);
                let (least, most) = fleet::costs(&self.teams[team]);
                let per_second =
                    self.teams[team].rate as f64 * LOAD / demand::mean_cost(least, most);
                let gap = demand::gap(&mut self.rng, per_second);
                self.mark(now + gap, mark);
            }
            Mark::Burst { team } => {
                let (least, most) = fleet::costs(&self.teams[team]);
                let tokens = self.teams[team].burst as f64 * BURST_SHARE;
                let count = (tokens / demand::mean_cost(least, most)) as usize;
                (0..count).for_each(|_| self.arrive(team));
                self.mark(now + BURST_INTERVAL, mark);
            }
            Mark::Death => {
                self.die();
                self.mark(now + DEATH_INTERVAL, Mark::Death);
            }
            Mark::Back { instance: index } => {
                self.alive[index] = true;
                self.world.restart(&instance(index));
            }
            Mark::Cut(cut) => self.cut(cut),
        }
    }

    fn arrive(&mut self, team: usize) {
        let team = self.teams[team].clone();
        let (least, most) = fleet::costs(&team);
        let tokens = demand::cost(&mut self.rng, least, most);
        let side = demand::choose(&mut self.rng, &SKEW);
        let doors: Vec<usize> =
            (0..INSTANCES).filter(|it| datacentre(*it) == side && self.serves(*it)).collect();
        if doors.is_empty() {
            self.unserved += 1;
            return;
        }
        let index = doors[self.rng.random_range(0..doors.len())];
        self.send(index, team, tokens);
    }

    fn send(&mut self, index: usize, team: Arc<Team>, tokens: u64) {
        self.next += 1;
        let (id, now, side) = (Id(self.next), self.world.now(), self.side(index));
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
        self.open.insert(id, Open { instance: index, team, tokens, granted });
        self.world.send_event(&name, Event::Arrival(arrival));
    }

    /// Returns whether the balancer sends requests to an instance.
    fn serves(&self, index: usize) -> bool {
        self.alive[index] && self.serving[index]
    }

    fn side(&self, index: usize) -> usize {
        usize::from(self.cut && datacentre(index) == CUT)
    }

    /// Ends an instance that serves; while cut off the others die, since an instance that starts
    /// in a cut-off data centre has no source of the configuration in this version.
    fn die(&mut self) {
        let cut = self.cut;
        let left: Vec<usize> = (0..INSTANCES)
            .filter(|it| self.serves(*it) && !(cut && datacentre(*it) == CUT))
            .collect();
        if left.is_empty() {
            return;
        }
        let index = left[self.rng.random_range(0..left.len())];
        self.deaths += 1;
        self.alive[index] = false;
        self.serving[index] = false;
        self.world.kill(&instance(index));
        self.open.retain(|_, it| it.instance != index);
        self.baselines.iter_mut().for_each(|it| it.restart(&instance(index)));
        let back = self.world.now() + DEAD_FOR;
        self.mark(back, Mark::Back { instance: index });
    }

    fn cut(&mut self, cut: bool) {
        self.cut = cut;
        for index in (0..INSTANCES).filter(|it| datacentre(*it) == CUT) {
            self.world.links.set_cut(&instance(index), PLATFORM, cut);
            for other in (0..INSTANCES).filter(|it| datacentre(*it) != CUT) {
                self.world.links.set_cut(&instance(index), &instance(other), cut);
            }
        }
        let part = WHOLE_PPM / DATACENTRES as u64;
        let parts = if cut { vec![WHOLE_PPM - part, part] } else { Vec::new() };
        self.ours.cut(&parts);
        self.baselines.iter_mut().for_each(|it| it.judge.cut(&parts));
    }

    /// Takes what was granted, refused and ended since the last mark, in order of time.
    fn judge(&mut self) {
        let mut grants = std::mem::take(&mut self.world.grants).into_iter().peekable();
        for output in std::mem::take(&mut self.world.outputs) {
            while let Some((at, name, entry)) = grants.next_if(|it| it.0 <= output.at) {
                self.entry(at, &name, &entry.team, entry.tokens);
            }
            self.output(output.at, &output.instance, output.effect);
        }
        grants.for_each(|(at, name, entry)| self.entry(at, &name, &entry.team, entry.tokens));
    }

    fn entry(&mut self, at: Instant, instance: &str, team: &Name, tokens: i64) {
        let side = self.side(fleet::index(instance));
        let team = self.teams.iter().find(|it| it.name == *team).cloned();
        team.iter().for_each(|team| self.ours.entry(at, side, team, tokens));
    }

    fn output(&mut self, at: Instant, instance: &str, effect: Effect) {
        match effect {
            Effect::Ready(ready) => self.serving[fleet::index(instance)] = ready,
            Effect::Finish { request } => self.ended(at, request),
            Effect::Fail { request, failure } => {
                let Some(open) = self.open.swap_remove(&request) else { return };
                *self.by_kind.entry(failure.kind.as_str()).or_default() += 1;
                let side = self.side(open.instance);
                if failure.kind == ErrorKind::RateLimited {
                    self.ours.refused(at, side, &open.team, open.tokens);
                }
            }
            _ => {}
        }
    }

    /// Gives back at the baselines what a request did not use.
    fn ended(&mut self, at: Instant, request: Id) {
        let Some(open) = self.open.swap_remove(&request) else { return };
        self.ours.granted();
        let unused = fleet::unused(request, open.tokens);
        let side = self.side(open.instance);
        let name = instance(open.instance);
        for (baseline, granted) in self.baselines.iter_mut().zip(open.granted) {
            if granted {
                baseline.give_back(at, side, &name, &open.team, unused);
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
            self.unserved,
        );
        self.ours.counts.print("handed over");
        self.baselines.iter().for_each(Baseline::print);
        println!("errors by kind {:?}; wrongful by team {:?}", self.by_kind, self.ours.by_team);
        let seconds = (INSTANCES as f64) * self.length.as_secs_f64();
        println!(
            "all messages a second an instance {:.2}, bytes {:.0} (heartbeats too)",
            self.world.traffic.0 as f64 / seconds,
            self.world.traffic.1 as f64 / seconds,
        );
    }
}
