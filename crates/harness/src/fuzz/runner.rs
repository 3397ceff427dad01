//! Runs a case in the simulated world.

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

/// Time in which the instances start and adopt the configuration.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Time after the end of all faults within which every request must be answered.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(90);
/// Virtual time between two checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its death at which a killed instance leaves the platform's list, unless its
/// operation keeps it listed.
const LIST_LAG: Duration = Duration::from_secs(2);
/// Time after the end of all faults in which lost writes of outcomes are retried.
const REWRITE_TIME: Duration = Duration::from_secs(6);
/// Time after a fault for which the oracle still counts the instance as disturbed.
const RECOVERY_MARGIN: Duration = Duration::from_secs(4);
/// Time for which the load balancer still routes requests to an instance that drains.
const BALANCER_LAG: Duration = Duration::from_secs(1);
const CALLER_KEY: &str = "field-assessors-key.demo-yek-srossessa-dleif";
const DATACENTRE: &str = "lk-west-1";

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of events that the reducers have processed.
    pub steps: u64,
    /// Violations found; operations after the first that causes one are not carried out.
    pub violations: Vec<Violation>,
}

/// Runs a case, with a fault injected into every instance if `injected` is given.
pub fn run(case: &Case, injected: Option<Fault>) -> Outcome {
    let mut runner = Runner::start(case.seed, injected);
    for op in &case.ops {
        runner.apply(op);
        runner.check();
        if !runner.oracle.violations.is_empty() {
            return runner.into_outcome();
        }
    }
    runner.recover();
    runner.into_outcome()
}

struct Runner {
    world: World<Model>,
    oracle: Oracle,
    /// The operators' objects.
    set: Set,
    /// Time of the latest kill or change of links of each instance; none after its restart, or once
    /// all links are restored while it runs.
    disturbed_since: Vec<Option<Instant>>,
    /// Killed instances, each with the time at which it leaves the platform's list.
    pending_deregistrations: Vec<(Instant, Name)>,
    next_id: u64,
    /// Time from which the load balancer no longer routes to each instance, because it drains.
    unroutable_from: Vec<Option<Instant>>,
    /// End of the latest pause.
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

/// Returns the objects of the `board` example, with all endpoints in one data centre and a second
/// endpoint in the plain pool `registry`.
fn objects() -> Set {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/board");
    let mut set = siskinctl::files::load(&dir).expect("the example objects are valid").0;
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
        let disturbed_since = vec![None; INSTANCES];
        let oracle = Oracle::default();
        let mut runner = Runner {
            world,
            oracle,
            set,
            disturbed_since,
            pending_deregistrations: Vec::new(),
            next_id: seed << 20,
            unroutable_from: vec![None; INSTANCES],
            paused_until: Instant::default(),
        };
        runner.wait(STARTUP_TIME);
        runner
    }

    fn into_outcome(mut self) -> Outcome {
        let violations = std::mem::take(&mut self.oracle.violations);
        Outcome { steps: self.world.steps, violations }
    }

    fn is_alive(&self, at: usize) -> bool {
        self.world.state(&name(at)).is_some()
    }

    fn disturb(&mut self, at: usize, time: Duration) {
        let until = self.world.now() + time;
        self.oracle.record_disturbance(until, &name(at));
    }

    fn apply(&mut self, op: &Op) {
        let now = self.world.now();
        match *op {
            Op::Wait(ms) => self.wait(Duration::from_millis(ms)),
            Op::Submit { at, kind, key, body, tokens } => {
                self.submit(at, kind, key, body, tokens);
            }
            Op::Leave(nth) => self.disconnect(nth),
            Op::Kill { at, listed } => self.kill(at, listed),
            Op::Restart(at) if !self.is_alive(at) => {
                self.world.restart(&name(at));
                self.oracle.stopped_at.swap_remove(&name(at));
                self.unroutable_from[at] = None;
                self.disturbed_since[at] = None;
                self.disturb(at, RECOVERY_MARGIN);
            }
            Op::Restart(_) => {}
            Op::Pause { at, ms } => {
                let time = Duration::from_millis(ms);
                self.world.pause(&name(at), time);
                self.paused_until = self.paused_until.max(now + time);
                self.disturb(at, time + RECOVERY_MARGIN);
            }
            Op::Link { from, to, loss, twice, most_ms, cut } => {
                let link = link(loss, twice, most_ms, cut);
                *self.world.links.between(&name(from), &name(to)) = link;
                self.mark_disturbed(from);
                self.mark_disturbed(to);
            }
            Op::Platform { at, outward, loss, most_ms, cut } => {
                let (from, to) = match outward {
                    true => (name(at), Name::from(PLATFORM)),
                    false => (Name::from(PLATFORM), name(at)),
                };
                *self.world.links.between(&from, &to) = link(loss, 0, most_ms, cut);
            }
            Op::Mend => self.restore_links(),
            Op::Trouble(percent) => self.world.endpoints.fault_percent = percent,
            Op::Down { endpoint, ms } => {
                let endpoint = self.endpoint_name(endpoint);
                self.world.endpoints.take_down(&endpoint, now + Duration::from_millis(ms));
            }
            Op::Mark { endpoint, leaving } => self.set_leaving(endpoint, leaving),
            Op::Drain(at) => {
                self.world.send_event(&name(at), Event::Drain);
                self.unroutable_from[at].get_or_insert(now + BALANCER_LAG);
            }
        }
    }

    fn endpoint_name(&self, number: usize) -> Name {
        let endpoints = self.set.pools.values().flat_map(|pool| &pool.endpoints);
        endpoints.map(|it| it.name.clone()).nth(number).unwrap_or_else(|| "none".into())
    }

    fn mark_disturbed(&mut self, at: usize) {
        self.disturbed_since[at] = Some(self.world.now());
    }

    fn restore_links(&mut self) {
        self.world.links = Links::default();
        for at in 0..INSTANCES {
            let is_dead = !self.is_alive(at);
            if self.disturbed_since[at].take_if(|_| !is_dead).is_some() {
                self.disturb(at, RECOVERY_MARGIN);
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
        let is_unroutable = self.unroutable_from[at].is_some_and(|since| since <= self.world.now());
        if !is_unroutable && self.world.send_event(&name(at), Event::Arrival(arrival)) {
            self.world.endpoints.token_counts.insert(id, tokens);
            self.oracle.record_request(id, &name(at), kind, key);
        }
        id
    }

    fn disconnect(&mut self, nth: usize) {
        let open = self.oracle.requests.iter().filter(|(_, it)| it.ended_at.is_none());
        let open = open.map(|(id, it)| (*id, it.instance.clone())).nth(nth);
        if let Some((id, instance)) = open {
            self.oracle.record_disconnect(self.world.now(), id);
            self.world.send_event(&instance, Event::Disconnected(id));
        }
    }

    fn kill(&mut self, at: usize, listed: bool) {
        if !self.is_alive(at) {
            return;
        }
        let name = name(at);
        self.world.kill(&name);
        self.oracle.record_kill(self.world.now(), &name);
        self.mark_disturbed(at);
        if !listed {
            self.pending_deregistrations.push((self.world.now() + LIST_LAG, name));
        }
    }

    /// Sets or clears an endpoint's leaving mark in the objects, as an operator does.
    fn set_leaving(&mut self, number: usize, leaving: bool) {
        let endpoint = self.endpoint_name(number);
        let endpoints = self.set.pools.values_mut().flat_map(|pool| &mut pool.endpoints);
        for it in endpoints.filter(|it| it.name == endpoint) {
            it.leaving = leaving;
        }
        self.write_pools();
    }

    fn write_pools(&mut self) {
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
            let next = (self.world.now() + CHECK_INTERVAL).min(end);
            self.world.run(next);
            self.check();
        }
    }

    /// Checks the invariants and ends the processes of instances whose planned stop is complete.
    fn check(&mut self) {
        let now = self.world.now();
        for at in 0..INSTANCES {
            if self.disturbed_since[at].is_some() {
                self.disturb(at, RECOVERY_MARGIN);
            }
        }
        for output in std::mem::take(&mut self.world.outputs) {
            self.oracle.observe(&output, &self.world.endpoints);
        }
        self.oracle.check(now, &mut self.world.endpoints);
        for name in std::mem::take(&mut self.oracle.newly_stopped) {
            self.world.kill(&name);
            self.oracle.record_kill(now, &name);
            self.oracle.stopped_at.insert(name.clone(), now);
            self.world.store.deregister(&name);
        }
        let due: Vec<Name> = self
            .pending_deregistrations
            .extract_if(.., |it| it.0 <= now)
            .map(|(_, name)| name)
            .collect();
        for name in due {
            if self.world.state(&name).is_none() {
                self.world.store.deregister(&name);
            }
        }
    }

    /// Waits for the end of the latest pause and `REWRITE_TIME`, then until every request has ended
    /// and no memory is held, at most until `RECOVERY_TIMEOUT` after the call.
    fn wait_until_idle(&mut self) {
        let end = self.world.now() + RECOVERY_TIMEOUT;
        self.wait(self.paused_until.since(self.world.now()) + REWRITE_TIME);
        while self.world.now() < end && self.is_busy() {
            self.wait(CHECK_INTERVAL);
        }
    }

    fn is_busy(&self) -> bool {
        let open = self.oracle.requests.values().any(|it| it.ended_at.is_none());
        open || !self.world.endpoints.holds.is_empty()
    }

    /// Ends all faults, waits, reuses every idempotency key and checks the final invariants.
    fn recover(&mut self) {
        self.world.endpoints.fault_percent = 0;
        self.restore_links();
        for number in 0..6 {
            self.set_leaving(number, false);
        }
        for at in 0..INSTANCES {
            self.apply(&Op::Restart(at));
        }
        self.wait_until_idle();
        let at = (0..INSTANCES).find(|at| self.is_alive(*at)).unwrap_or(0);
        let retries: Vec<Id> =
            (0..6).map(|key| self.submit(at, Kind::Issue, Some(key), 0, 1)).collect();
        self.wait_until_idle();
        let now = self.world.now();
        for id in retries {
            self.oracle.check_retry(now, id);
        }
        self.oracle.check_final(now, &self.world.endpoints);
    }
}

fn link(loss_percent: u8, duplicate_percent: u8, max_delay_ms: u64, cut: bool) -> Link {
    Link {
        min_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(max_delay_ms),
        loss_rate: f64::from(loss_percent) / 100.0,
        duplicate_rate: f64::from(duplicate_percent) / 100.0,
        cut,
    }
}
