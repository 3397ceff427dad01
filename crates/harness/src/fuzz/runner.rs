//! Runs a case on the world.

use std::{path::Path, sync::Arc, time::Duration};

use siskinstile_core::{
    Event, Instant,
    fault::Fault,
    key::Secret,
    object::{Kind as Object, Name, Set},
    request::{Arrival, Id, Target},
    state::Settings,
    store::Call,
};

use super::{
    case::{Case, INSTANCES, Kind, Op},
    model::Model,
    oracle::{Oracle, Violation},
};
use crate::world::{Link, Links, PLATFORM, World};

/// Time in which the instances start and take the configuration.
const START_TIME: Duration = Duration::from_secs(4);
/// Time after all faults in which every request is answered.
const HEAL_TIME: Duration = Duration::from_secs(90);
/// Time between two checks.
const CHECK_TIME: Duration = Duration::from_millis(500);
/// Time after its death in which a dead instance may leave the platform's list.
const LIST_LAG: Duration = Duration::from_secs(2);
/// Time after all faults in which an outcome that was lost is written again.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Time after a fault in which an instance may not have caught up.
const TELL_MARGIN: Duration = Duration::from_secs(4);
/// Time for which the balancer goes on sending to an instance that drains.
const BALANCER_LAG: Duration = Duration::from_secs(1);
const CALLER_KEY: &str = "field-assessors-key.demo-yek-srossessa-dleif";
const DATACENTRE: &str = "lk-west-1";

/// What a run came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Steps that the reducers took.
    pub steps: u64,
    /// What did not hold.
    pub violations: Vec<Violation>,
}

/// Runs a case.
pub fn run(case: &Case, injected: Option<Fault>) -> Outcome {
    let mut runner = Runner::start(case.seed, injected);
    for op in &case.ops {
        runner.apply(op);
        runner.watch();
        if !runner.oracle.violations.is_empty() {
            return runner.end();
        }
    }
    runner.heal();
    runner.end()
}

struct Runner {
    world: World<Model>,
    oracle: Oracle,
    set: Set,
    bad_until: Vec<Option<Instant>>,
    unlist: Vec<(Instant, Name)>,
    next_id: u64,
    /// When the balancer stops sending to each instance, because it drains.
    closed: Vec<Option<Instant>>,
    /// When the last pause ends.
    paused_until: Instant,
}

fn name(number: usize) -> Name {
    Name::from(format!("instance-{number}"))
}

fn settings(number: usize) -> Settings {
    Settings {
        name: name(number),
        incarnation: 1,
        datacentre: DATACENTRE.into(),
        fleet_size: 1,
        balancer_lag: BALANCER_LAG,
    }
}

/// Returns the Board's objects, with all endpoints in one data centre and two plain ones.
fn objects() -> Set {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/board");
    let mut set = siskinctl::files::load(&dir).expect("the example is well formed").0;
    for endpoint in set.pools.values_mut().flat_map(|pool| &mut pool.endpoints) {
        endpoint.datacentre = DATACENTRE.into();
    }
    if let Some(pool) = set.pools.get_mut("registry") {
        let mut second = pool.endpoints[0].clone();
        second.name = "registry-2".into();
        second.address = "127.0.0.1:7106".into();
        pool.endpoints.push(second);
    }
    set
}

impl Runner {
    fn start(seed: u64, injected: Option<Fault>) -> Runner {
        let mut world = World::new(seed, Model::new(seed));
        world.injected = injected;
        let set = objects();
        for (kind, name, value) in set.values() {
            let kind = kind.as_str().into();
            world.edit(&Call::Put { kind, name, value, if_version: Some(0) });
        }
        for number in 0..INSTANCES {
            world.start(settings(number), 0);
        }
        let bad_until = vec![None; INSTANCES];
        let oracle = Oracle::default();
        let mut runner = Runner {
            world,
            oracle,
            set,
            bad_until,
            unlist: Vec::new(),
            next_id: seed << 20,
            closed: vec![None; INSTANCES],
            paused_until: Instant::default(),
        };
        runner.wait(START_TIME);
        runner
    }

    fn end(mut self) -> Outcome {
        let violations = std::mem::take(&mut self.oracle.violations);
        Outcome { steps: self.world.steps, violations }
    }

    fn alive(&self, at: usize) -> bool {
        self.world.state(&name(at)).is_some()
    }

    fn disturb(&mut self, at: usize, time: Duration) {
        let until = self.world.now() + time;
        self.oracle.disturb(until, &name(at));
    }

    fn apply(&mut self, op: &Op) {
        let now = self.world.now();
        match *op {
            Op::Wait(ms) => self.wait(Duration::from_millis(ms)),
            Op::Submit { at, kind, key, body, tokens } => {
                self.submit(at, kind, key, body, tokens);
            }
            Op::Leave(nth) => self.leave(nth),
            Op::Kill { at, listed } => self.kill(at, listed),
            Op::Restart(at) if !self.alive(at) => {
                self.world.restart(&name(at));
                self.oracle.stops.swap_remove(&name(at));
                self.closed[at] = None;
                self.bad_until[at] = None;
                self.disturb(at, TELL_MARGIN);
            }
            Op::Restart(_) => {}
            Op::Pause { at, ms } => {
                let time = Duration::from_millis(ms);
                self.world.pause(&name(at), time);
                self.paused_until = self.paused_until.max(now + time);
                self.disturb(at, time + TELL_MARGIN);
            }
            Op::Link { from, to, loss, twice, most_ms, cut } => {
                let link = link(loss, twice, most_ms, cut);
                *self.world.links.between(&name(from), &name(to)) = link;
                self.mark_bad(from);
                self.mark_bad(to);
            }
            Op::Platform { at, outward, loss, most_ms, cut } => {
                let (from, to) = match outward {
                    true => (name(at), Name::from(PLATFORM)),
                    false => (Name::from(PLATFORM), name(at)),
                };
                *self.world.links.between(&from, &to) = link(loss, 0, most_ms, cut);
            }
            Op::Mend => self.mend(),
            Op::Trouble(percent) => self.world.endpoints.trouble = percent,
            Op::Down { endpoint, ms } => {
                let endpoint = self.endpoint(endpoint);
                self.world.endpoints.take_down(&endpoint, now + Duration::from_millis(ms));
            }
            Op::Mark { endpoint, leaving } => self.mark(endpoint, leaving),
            Op::Drain(at) => {
                self.world.send_event(&name(at), Event::Drain);
                self.closed[at].get_or_insert(now + BALANCER_LAG);
            }
        }
    }

    fn endpoint(&self, number: usize) -> Name {
        let endpoints = self.set.pools.values().flat_map(|pool| &pool.endpoints);
        endpoints.map(|it| it.name.clone()).nth(number).unwrap_or_else(|| "none".into())
    }

    fn mark_bad(&mut self, at: usize) {
        self.bad_until[at] = Some(self.world.now());
    }

    fn mend(&mut self) {
        self.world.links = Links::default();
        for at in 0..INSTANCES {
            let dead = !self.alive(at);
            if self.bad_until[at].take_if(|_| !dead).is_some() {
                self.disturb(at, TELL_MARGIN);
            }
        }
    }

    fn submit(&mut self, at: usize, kind: Kind, key: Option<u64>, body: u64, tokens: u64) -> Id {
        self.next_id += 1;
        let id = Id(self.next_id);
        let path = |method: &str| Target::Path {
            method: method.into(),
            path: "/registry/licences".into(),
        };
        let target = match kind {
            Kind::Completion => Target::Model("assessor-1".into()),
            Kind::Lookup => path("GET"),
            Kind::Issue => path("POST"),
        };
        let arrival = Arrival {
            id,
            key: Some(Secret::new(CALLER_KEY)),
            target,
            idempotency_key: key.map(|key| Name::from(format!("{kind:?}-{key}"))),
            digest: body,
            prompt_tokens: 100,
            max_tokens: tokens,
            prefixes: Arc::new([]),
        };
        let closed = self.closed[at].is_some_and(|since| since <= self.world.now());
        if !closed && self.world.send_event(&name(at), Event::Arrival(arrival)) {
            self.world.endpoints.lengths.insert(id, tokens);
            self.oracle.ask(id, &name(at), kind, key);
        }
        id
    }

    fn leave(&mut self, nth: usize) {
        let open = self.oracle.asked.iter().filter(|(_, it)| it.ended.is_none());
        let open = open.map(|(id, it)| (*id, it.instance.clone())).nth(nth);
        if let Some((id, instance)) = open {
            self.oracle.leave(self.world.now(), id);
            self.world.send_event(&instance, Event::Disconnected(id));
        }
    }

    fn kill(&mut self, at: usize, listed: bool) {
        if !self.alive(at) {
            return;
        }
        let name = name(at);
        self.world.kill(&name);
        self.oracle.die(self.world.now(), &name);
        self.mark_bad(at);
        if !listed {
            self.unlist.push((self.world.now() + LIST_LAG, name));
        }
    }

    /// Marks an endpoint in the objects, as an operator does.
    fn mark(&mut self, number: usize, leaving: bool) {
        let endpoint = self.endpoint(number);
        let all = self.set.pools.values_mut().flat_map(|pool| &mut pool.endpoints);
        for it in all.filter(|it| it.name == endpoint) {
            it.leaving = leaving;
        }
        self.publish();
    }

    fn publish(&mut self) {
        for (kind, name, value) in self.set.values() {
            if kind == Object::Pool {
                let kind = kind.as_str().into();
                self.world.edit(&Call::Put { kind, name, value, if_version: None });
            }
        }
    }

    fn wait(&mut self, time: Duration) {
        let end = self.world.now() + time;
        while self.world.now() < end {
            let next = (self.world.now() + CHECK_TIME).min(end);
            self.world.run(next);
            self.watch();
        }
    }

    /// Checks what has happened, and ends the processes of instances that have stopped.
    fn watch(&mut self) {
        let now = self.world.now();
        for at in 0..INSTANCES {
            if self.bad_until[at].is_some() {
                self.disturb(at, TELL_MARGIN);
            }
        }
        for output in std::mem::take(&mut self.world.outputs) {
            self.oracle.see(&output, &self.world.endpoints);
        }
        self.oracle.check(now, &mut self.world.endpoints);
        for name in std::mem::take(&mut self.oracle.stopped) {
            self.world.kill(&name);
            self.oracle.die(now, &name);
            self.oracle.stops.insert(name.clone(), now);
            self.world.store.deregister(&name);
        }
        let due: Vec<Name> =
            self.unlist.extract_if(.., |it| it.0 <= now).map(|(_, name)| name).collect();
        for name in due {
            if self.world.state(&name).is_none() {
                self.world.store.deregister(&name);
            }
        }
    }

    /// Waits until every request is answered and no memory is held, for a bounded time.
    fn settle(&mut self) {
        let end = self.world.now() + HEAL_TIME;
        self.wait(self.paused_until.since(self.world.now()) + CATCH_UP);
        while self.world.now() < end && self.is_busy() {
            self.wait(CHECK_TIME);
        }
    }

    fn is_busy(&self) -> bool {
        let open = self.oracle.asked.values().any(|it| it.ended.is_none());
        open || !self.world.endpoints.holds.is_empty()
    }

    /// Ends all faults, waits, and repeats every idempotency key.
    fn heal(&mut self) {
        self.world.endpoints.trouble = 0;
        self.mend();
        for number in 0..6 {
            self.mark(number, false);
        }
        for at in 0..INSTANCES {
            self.apply(&Op::Restart(at));
        }
        self.settle();
        let at = (0..INSTANCES).find(|at| self.alive(*at)).unwrap_or(0);
        let retries: Vec<Id> =
            (0..6).map(|key| self.submit(at, Kind::Issue, Some(key), 0, 1)).collect();
        self.settle();
        let now = self.world.now();
        for id in retries {
            self.oracle.check_retry(now, id);
        }
        self.oracle.finish(now, &self.world.endpoints);
    }
}

fn link(loss: u8, twice: u8, most_ms: u64, cut: bool) -> Link {
    Link {
        min_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(most_ms),
        loss_rate: f64::from(loss) / 100.0,
        duplicate_rate: f64::from(twice) / 100.0,
        cut,
    }
}
