//! The measurement of the slopes.

use std::{hint::black_box, time::Instant as Clock};

use indexmap::IndexMap;
use prost::Message as _;
use siskinstile_core::{
    Config, Effect, Event, Query, burn, check,
    chunk::{self, Change, Index},
    key,
    key::Secret,
    object::{Kind, Name},
    request::{Id, Outcome, Report, Step},
    trace,
};
use siskinstile_wire::{Body, Envelope, message};

use super::{
    Slopes,
    rig::{self, Rig, Size, TARGET},
};

/// Bytes of the length before a message.
const LENGTH_BYTES: usize = 4;
/// Requests of a measurement.
const REQUESTS: u64 = 20_000;
/// Most ticks until a change is in force.
const CHANGE_TICKS: usize = 400;
/// Ticks of a measurement.
const TICKS: u64 = 2_000;

/// Returns the bytes that are allocated now.
pub type Allocated = dyn Fn() -> usize;

/// Measures every slope.
pub fn measure(allocated: &Allocated) -> Slopes {
    let mut rig = Rig::open(&TARGET);
    assert!(rig.is_ready(), "the set is not in force");
    let mut cpu_us = IndexMap::new();
    cpu_us.insert("request".into(), request(&mut rig));
    cpu_us.insert("tick".into(), tick(&mut rig));
    cpu_us.insert("heartbeat".into(), heartbeat(&mut rig));
    cpu_us.insert("status".into(), query(&mut rig, Query::Status));
    cpu_us.insert("burn_report".into(), query(&mut rig, Query::Burn));
    cpu_us.insert("key_lookup".into(), key_lookup(rig.state.config()));
    cpu_us.insert("set_check".into(), set_check());
    cpu_us.insert("set_adoption".into(), set_adoption());
    drop(rig);
    cpu_us.insert("change_at_reader".into(), change_read());
    let mut publisher = Rig::open(&Size { instances: 1, ..TARGET });
    cpu_us.insert("change_at_publisher".into(), change(&mut publisher));
    drop(publisher);
    Slopes { cpu_us, message_bytes: messages(), memory_bytes: memory(allocated) }
}

/// Returns the microseconds of one of `count` runs.
fn time(count: u64, mut run: impl FnMut(u64)) -> f64 {
    let start = Clock::now();
    (0..count).for_each(&mut run);
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// A whole completion, from its arrival to its end.
fn request(rig: &mut Rig) -> f64 {
    time(REQUESTS, |number| {
        rig.now.0 += 1_000;
        whole_request(rig, number);
    })
}

fn whole_request(rig: &mut Rig, number: u64) {
    let arrival = rig::arrival(&TARGET, number);
    let mut effects = rig.step(Event::Arrival(arrival));
    while let Some(report) = effects.iter().find_map(report) {
        effects = rig.step(Event::Report(report));
    }
    let finished = effects.iter().any(|it| matches!(it, Effect::Finish { .. }));
    assert!(finished, "a request of the measurement was not answered");
}

/// Returns what an endpoint that does everything at once reports.
fn report(effect: &Effect) -> Option<Report> {
    let Effect::Call { request, attempt, step, .. } = effect else { return None };
    let outcome = match step {
        Step::Prefill => Outcome::Computed { kv: "kv".into(), cached: 0 },
        Step::Import { .. } => Outcome::Imported,
        Step::Decode { .. } | Step::Forward => Outcome::Completed { tokens: 100, answer: None },
    };
    Some(Report { request: *request, attempt: *attempt, outcome })
}

fn tick(rig: &mut Rig) -> f64 {
    time(TICKS, |_| rig.tick())
}

fn heartbeat(rig: &mut Rig) -> f64 {
    time(REQUESTS, |number| {
        let from = format!("instance-{}", number % TARGET.neighbours as u64);
        rig.step(Event::Message(envelope(&from, heartbeat_body())));
    })
}

fn query(rig: &mut Rig, query: Query) -> f64 {
    time(20, |id| drop(rig.step(Event::Query { id, query: query.clone() })))
}

fn key_lookup(config: &Config) -> f64 {
    let presented: Vec<Secret> =
        (0..1_000).filter_map(|number| rig::arrival(&TARGET, number * 7).key).collect();
    time(200_000, |number| {
        let secret = &presented[number as usize % presented.len()];
        assert!(black_box(key::verify(&config.set, secret)).is_some());
    })
}

fn set_check() -> f64 {
    let set = rig::set(&TARGET);
    time(5, |_| assert!(check::check(&set).is_empty()))
}

fn set_adoption() -> f64 {
    let value = serde_json::to_value(rig::set(&TARGET)).expect("a set is plain data");
    time(5, |_| {
        let set = serde_json::from_value(value.clone()).expect("it was written from a set");
        black_box(Config::new(1, set));
    })
}

/// What an instance does with a difference of one object that a peer has sent.
fn change_read() -> f64 {
    let old = rig::set(&TARGET);
    let index = Index::of(&old);
    time(20, |number| {
        let name: Name = format!("team-{number}").into();
        let mut team = old.teams[&name].clone();
        team.rate += 1;
        let text = serde_json::to_string(&team).expect("a team is plain data");
        let change = Change { kind: Kind::Team, name, value: Some(text) };
        let mut set = old.clone();
        let touched = chunk::apply(&mut set, &[change]).expect("the change is valid");
        let mut newer = index.clone();
        newer.refresh(&set, touched);
        assert_ne!(newer.digest(), index.digest());
        assert_eq!(chunk::diff(&old, &set).len(), 1);
        black_box(Config::new(2, set));
    })
}

/// One changed object, from the operator's edit to its adoption at the publisher.
fn change(rig: &mut Rig) -> f64 {
    time(10, |number| {
        let generation = rig.state.config().generation;
        rig.edit(number);
        let ticks = (0..CHANGE_TICKS).take_while(|_| {
            rig.tick();
            rig.state.config().generation == generation
        });
        assert!(ticks.count() < CHANGE_TICKS, "a change is not in force");
    })
}

fn envelope(from: &str, body: Body) -> Envelope {
    Envelope { from: from.into(), incarnation: 1_800_000_000_000, body: Some(body) }
}

fn peer_age(number: u32) -> message::member::PeerAge {
    message::member::PeerAge { name_hash: u32::MAX - number, age_ms: 1_500 }
}

fn heartbeat_body() -> Body {
    let beat = message::member::Heartbeat {
        generation: 6_400,
        leaving: false,
        address: "10.200.1.17:7000".into(),
        datacentre: "dc-3".into(),
        platform_age_ms: Some(3_000),
        peer_ages: (0..TARGET.neighbours as u32 - 1).map(peer_age).collect(),
    };
    Body::Member(message::member::Message { kind: Some(message::member::Kind::Heartbeat(beat)) })
}

/// Bytes of each message kind with typical values.
fn messages() -> IndexMap<String, f64> {
    use message::{dispatch, hold, limit};
    let limit = |kind| Body::Limit(limit::Message { kind: Some(kind) });
    let hold = |kind| Body::Hold(hold::Message { kind: Some(kind) });
    let dispatch = |kind| Body::Dispatch(dispatch::Message { kind: Some(kind) });
    let named = || hold::HoldId { request: u64::MAX, attempt: 1 };
    let endpoints = || vec!["model-7-worker-12".into(), "model-7-worker-54".into()];
    let bodies = [
        ("heartbeat", heartbeat_body()),
        ("ask", limit(limit::Kind::Borrow(borrow()))),
        ("lend", limit(limit::Kind::Lend(lend()))),
        (
            "hold_take",
            hold(hold::Kind::Reserve(hold::Reserve {
                request: u64::MAX,
                attempt: 1,
                endpoints: endpoints(),
            })),
        ),
        ("hold_noted", hold(hold::Kind::Ack(named()))),
        ("hold_gone", hold(hold::Kind::Released(named()))),
        ("submit", dispatch(dispatch::Kind::Submit(submit()))),
        ("placed", dispatch(dispatch::Kind::Placed(placed()))),
        ("burn_series", Body::Burn(message::burn::Message { series: vec![series()] })),
        ("released", dispatch(dispatch::Kind::Released(released()))),
    ];
    let bytes = |body| (envelope("dc-3-instance-17", body).encoded_len() + LENGTH_BYTES) as f64;
    bodies.into_iter().map(|(name, body)| (name.to_owned(), bytes(body))).collect()
}

fn borrow() -> message::limit::Borrow {
    message::limit::Borrow {
        team: "team-4711".into(),
        tokens: 4_256,
        advance: 20_000,
        sequence: 99_999,
        repayments: vec![message::limit::Repayment { sequence: 99_990, unspent: 3_000 }],
        refund: 150,
    }
}

fn lend() -> message::limit::Lend {
    message::limit::Lend {
        team: "team-4711".into(),
        tokens: 20_000,
        sequence: 99_999,
        incarnation: 1_800_000_000_000,
        remaining: 50_000,
    }
}

fn submit() -> message::dispatch::Submit {
    message::dispatch::Submit {
        request: u64::MAX,
        attempt: 1,
        route: "model-7".into(),
        team: "team-4711".into(),
        prompt_tokens: 4_000,
        max_tokens: 256,
        prefixes: vec![u64::MAX; 2],
        age_ms: 1,
        excluded: Vec::new(),
    }
}

fn placed() -> message::dispatch::Placed {
    message::dispatch::Placed {
        request: u64::MAX,
        attempt: 1,
        prefill: "model-7-worker-12".into(),
        run: "model-7-worker-54".into(),
        reason: "least queue plus uncached prompt".into(),
    }
}

fn series() -> message::burn::Series {
    message::burn::Series {
        service: "model-7".into(),
        team: "team-4711".into(),
        slots: vec![100; 96],
        causes: vec![1.0; 7],
    }
}

fn released() -> message::dispatch::Released {
    message::dispatch::Released { request: u64::MAX, attempt: 1, tokens: 256, failed: false }
}

/// Bytes of memory for one of each kind, by the difference that many make.
fn memory(allocated: &Allocated) -> IndexMap<String, f64> {
    let config = |size: Size| {
        let before = allocated();
        let config = Config::new(1, rig::set(&size));
        let bytes = allocated() - before;
        drop(config);
        bytes as f64
    };
    let none = Size { teams: 0, keys: 0, ..TARGET };
    let base = config(none);
    let team = (config(Size { teams: 7_600, ..none }) - base) / 7_600.0;
    let key = (config(Size { keys: 20_000, ..none }) - base) / 20_000.0;
    let endpoint = (base - config(Size { endpoints: 0, ..none })) / TARGET.endpoints as f64;
    let entries = [
        ("team", team),
        ("key", key),
        ("endpoint", endpoint),
        ("configuration", config(TARGET)),
        ("publisher", whole_instance(allocated)),
        ("open_request", open_request(allocated)),
        ("trace", traces(allocated)),
        ("burn_series", burn_series(allocated)),
    ];
    entries.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// An instance that has published and adopted the set at the target size.
fn whole_instance(allocated: &Allocated) -> f64 {
    let before = allocated();
    let Rig { state, store, .. } = Rig::open(&TARGET);
    drop(store);
    let bytes = allocated() - before;
    drop(state);
    bytes as f64
}

fn open_request(allocated: &Allocated) -> f64 {
    let mut rig = Rig::open(&TARGET);
    for number in 0..trace::KEPT_REQUESTS as u64 + 1 {
        whole_request(&mut rig, number);
    }
    let before = allocated();
    let count = 100;
    for number in 0..count {
        rig.step(Event::Arrival(rig::arrival(&TARGET, 1_000_000 + number)));
    }
    (allocated() as f64 - before as f64) / count as f64
}

fn traces(allocated: &Allocated) -> f64 {
    let mut ring = trace::Ring::default();
    let before = allocated();
    for request in 0..trace::KEPT_REQUESTS as u64 {
        for note in 0..6 {
            ring.note(
                Default::default(),
                Id(request),
                format!("a decision of some fifty characters {note:10}"),
            );
        }
    }
    (allocated() - before) as f64 / trace::KEPT_REQUESTS as f64
}

fn burn_series(allocated: &Allocated) -> f64 {
    let names: Vec<Name> = (0..1_000).map(|it| format!("team-{it}").into()).collect();
    let service: Name = "model-1".into();
    let mut report = burn::Report::default();
    let before = allocated();
    names.iter().for_each(|team| report.record_good(Default::default(), &service, team));
    (allocated() - before) as f64 / names.len() as f64
}
