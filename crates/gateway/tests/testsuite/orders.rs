//! Orders that change the stage of engines.

use std::time::Duration;

use rstest::rstest;
use siskinstile_gateway::{
    Effect, Event,
    call::{Outcome, Step},
    directory::Stage,
    engine::Demand,
    event::Lease,
    record,
};

use crate::site::Site;

/// A prompt takes 91 ms of an engine, decoding 3.4 s of a tenth of one: three engines in ten should
/// be prefill engines.
#[rstest]
#[case::too_many(5, 7, Some(Stage::Decode))]
#[case::one_too_many(12, 24, Some(Stage::Decode))]
#[case::settled_above(4, 8, None)]
#[case::settled(3, 9, None)]
#[case::too_few(2, 10, Some(Stage::Prefill))]
#[case::few_engines(2, 2, None)]
fn rebalance_stage(
    #[case] prefills: usize,
    #[case] decodes: usize,
    #[case] expected: Option<Stage>,
) {
    let demand = Demand { prompt_ms: 91.0, stay_ms: 3_400.0, memory_share: 0.1 };
    assert_eq!(demand.rebalance(prefills, decodes), expected);
}

/// Guards against oscillation: a change of the division is not followed by its reversal.
#[test]
fn rebalance_settles() {
    for tenths in 1..40 {
        let demand =
            Demand { prompt_ms: f64::from(tenths) * 20.0, stay_ms: 3_400.0, memory_share: 0.1 };
        let (mut prefills, mut decodes) = (6_usize, 12_usize);
        let mut changes = 0;
        while let Some(stage) = demand.rebalance(prefills, decodes) {
            match stage {
                Stage::Decode => (prefills, decodes) = (prefills - 1, decodes + 1),
                Stage::Prefill => (prefills, decodes) = (prefills + 1, decodes - 1),
            }
            changes += 1;
            assert!(changes < 18, "{demand:?}");
        }
    }
}

/// Without the order lease, no engine is inspected or ordered.
#[rstest]
#[case::none(None)]
#[case::expired(Some(Lease { token: 3, until: siskinstile_gateway::Instant::from_millis(1) }))]
fn plan_orders_without_lease(#[case] lease: Option<Lease>) {
    let mut site = Site::configured();
    site.post(Event::Lease(lease));
    for _ in 0..20 {
        site.send("/review/");
        site.advance(500);
    }
    let is_called =
        site.calls().into_iter().any(|it| matches!(it.step, Step::Inspect | Step::Order(_)));
    assert!(!is_called);
}

#[test]
fn should_hold_lease_first_by_name() {
    let mut site = Site::configured();
    assert!(
        !site.state.should_hold_lease(site.now),
        "first heartbeats of peers may be outstanding"
    );
    site.advance(2_000);
    assert!(site.state.should_hold_lease(site.now));
    site.post(Event::Heartbeat(Box::new(siskinstile_wire::message::heartbeat::Heartbeat {
        name: "a-peer".into(),
        incarnation: 1,
        number: 1,
        datacentre: "north".into(),
        ..Default::default()
    })));
    assert!(!site.state.should_hold_lease(site.now));
    site.advance(Duration::from_secs(2).as_millis() as u64);
    assert!(site.state.should_hold_lease(site.now), "the peer has timed out");
}

/// A report on an unknown call has no effect.
#[test]
fn report_unknown_call() {
    let mut site = Site::configured();
    site.report(siskinstile_gateway::call::Id(99), Outcome::Done);
    assert!(site.calls().is_empty());
}

/// Creates a pool in which half of the engines are prefill engines, and a gateway with enough
/// samples to find that these are too many.
fn site_with_demand(engines: u32) -> Site {
    let mut site = Site::with_engines(engines);
    for _ in 0..12 {
        site.send("/review/");
        let run = site.run_generation();
        site.report(run.id, Outcome::Head { status: 200 });
        site.report(run.id, Outcome::FirstEvent);
        site.advance(400);
        let completed = Outcome::Completed { events: 10, pause: Duration::ZERO, framed: true };
        site.report(run.id, completed);
        site.calls();
    }
    site
}

/// In a pool whose division is far from the target, one engine in 12 changes at a time, and engines
/// that are changing count under their new stage.
#[rstest]
#[case::small(12, 1)]
#[case::large(96, 8)]
fn order_several(#[case] engines: u32, #[case] expected: usize) {
    let mut site = site_with_demand(engines);
    let mut ordered = Vec::new();
    for _ in 0..100 {
        let until = site.now + Duration::from_secs(1);
        site.post(Event::Lease(Some(Lease { token: 7, until })));
        for call in site.calls() {
            match call.step {
                Step::Inspect => {
                    let stage = Stage::Prefill;
                    let outcome = Outcome::Inspected { stage, orders: 0, busy: false, requests: 0 };
                    site.report(call.id, outcome);
                }
                Step::Order(order) => {
                    assert_eq!((order.token, order.precondition), (7, 0));
                    assert!(!ordered.contains(&call.endpoint.id), "{ordered:?}");
                    ordered.push(call.endpoint.id.clone());
                    site.report(call.id, Outcome::Done);
                }
                _ => {}
            }
        }
        site.advance(100);
    }
    assert_eq!(ordered.len(), expected, "{ordered:?}");
}

/// Guards against calls to engines of an evacuated data centre: one that was inspected before is not
/// ordered, and none is inspected.
#[test]
fn order_evacuated() {
    let mut site = site_with_demand(12);
    let until = site.now + Duration::from_secs(60);
    site.post(Event::Lease(Some(Lease { token: 7, until })));
    let mut calls = Vec::new();
    while calls.is_empty() && site.now < until {
        site.advance(100);
        calls = site.calls();
    }
    let inspection = calls.pop().expect("an inspection");
    assert_eq!(inspection.step, Step::Inspect);
    site.post(Event::Evacuated(vec!["north".into()]));
    let outcome = Outcome::Inspected { stage: Stage::Prefill, orders: 0, busy: false, requests: 0 };
    site.report(inspection.id, outcome);
    site.advance(30_000);
    assert!(site.calls().is_empty());
    let is_ordered = |it: &Effect| matches!(it, Effect::Log(line) if line.code == record::ORDERED);
    assert!(!site.effects.iter().any(is_ordered));
}

/// In a pool whose endpoint list changes every second, orders are issued if an endpoint is a small
/// part of the pool, but not if the next list may show a different division.
#[rstest]
#[case::small(12, false)]
#[case::large(96, true)]
fn order_while_lists_change(#[case] engines: u32, #[case] orders: bool) {
    let mut site = site_with_demand(engines);
    let mut inspected = false;
    for second in 0..10 {
        site.list_engines(engines + 1 - second % 2);
        let until = site.now + Duration::from_secs(2);
        site.post(Event::Lease(Some(Lease { token: 7, until })));
        site.advance(1_000);
        inspected |= site.calls().iter().any(|it| it.step == Step::Inspect);
    }
    assert_eq!(inspected, orders);
}

/// Guards against a fit that is distorted by prompts of other instances: these lengthen half of the
/// samples, yet the fit must match an engine that computes nothing else.
#[test]
fn record_prompt_interference() {
    let mut forecast = siskinstile_gateway::engine::Forecast::default();
    for sample in 0_u64..200 {
        let tokens = 2_000 + sample * 1_237 % 8_000;
        let own_ms = 100 + tokens / 55;
        let other_ms = if sample % 2 == 0 { 0 } else { (1_000 + sample * 787 % 9_000) / 55 };
        forecast.record_prompt(tokens, Duration::from_millis(own_ms + other_ms));
    }
    let compute_ms = forecast.compute_ms(5_000);
    assert!((80.0..105.0).contains(&compute_ms), "{compute_ms}");
    let latency_ms = forecast.prompt_latency_ms(5_000);
    assert!((180.0..220.0).contains(&latency_ms), "{latency_ms}");
}

/// Guards against overfitting: with a few noisy samples, the estimate stays near the assumed one.
#[test]
fn record_prompt_few_samples() {
    let mut forecast = siskinstile_gateway::engine::Forecast::default();
    for (tokens, ms) in
        [(4_000, 205), (4_400, 190), (5_000, 260), (5_300, 210), (5_600, 225), (6_000, 215)]
    {
        for _ in 0..2 {
            forecast.record_prompt(tokens, Duration::from_millis(ms));
        }
    }
    let compute_ms = forecast.compute_ms(5_000);
    assert!((70.0..130.0).contains(&compute_ms), "{compute_ms}");
}
