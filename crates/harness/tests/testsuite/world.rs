use std::{sync::Arc, time::Duration};

use siskinstile_core::{
    Effect, Event, Instant,
    object::{Endpoint, Name, Set},
    request::{Arrival, Id, Outcome, Report, Step, Target},
    state::Settings,
    store::Call,
};
use siskinstile_harness::world::{EndpointCall, Endpoints, World};

/// Endpoints that complete each step after 10 ms.
#[derive(Default)]
struct FixedDelayEndpoints {
    pending: Vec<(Instant, Name, Report)>,
}

impl Endpoints for FixedDelayEndpoints {
    fn call(&mut self, now: Instant, call: EndpointCall) {
        let outcome = match call.step {
            Step::Prefill => Outcome::Computed { kv: "kv".into(), cached: 0 },
            Step::Import { .. } => Outcome::Imported,
            Step::Decode { .. } | Step::Forward => Outcome::Completed { tokens: 8, answer: None },
        };
        let report = Report { request: call.request, attempt: call.attempt, outcome };
        self.pending.push((now + Duration::from_millis(10), call.instance, report));
    }

    fn cancel(&mut self, _now: Instant, _request: Id, _attempt: u32, _endpoint: &Endpoint) {}

    fn next_at(&self) -> Option<Instant> {
        self.pending.iter().map(|it| it.0).min()
    }

    fn advance(&mut self, now: Instant) -> Vec<(Name, Report)> {
        let due = self.pending.extract_if(.., |it| it.0 <= now);
        due.map(|(_, name, report)| (name, report)).collect()
    }

    fn disconnect(&mut self, _now: Instant, instance: &str) {
        self.pending.retain(|it| &*it.1 != instance);
    }
}

fn settings(name: &str) -> Settings {
    Settings {
        name: name.into(),
        incarnation: 1,
        datacentre: "lk-west-1".into(),
        fleet_size: 2,
        balancer_lag: Duration::from_secs(1),
    }
}

fn board() -> Set {
    let dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/board");
    siskinctl::files::load(&dir).unwrap().0
}

#[test]
fn world_serves_request() {
    let mut world = World::new(1, FixedDelayEndpoints::default());
    for (kind, name, value) in board().values() {
        let call = Call::Put { kind: kind.as_str().into(), name, value, if_version: Some(0) };
        world.edit(&call);
    }
    world.start(settings("a"), 0);
    world.start(settings("b"), 0);
    world.run(Instant::from_millis(5_000));
    assert_eq!(world.state("b").unwrap().config().generation, 1);

    let arrival = Arrival {
        id: Id(7),
        key: Some(siskinstile_core::key::Secret::new(
            "field-assessors-key.demo-yek-srossessa-dleif",
        )),
        target: Target::Model("assessor-1".into()),
        idempotency_key: None,
        digest: 0,
        prompt_tokens: 100,
        max_tokens: 8,
        prefixes: Arc::new([]),
    };
    world.send_event("b", Event::Arrival(arrival));
    world.run(Instant::from_millis(6_000));
    let is_finished = |it: &&siskinstile_harness::world::Output| {
        matches!(it.effect, Effect::Finish { request: Id(7) })
    };
    assert_eq!(world.outputs.iter().filter(is_finished).count(), 1);
}
