//! Values at the ends of their ranges, as endpoints, peers and callers may state them.

use std::{sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use rstest::rstest;
use siskinstile_gateway::{
    Catalog, Directory, Event,
    call::{Notice, Outcome, ReportedLoad, StatedLimit, Step},
    directory::Endpoint,
    effect::Call,
    request::{Arrival, Id, Tokens},
};
use siskinstile_wire::message::heartbeat::{
    Account, Cold, Count, Heartbeat, Limit, Load, LowBucket, Pace, Suspect,
};

use crate::site::{Site, draft, endpoints};

const STEPS: u64 = 400;
const NUMBERS: [u64; 8] = [0, 1, 999, 1 << 31, (1 << 32) - 1, 1 << 53, u64::MAX - 1, u64::MAX];

fn number(random: &mut SmallRng) -> u64 {
    *NUMBERS.choose(random).expect("there are some")
}

fn small(random: &mut SmallRng) -> u32 {
    u32::try_from(number(random)).unwrap_or(u32::MAX)
}

fn duration(random: &mut SmallRng) -> Duration {
    match random.random_range(0..3) {
        0 => Duration::MAX,
        1 => Duration::from_millis(number(random)),
        _ => Duration::from_nanos(number(random)),
    }
}

fn notice(random: &mut SmallRng) -> Notice {
    let load = ReportedLoad {
        running: small(random),
        waiting: small(random),
        slots: Some(small(random)),
        pace: Some(small(random)),
    };
    Notice {
        load: random.random_bool(0.5).then_some(load),
        limit: StatedLimit::Rate(number(random)),
        backoff: random.random_bool(0.3).then(|| duration(random)),
        cold_remaining: random.random_bool(0.3).then(|| duration(random)),
        leaving: false,
        is_other: false,
    }
}

fn heartbeat(random: &mut SmallRng) -> Heartbeat {
    let endpoint = || siskinstile_gateway::name_hash::NameHash::of("r1").0;
    Heartbeat {
        name: "peer".into(),
        incarnation: 1,
        number: random.random_range(0..1_000),
        datacentre: "north".into(),
        store_age_ms: small(random),
        loads: vec![Load {
            endpoint: endpoint(),
            requests: small(random),
            memory_tokens: number(random),
            prompt_tokens: number(random),
        }],
        accounts: vec![Account {
            team: siskinstile_gateway::name_hash::NameHash::of("a").0,
            spent: number(random),
            refunded: number(random),
        }],
        limits: vec![Limit {
            endpoint: endpoint(),
            rate: Some(number(random)),
            number: number(random),
            started_at_ms: Some(1),
            age_ms: number(random),
        }],
        waiting: vec![Count { name: "model".into(), count: number(random) }],
        paces: vec![Pace {
            endpoint: endpoint(),
            percent: small(random),
            running: small(random),
            waiting: small(random),
            age_ms: number(random),
        }],
        cold: vec![Cold {
            endpoint: endpoint(),
            started_at_ms: Some(1),
            remaining_ms: number(random),
            number: number(random),
        }],
        suspects: vec![Suspect {
            part: number(random),
            depth: small(random),
            crashes: Vec::new(),
            cleared_age_ms: Some(number(random)),
            quarantined_ms: Some(number(random)),
        }],
        low_buckets: vec![LowBucket {
            team: siskinstile_gateway::name_hash::NameHash::of("a").0,
            level: number(random) as i64,
        }],
        ..Heartbeat::default()
    }
}

fn arrival(random: &mut SmallRng, id: u64) -> Arrival {
    let prefix = ["/review/1", "/review-again/1", "/issue/1", "/lookup/1"];
    let tokens = Tokens { prompt: number(random), output: number(random), expected: None };
    Arrival {
        id: Id(id),
        request_id: format!("request-{id}").into(),
        host: "board.example".into(),
        path: (*prefix.choose(random).expect("there are some")).into(),
        content: siskinstile_gateway::name_hash::NameHash(id),
        key: Some("key-a".into()),
        tokens: random.random_bool(0.7).then_some(tokens),
        prompt_parts: Vec::new(),
        max_wait: random.random_bool(0.3).then(|| duration(random)),
        last_event: None,
        resumes: None,
        handed_over: None,
    }
}

fn listed(random: &mut SmallRng) -> Event {
    let mut odd = |it: Endpoint| Endpoint {
        slots: small(random),
        started_at_ms: Some(number(random)),
        sequence: Some(number(random)),
        cold_remaining: duration(random),
        ..it
    };
    Event::EndpointsListed(Arc::new(Directory::new(endpoints().into_iter().map(&mut odd))))
}

fn configured(random: &mut SmallRng, version: u64) -> Event {
    let mut odd = draft(version);
    for route in &mut odd.routes {
        route.timeout = duration(random);
        route.target_latency = duration(random);
        route.target_gap = random.random_bool(0.5).then(|| duration(random));
        route.attempts = small(random);
        route.splits[0].weight = small(random);
    }
    for service in &mut odd.services {
        service.connection_limit = small(random);
        if let Some(engine) = &mut service.engine {
            engine.slots = small(random);
            engine.memory_tokens = number(random);
            engine.event_tokens = number(random);
            engine.hold_limit = duration(random);
            engine.handle_retention = duration(random);
            engine.reconfigure_time = duration(random);
        }
    }
    for quota in odd.teams.iter_mut().filter_map(|it| it.quota.as_mut()) {
        quota.rate = number(random);
        quota.burst = number(random);
        quota.default_tokens = number(random);
    }
    match Catalog::check(odd) {
        Ok(catalog) => Event::Configured(Arc::new(catalog)),
        Err(_) => Event::Tick,
    }
}

fn outcome(random: &mut SmallRng, call: &Call) -> Outcome {
    match (&call.step, random.random_range(0..4)) {
        (_, 0) => Outcome::Refused { status: 503 },
        (Step::Hold { .. }, _) => Outcome::Held { hold: "h".into() },
        (Step::Prefill, _) => Outcome::Computed { handle: "kv".into(), tokens: number(random) },
        (_, 1) => Outcome::Head { status: 200 },
        (_, _) => Outcome::FirstEvent,
    }
}

/// Guards against a process that hangs or ends by a value from outside: no arithmetic panics, whatever endpoints,
/// peers, callers and the list of endpoints state.
#[rstest]
fn values_extreme() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut site = Site::configured();
        for step in 0..STEPS {
            match random.random_range(0..10) {
                0 if random.random_bool(0.2) => site.post(configured(&mut random, 2 + step)),
                0 => site.post(listed(&mut random)),
                1 | 2 => site.post(Event::Heartbeat(Box::new(heartbeat(&mut random)))),
                3..6 => {
                    let arrival = arrival(&mut random, step);
                    site.post(Event::Arrival(arrival));
                }
                6..9 => {
                    for call in site.calls() {
                        let outcome = outcome(&mut random, &call);
                        let notice = notice(&mut random);
                        site.report_with(call.id, outcome, notice);
                    }
                }
                _ => site.advance(random.random_range(1..1_500)),
            }
        }
    }
}
