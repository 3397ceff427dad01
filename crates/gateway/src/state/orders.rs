//! Orders that switch engines between prefill and decode, issued one at a time by the holder of the
//! order lease.

use std::{sync::Arc, time::Duration};

use siskinstile_macros::value;

use crate::{
    Directory, Instant, Name, call,
    call::{Order, Outcome, Step},
    catalog::Service,
    directory::{Endpoint, Stage},
    engine::Demand,
    event::Lease,
    record::{self, Record},
};

use super::State;

/// Time between checks of the division into prefill and decode engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Engines in a pool for each concurrent change of stage; a smaller pool still allows one.
const ENGINES_PER_CHANGE: usize = 12;
/// Time for which the endpoint list must be unchanged before an order is issued in a small pool.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time after the start within which first heartbeats of members may still be outstanding.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);
/// Pause in issuing orders after a refused one.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
/// Pause in issuing orders after one without a response, which may still be carried out.
const LOST_PAUSE: Duration = Duration::from_secs(20);
/// Time after an engine's reconfiguration until the endpoint list shows its new stage.
const LISTING_LAG: Duration = Duration::from_secs(4);

/// An order, kept from the inspection of the chosen engine until the engine has responded to it.
#[value]
struct Pending {
    endpoint: Arc<Endpoint>,
    stage: Stage,
    demand: Demand,
}

/// An engine that is changing its stage.
#[value]
struct Reconfiguration {
    endpoint: Name,
    service: Name,
    stage: Stage,
    /// When the engine no longer counts as reconfiguring.
    until: Instant,
}

/// The order lease and the state of the orders issued under it.
#[value(default)]
pub(super) struct Planner {
    lease: Option<Lease>,
    pending: Option<Pending>,
    reconfiguring: Vec<Reconfiguration>,
    last_check: Instant,
    list_changed_at: Instant,
    paused_until: Instant,
}

impl Planner {
    /// Records a new endpoint list and drops the reconfigurations that it shows as completed.
    pub(super) fn record_endpoint_list(&mut self, now: Instant, directory: &Directory) {
        self.list_changed_at = now;
        let listed_stage =
            |it: &Reconfiguration| directory.get(&it.endpoint).map(|found| found.stage);
        self.reconfiguring
            .retain(|it| listed_stage(it).is_some_and(|stage| stage != Some(it.stage)));
    }

    /// Returns the engines that are changing their stage.
    pub(super) fn reconfiguring(&self) -> impl Iterator<Item = &Name> {
        self.reconfiguring.iter().map(|it| &it.endpoint)
    }

    /// Returns the number of a service's engines that are changing to a stage.
    fn count_changing_to(&self, service: &str, stage: Stage) -> usize {
        self.reconfiguring.iter().filter(|it| &*it.service == service && it.stage == stage).count()
    }

    fn token(&self, now: Instant) -> Option<u64> {
        self.lease.as_ref().filter(|it| it.until > now).map(|it| it.token)
    }
}

impl State {
    /// Returns whether this instance should hold the order lease: the current holder keeps it,
    /// otherwise the first reachable instance by name takes it.
    pub fn should_hold_lease(&self, now: Instant) -> bool {
        let is_holder = self.planner.token(now).is_some();
        let mut others = self.fleet.members.reachable(now);
        let is_first =
            now > Instant::default() + STARTUP_WAIT && others.all(|it| *it > self.settings.name);
        let has_engines =
            self.catalog.iter().flat_map(|it| it.services()).any(|it| it.engine.is_some());
        has_engines && !self.is_draining() && (is_holder || is_first)
    }

    /// Records that the order lease was acquired, renewed or lost.
    pub(super) fn handle_lease(&mut self, lease: Option<Lease>) {
        let token = |it: &Option<Lease>| it.as_ref().map(|it| it.token);
        if token(&lease) != token(&self.planner.lease) {
            self.log(Record::new(record::LEASE).with("token", token(&lease)));
        }
        self.planner.lease = lease;
    }

    /// Checks whether an engine should change its stage, and inspects the chosen one before the
    /// order.
    pub(super) fn plan_orders(&mut self, now: Instant) {
        if now.since(self.planner.last_check) < CHECK_INTERVAL {
            return;
        }
        self.planner.last_check = now;
        self.planner.reconfiguring.retain(|it| it.until > now);
        let is_allowed = self.planner.token(now).is_some() && !self.is_draining();
        if !is_allowed || now < self.planner.paused_until {
            return;
        }
        self.planner.pending = None;
        let Some(catalog) = self.catalog.clone() else { return };
        let Some(pending) = catalog.services().find_map(|it| self.choose_order(now, it)) else {
            return;
        };
        self.planner.paused_until = now + REFUSED_PAUSE;
        let endpoint = pending.endpoint.clone();
        self.planner.pending = Some(pending);
        self.call_detached(now, endpoint, Step::Inspect);
    }

    /// Chooses an engine of a service that should change its stage, if any.
    fn choose_order(&self, now: Instant, service: &Service) -> Option<Pending> {
        let engine = service.engine.as_ref()?;
        let demand = self.fleet.forecasts.get(&service.name)?.demand(engine.memory_tokens)?;
        let ready: Vec<&Arc<Endpoint>> =
            self.directory.of_service(&service.name).iter().filter(|it| it.is_ready()).collect();
        let reconfiguring =
            |it: &Endpoint| self.planner.reconfiguring().any(|other| *other == it.id);
        let max_changes = max_concurrent_changes(ready.len());
        let is_settled = max_changes > 1 || now.since(self.planner.list_changed_at) >= SETTLE_TIME;
        if !is_settled || ready.iter().filter(|it| reconfiguring(it)).count() >= max_changes {
            return None;
        }
        // Reconfiguring engines count under their new stage.
        let count = |stage| {
            let staying = ready.iter().filter(|it| it.stage == Some(stage) && !reconfiguring(it));
            staying.count() + self.planner.count_changing_to(&service.name, stage)
        };
        let stage = demand.rebalance(count(Stage::Prefill), count(Stage::Decode))?;
        let usable = |it: &&&Arc<Endpoint>| {
            let differs = it.stage.is_some_and(|current| current != stage);
            let may_call = !self.fleet.health.is_ejected(now, &it.id)
                && self.fleet.health.backoff(now, &it.id).is_none();
            differs && !reconfiguring(it) && may_call
        };
        let group_size = |it: &Endpoint| {
            let same = |other: &&&Arc<Endpoint>| {
                other.stage == it.stage && other.datacentre == it.datacentre
            };
            ready.iter().filter(same).count()
        };
        let load = |it: &Endpoint| self.fleet.loads.total(&it.id).requests;
        let chosen = ready
            .iter()
            .filter(usable)
            .min_by_key(|it| (std::cmp::Reverse(group_size(it)), load(it), it.id.clone()))?;
        Some(Pending { endpoint: (*chosen).clone(), stage, demand })
    }

    /// Issues the pending order if the engine reports another stage and is not busy; drops it
    /// otherwise.
    pub(super) fn handle_inspection(&mut self, now: Instant, outcome: Outcome) {
        let Some(pending) = self.planner.pending.clone() else { return };
        let Some(token) = self.planner.token(now) else { return };
        let may_order = !self.is_evacuated(&pending.endpoint);
        match outcome {
            Outcome::Inspected { stage, orders, busy: false, .. }
                if may_order && stage != pending.stage =>
            {
                let order = Order {
                    stage: pending.stage,
                    holder: self.settings.name.clone(),
                    token,
                    precondition: orders,
                };
                let line = Record::new(record::ORDERED)
                    .with("endpoint", &*pending.endpoint.id)
                    .with("stage", format!("{:?}", pending.stage))
                    .with("prompt_ms", pending.demand.prompt_ms)
                    .with("stay_ms", pending.demand.stay_ms)
                    .with("memory", pending.demand.memory_share)
                    .with("token", token)
                    .with("precondition", orders);
                self.log(line);
                self.planner.paused_until = now + LOST_PAUSE;
                self.call_detached(now, pending.endpoint, call::Step::Order(order));
            }
            _ => self.planner.pending = None,
        }
    }

    /// Handles the response to an order and sets the pause before the next one.
    pub(super) fn handle_order_response(&mut self, now: Instant, outcome: Outcome) {
        let Some(pending) = self.planner.pending.take() else { return };
        let service = self.catalog.as_ref().and_then(|it| it.service(&pending.endpoint.service));
        let engine = service.and_then(|it| it.engine.as_ref());
        let change_time = engine.map_or(LOST_PAUSE, |it| it.reconfigure_time + LISTING_LAG);
        let engines = self.directory.of_service(&pending.endpoint.service).len();
        if outcome == Outcome::Done {
            self.planner.reconfiguring.push(Reconfiguration {
                endpoint: pending.endpoint.id.clone(),
                service: pending.endpoint.service.clone(),
                stage: pending.stage,
                until: now + change_time,
            });
        }
        self.planner.paused_until = match outcome {
            Outcome::Done if max_concurrent_changes(engines) > 1 => now,
            Outcome::Done => now + change_time,
            Outcome::Refused { .. } => now + REFUSED_PAUSE,
            _ => now + LOST_PAUSE,
        };
    }
}

/// Returns how many engines of a pool may change their stage at the same time; at least one.
fn max_concurrent_changes(engines: usize) -> usize {
    (engines / ENGINES_PER_CHANGE).max(1)
}
