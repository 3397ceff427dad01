//! A fuzz test of publication and distribution: operators' edits and faults over a small world.

pub mod action;
pub mod cost;
pub mod delay;
pub mod oracle;

use std::{ops::Range, time::Duration};

use proptest::{
    strategy::{Strategy as _, ValueTree as _},
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use siskinstile_core::{
    Effect, Instant,
    fault::Fault,
    object::{Endpoint, Name, Set},
    request::{Id, Report},
    state::Settings,
    store::Call,
};

use crate::world::{EndpointCall, Endpoints, PLATFORM, World};
use action::{Action, Cut};
use oracle::{Breach, Oracle};

/// Data centres of the world.
pub const DATACENTRES: usize = 3;
/// Instances of the world.
pub const INSTANCES: usize = 6;
/// Time without faults after which what was written long enough ago has to be in force.
const SETTLE: Duration = Duration::from_secs(18);
/// Longest pause of an instance.
const LONGEST_PAUSE: Duration = Duration::from_secs(15);

/// Endpoints that are never called.
#[derive(Debug, Default)]
pub struct Unused;

impl Endpoints for Unused {
    fn call(&mut self, _now: Instant, _call: EndpointCall) {}

    fn cancel(&mut self, _now: Instant, _request: Id, _attempt: u32, _endpoint: &Endpoint) {}

    fn next_at(&self) -> Option<Instant> {
        None
    }

    fn advance(&mut self, _now: Instant) -> Vec<(Name, Report)> {
        Vec::new()
    }

    fn disconnect(&mut self, _now: Instant, _instance: &str) {}
}

/// A world with its oracle.
pub struct Rollout {
    /// The instances and the platform.
    pub world: World<Unused>,
    oracle: Oracle,
}

/// Runs the sequences of actions of some seeds and returns the first breach with its seed.
pub fn fuzz(set: &Set, seeds: Range<u64>, fault: Option<Fault>) -> Option<(u64, Breach)> {
    let actions = action::actions();
    seeds.into_iter().find_map(|seed| {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &rng_seed(seed));
        let mut runner = TestRunner::new_with_rng(proptest::test_runner::Config::default(), rng);
        let drawn = actions.new_tree(&mut runner).ok()?.current();
        Rollout::new(seed, set, fault).run(&drawn).err().map(|it| (seed, it))
    })
}

fn rng_seed(seed: u64) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes
}

/// Returns the name of an instance.
pub fn instance(index: usize) -> Name {
    format!("instance-{}", index % INSTANCES).into()
}

/// Returns the settings of an instance.
pub fn settings(index: usize) -> Settings {
    Settings {
        name: instance(index),
        incarnation: 1,
        datacentre: format!("dc-{}", index % DATACENTRES).into(),
        fleet_size: INSTANCES as u64,
        balancer_lag: Duration::from_secs(1),
    }
}

impl Rollout {
    /// Starts the instances with a set in force.
    pub fn new(seed: u64, set: &Set, fault: Option<Fault>) -> Rollout {
        let mut world = World::new(seed, Unused);
        world.injected = fault;
        let mut rollout = Rollout { world, oracle: Oracle::default() };
        for (kind, name, value) in set.values() {
            rollout.write(&Call::Put { kind: kind.as_str().into(), name, value, if_version: None });
        }
        (0..INSTANCES).for_each(|it| rollout.world.start(settings(it), 0));
        rollout
    }

    /// Carries out the actions, mends everything and checks what is in force at the end.
    ///
    /// # Errors
    ///
    /// The first breach of what must hold.
    pub fn run(&mut self, actions: &[Action]) -> Result<(), Breach> {
        self.pass(Duration::from_secs(3))?;
        for action in actions {
            self.act(action)?;
        }
        self.mend();
        // The time without faults begins when the last paused instance has woken.
        self.pass(LONGEST_PAUSE)?;
        self.pass(SETTLE)?;
        self.oracle.settled(&self.world)
    }

    fn act(&mut self, action: &Action) -> Result<(), Breach> {
        match action {
            Action::Pass { ms } => self.pass(Duration::from_millis(*ms))?,
            Action::Edit(edit) => {
                if let Some(call) = edit.call(&self.world.store) {
                    self.write(&call);
                }
            }
            Action::Cut { cut, on } => self.cut(cut, *on),
            Action::Kill(index) => self.world.kill(&instance(*index)),
            Action::Restart(index) => {
                let name = instance(*index);
                self.world.kill(&name);
                self.oracle.forget(&name);
                self.world.restart(&name);
            }
            Action::Pause { index, ms } => {
                self.world.pause(&instance(*index), Duration::from_millis(*ms));
            }
            Action::Loss { index, percent } => {
                let loss = f64::from(*percent) / 100.0;
                self.world.links.between(PLATFORM, &instance(*index)).loss_rate = loss;
            }
            Action::Slow { index, ms } => {
                let max_delay = Duration::from_millis(*ms);
                self.world.links.between(PLATFORM, &instance(*index)).max_delay = max_delay;
            }
        }
        Ok(())
    }

    fn write(&mut self, call: &Call) {
        self.world.edit(call);
        self.oracle.edited(&self.world.store);
    }

    fn pass(&mut self, length: Duration) -> Result<(), Breach> {
        let end = self.world.now() + length;
        self.world.run(end);
        for output in std::mem::take(&mut self.world.outputs) {
            if let Effect::Adopt(config) = &output.effect {
                self.oracle.adopted(&output.instance, config)?;
            }
        }
        Ok(())
    }

    fn cut(&mut self, cut: &Cut, on: bool) {
        let of = |datacentre: usize| {
            (0..INSTANCES).filter(move |it| it % DATACENTRES == datacentre % DATACENTRES)
        };
        let pairs: Vec<(Name, Name)> = match *cut {
            Cut::Datacentres { from, to } => of(from)
                .flat_map(|a| of(to).map(move |b| (instance(a), instance(b))))
                .filter(|(a, b)| a != b)
                .collect(),
            Cut::ToPlatform(datacentre) => {
                of(datacentre).map(|it| (instance(it), PLATFORM.into())).collect()
            }
            Cut::FromPlatform(datacentre) => {
                of(datacentre).map(|it| (PLATFORM.into(), instance(it))).collect()
            }
        };
        for (from, to) in pairs {
            self.world.links.between(&from, &to).cut = on;
        }
    }

    /// Mends all links and restarts the dead.
    fn mend(&mut self) {
        self.world.links = crate::world::Links::default();
        for index in 0..INSTANCES {
            let name = instance(index);
            if self.world.state(&name).is_none() {
                self.oracle.forget(&name);
                self.world.restart(&name);
            }
        }
    }
}
