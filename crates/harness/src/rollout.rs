//! Fuzz test of configuration publication and distribution: operators' edits and injected faults
//! in a small simulated fleet.

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
use action::{Action, LinkSet};
use oracle::{Oracle, Violation};

/// Number of simulated data centres.
pub const DATACENTRES: usize = 3;
/// Number of simulated instances.
pub const INSTANCES: usize = 6;
/// Time without faults after which the last set, if valid, must be in force at every instance.
const SETTLE_TIME: Duration = Duration::from_secs(18);
/// Longest pause that an action can give an instance.
const MAX_PAUSE: Duration = Duration::from_secs(15);

/// Endpoints that are never called.
#[derive(Debug, Default)]
pub struct NoEndpoints;

impl Endpoints for NoEndpoints {
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

/// A simulated fleet with the oracle that checks it.
pub struct Rollout {
    /// The simulated instances, links and platform.
    pub world: World<NoEndpoints>,
    oracle: Oracle,
}

/// Runs one generated sequence of actions for each seed, with `fault` injected into every instance,
/// and returns the first violation with its seed.
pub fn fuzz(set: &Set, seeds: Range<u64>, fault: Option<Fault>) -> Option<(u64, Violation)> {
    let actions = action::actions();
    seeds.into_iter().find_map(|seed| {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &rng_seed(seed));
        let mut runner = TestRunner::new_with_rng(proptest::test_runner::Config::default(), rng);
        let sequence = actions.new_tree(&mut runner).ok()?.current();
        Rollout::new(seed, set, fault).run(&sequence).err().map(|it| (seed, it))
    })
}

fn rng_seed(seed: u64) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes
}

/// Returns the name of the instance with this number, modulo [`INSTANCES`].
pub fn instance(index: usize) -> Name {
    format!("instance-{}", index % INSTANCES).into()
}

/// Returns the settings of the instance with this number; consecutive numbers are in different data
/// centres.
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
    /// Writes the set to the store and starts the instances.
    pub fn new(seed: u64, set: &Set, fault: Option<Fault>) -> Rollout {
        let mut world = World::new(seed, NoEndpoints);
        world.injected = fault;
        let mut rollout = Rollout { world, oracle: Oracle::default() };
        for (kind, name, value) in set.values() {
            rollout.write(&Call::Put { kind: kind.as_str().into(), name, value, if_version: None });
        }
        (0..INSTANCES).for_each(|it| rollout.world.start(settings(it), 0));
        rollout
    }

    /// Carries out the actions, ends all faults and checks the configuration that each instance
    /// then has in force.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn run(&mut self, actions: &[Action]) -> Result<(), Violation> {
        self.advance(Duration::from_secs(3))?;
        for action in actions {
            self.apply(action)?;
        }
        self.recover();
        // The time without faults begins when the last pause has ended.
        self.advance(MAX_PAUSE)?;
        self.advance(SETTLE_TIME)?;
        self.oracle.check_settled(&self.world)
    }

    fn apply(&mut self, action: &Action) -> Result<(), Violation> {
        match action {
            Action::Advance { ms } => self.advance(Duration::from_millis(*ms))?,
            Action::Edit(edit) => {
                if let Some(call) = edit.call(&self.world.store) {
                    self.write(&call);
                }
            }
            Action::Cut { links, is_cut } => self.set_cut(links, *is_cut),
            Action::Kill(index) => self.world.kill(&instance(*index)),
            Action::Restart(index) => {
                let name = instance(*index);
                self.world.kill(&name);
                self.oracle.reset_instance(&name);
                self.world.restart(&name);
            }
            Action::Pause { index, ms } => {
                self.world.pause(&instance(*index), Duration::from_millis(*ms));
            }
            Action::Loss { index, percent } => {
                let loss_rate = f64::from(*percent) / 100.0;
                self.world.links.between(PLATFORM, &instance(*index)).loss_rate = loss_rate;
            }
            Action::Delay { index, ms } => {
                let max_delay = Duration::from_millis(*ms);
                self.world.links.between(PLATFORM, &instance(*index)).max_delay = max_delay;
            }
        }
        Ok(())
    }

    fn write(&mut self, call: &Call) {
        self.world.edit(call);
        self.oracle.record_edit(&self.world.store);
    }

    fn advance(&mut self, length: Duration) -> Result<(), Violation> {
        let end = self.world.now() + length;
        self.world.run(end);
        for output in std::mem::take(&mut self.world.outputs) {
            if let Effect::Adopt(config) = &output.effect {
                self.oracle.check_adopted(&output.instance, config)?;
            }
        }
        Ok(())
    }

    fn set_cut(&mut self, links: &LinkSet, is_cut: bool) {
        let members = |datacentre: usize| {
            (0..INSTANCES).filter(move |it| it % DATACENTRES == datacentre % DATACENTRES)
        };
        let pairs: Vec<(Name, Name)> = match *links {
            LinkSet::Datacentres { from, to } => members(from)
                .flat_map(|a| members(to).map(move |b| (instance(a), instance(b))))
                .filter(|(a, b)| a != b)
                .collect(),
            LinkSet::ToPlatform(datacentre) => {
                members(datacentre).map(|it| (instance(it), PLATFORM.into())).collect()
            }
            LinkSet::FromPlatform(datacentre) => {
                members(datacentre).map(|it| (PLATFORM.into(), instance(it))).collect()
            }
        };
        for (from, to) in pairs {
            self.world.links.between(&from, &to).cut = is_cut;
        }
    }

    /// Restores all links and restarts dead instances.
    fn recover(&mut self) {
        self.world.links = crate::world::Links::default();
        for index in 0..INSTANCES {
            let name = instance(index);
            if self.world.state(&name).is_none() {
                self.oracle.reset_instance(&name);
                self.world.restart(&name);
            }
        }
    }
}
