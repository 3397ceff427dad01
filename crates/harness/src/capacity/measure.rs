//! Measurement of the slopes.

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

/// Size of the length prefix of a message, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Number of requests, or of heartbeats, over which a mean is taken.
const REQUESTS: u64 = 20_000;
/// Number of ticks within which a change must be in force at the publisher.
const MAX_CHANGE_TICKS: usize = 400;
/// Number of ticks over which the mean time of a tick is taken.
const TICKS: u64 = 2_000;

/// Function that returns the number of bytes currently allocated.
pub type Allocated = dyn Fn() -> usize;

/// Measures all slopes at the target size; takes a function that counts allocated bytes.
pub fn measure(allocated: &Allocated) -> Slopes {
    let mut rig = Rig::open(&TARGET);
    assert!(rig.is_ready(), "the instance has not adopted the whole set");
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
    cpu_us.insert("change_at_reader".into(), change_at_reader());
    let mut publisher = Rig::open(&Size { instances: 1, ..TARGET });
    cpu_us.insert("change_at_publisher".into(), change_at_publisher(&mut publisher));
    drop(publisher);
    Slopes { cpu_us, message_bytes: message_bytes(), memory_bytes: memory_bytes(allocated) }
}

/// Returns the mean time of `count` runs, in microseconds.
fn mean_us(count: u64, mut run: impl FnMut(u64)) -> f64 {
    let start = Clock::now();
    (0..count).for_each(&mut run);
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Measures a completion from its arrival to its end.
fn request(rig: &mut Rig) -> f64 {
    mean_us(REQUESTS, |number| {
        rig.now.0 += 1_000;
        run_request(rig, number);
    })
}

fn run_request(rig: &mut Rig, number: u64) {
    let arrival = rig::arrival(&TARGET, number);
    let mut effects = rig.step(Event::Arrival(arrival));
    while let Some(report) = effects.iter().find_map(report) {
        effects = rig.step(Event::Report(report));
    }
    let is_finished = effects.iter().any(|it| matches!(it, Effect::Finish { .. }));
    assert!(is_finished, "a measured request was not answered");
}

/// Returns the report of an endpoint that completes each step at once, if the effect is a call.
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
    mean_us(TICKS, |_| rig.tick())
}

fn heartbeat(rig: &mut Rig) -> f64 {
    mean_us(REQUESTS, |number| {
        let from = format!("instance-{}", number % TARGET.instances_per_datacentre as u64);
        rig.step(Event::Message(envelope(&from, heartbeat_body())));
    })
}

fn query(rig: &mut Rig, query: Query) -> f64 {
    mean_us(20, |id| drop(rig.step(Event::Query { id, query: query.clone() })))
}

fn key_lookup(config: &Config) -> f64 {
    let presented: Vec<Secret> =
        (0..1_000).filter_map(|number| rig::arrival(&TARGET, number * 7).key).collect();
    mean_us(200_000, |number| {
        let secret = &presented[number as usize % presented.len()];
        assert!(black_box(key::verify(&config.set, secret)).is_some());
    })
}

fn set_check() -> f64 {
    let set = rig::set(&TARGET);
    mean_us(5, |_| assert!(check::check(&set).is_empty()))
}

fn set_adoption() -> f64 {
    let value = serde_json::to_value(rig::set(&TARGET)).expect("the set can be serialized");
    mean_us(5, |_| {
        let set = serde_json::from_value(value.clone()).expect("the set can be deserialized");
        black_box(Config::new(1, set));
    })
}

/// Measures the application of a diff of one object received from a peer.
fn change_at_reader() -> f64 {
    let old = rig::set(&TARGET);
    let index = Index::of(&old);
    mean_us(20, |number| {
        let name: Name = format!("team-{number}").into();
        let mut team = old.teams[&name].clone();
        team.rate += 1;
        let text = serde_json::to_string(&team).expect("the team can be serialized");
        let change = Change { kind: Kind::Team, name, value: Some(text) };
        let mut set = old.clone();
        let changed_buckets = chunk::apply(&mut set, &[change]).expect("the change is valid");
        let mut new_index = index.clone();
        new_index.refresh(&set, changed_buckets);
        assert_ne!(new_index.digest(), index.digest());
        assert_eq!(chunk::diff(&old, &set).len(), 1);
        black_box(Config::new(2, set));
    })
}

/// Measures a change of one object from the operator's edit to its adoption at the publisher.
fn change_at_publisher(rig: &mut Rig) -> f64 {
    mean_us(10, |number| {
        let generation = rig.state.config().generation;
        rig.edit(number);
        let ticks = (0..MAX_CHANGE_TICKS).take_while(|_| {
            rig.tick();
            rig.state.config().generation == generation
        });
        assert!(
            ticks.count() < MAX_CHANGE_TICKS,
            "the change is not in force after {MAX_CHANGE_TICKS} ticks"
        );
    })
}

fn envelope(from: &str, body: Body) -> Envelope {
    Envelope { from: from.into(), incarnation: 1_800_000_000_000, body: Some(body) }
}

fn peer_age(number: u32) -> message::member::PeerAge {
    message::member::PeerAge { name_hash: u32::MAX - number, age_ms: 1_500 }
}

fn heartbeat_body() -> Body {
    let heartbeat = message::member::Heartbeat {
        generation: 6_400,
        leaving: false,
        address: "10.200.1.17:7000".into(),
        datacentre: "dc-3".into(),
        platform_age_ms: Some(3_000),
        peer_ages: (0..TARGET.instances_per_datacentre as u32 - 1).map(peer_age).collect(),
        suspects: Vec::new(),
    };
    Body::Member(message::member::Message {
        kind: Some(message::member::Kind::Heartbeat(heartbeat)),
    })
}

/// Returns the size of each kind of message with typical values, in bytes.
fn message_bytes() -> IndexMap<String, f64> {
    use message::{dispatch, hold, limit};
    let limit = |kind| Body::Limit(limit::Message { kind: Some(kind) });
    let hold = |kind| Body::Hold(hold::Message { kind: Some(kind) });
    let dispatch = |kind| Body::Dispatch(dispatch::Message { kind: Some(kind) });
    let hold_id = || hold::HoldId { request: u64::MAX, attempt: 1 };
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
        ("hold_noted", hold(hold::Kind::Ack(hold_id()))),
        ("hold_gone", hold(hold::Kind::Released(hold_id()))),
        ("submit", dispatch(dispatch::Kind::Submit(submit()))),
        ("placed", dispatch(dispatch::Kind::Placed(placed()))),
        ("burn_series", Body::Burn(message::burn::Message { series: vec![series()] })),
        ("released", dispatch(dispatch::Kind::Released(released()))),
    ];
    let bytes =
        |body| (envelope("dc-3-instance-17", body).encoded_len() + LENGTH_PREFIX_BYTES) as f64;
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

/// Returns the memory of one object of each kind, in bytes.
///
/// The memory of a small object is the difference that many of them make, divided by their number.
fn memory_bytes(allocated: &Allocated) -> IndexMap<String, f64> {
    let config = |size: Size| {
        let before = allocated();
        let config = Config::new(1, rig::set(&size));
        let bytes = allocated() - before;
        drop(config);
        bytes as f64
    };
    let empty = Size { teams: 0, keys: 0, ..TARGET };
    let empty_bytes = config(empty);
    let team = (config(Size { teams: 7_600, ..empty }) - empty_bytes) / 7_600.0;
    let key = (config(Size { keys: 20_000, ..empty }) - empty_bytes) / 20_000.0;
    let endpoint = (empty_bytes - config(Size { endpoints: 0, ..empty })) / TARGET.endpoints as f64;
    let entries = [
        ("team", team),
        ("key", key),
        ("endpoint", endpoint),
        ("configuration", config(TARGET)),
        ("publisher", publisher_memory(allocated)),
        ("open_request", open_request_memory(allocated)),
        ("trace", trace_memory(allocated)),
        ("burn_series", burn_series_memory(allocated)),
    ];
    entries.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// Returns the memory of an instance that has published and adopted the set of the target size.
fn publisher_memory(allocated: &Allocated) -> f64 {
    let before = allocated();
    let Rig { state, store, .. } = Rig::open(&TARGET);
    drop(store);
    let bytes = allocated() - before;
    drop(state);
    bytes as f64
}

fn open_request_memory(allocated: &Allocated) -> f64 {
    let mut rig = Rig::open(&TARGET);
    for number in 0..trace::KEPT_REQUESTS as u64 + 1 {
        run_request(&mut rig, number);
    }
    let before = allocated();
    let count = 100;
    for number in 0..count {
        rig.step(Event::Arrival(rig::arrival(&TARGET, 1_000_000 + number)));
    }
    (allocated() as f64 - before as f64) / count as f64
}

fn trace_memory(allocated: &Allocated) -> f64 {
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

fn burn_series_memory(allocated: &Allocated) -> f64 {
    let names: Vec<Name> = (0..1_000).map(|it| format!("team-{it}").into()).collect();
    let service: Name = "model-1".into();
    let mut report = burn::Report::default();
    let before = allocated();
    names.iter().for_each(|team| report.record_good(Default::default(), &service, team));
    (allocated() - before) as f64 / names.len() as f64
}
