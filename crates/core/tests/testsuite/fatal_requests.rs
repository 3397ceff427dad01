//! Requests that end each endpoint that runs them.

use std::time::Duration;

use siskinstile_core::{
    Effect, Event,
    error::{Kind, Ran},
    member::{Record, Status},
    request::Outcome,
    store::{Answer, Tag},
};
use siskinstile_wire::{Body, Envelope};

use crate::attempts::Fixture;

/// Requests that are sent in each test.
const REQUESTS: usize = 12;
/// Endpoints that a request may end.
const MAX_ENDED: u32 = 3;

/// Sends a request again and again, under which each endpoint ends, or only its connection breaks;
/// returns the number of calls.
fn break_calls(fixture: &mut Fixture, ended: bool) -> u32 {
    let mut calls = 0;
    for _ in 0..REQUESTS {
        fixture.submit_plain("/lookup");
        let mut attempt = 1;
        while fixture.failure().is_none() {
            calls += 1;
            advance(fixture, 60);
            fixture.report(attempt, Outcome::Failed { sent: true, next_index: 0, ended });
            attempt += 1;
        }
        advance(fixture, 500);
    }
    calls
}

fn advance(fixture: &mut Fixture, ms: u64) {
    for _ in 0..ms / 20 {
        fixture.now = fixture.now + Duration::from_millis(20);
        fixture.step(Event::Tick);
    }
}

fn refused(fixture: &mut Fixture) -> bool {
    fixture.submit_plain("/lookup");
    fixture.failure() == Some((Kind::Quarantined, Ran::No))
}

/// Guards against a request that ends endpoint after endpoint, up to six for each time that it comes;
/// another one on the same path is served.
#[test]
fn request_refused() {
    let mut fixture = Fixture::named("a");
    let calls = break_calls(&mut fixture, true);
    assert!(calls <= MAX_ENDED, "{calls} endpoints ended");
    assert!(refused(&mut fixture));
    fixture.digest = 1;
    fixture.submit_plain("/lookup");
    fixture.call();
}

/// Guards against wrong quarantines: connections that break while their endpoints live on tell nothing.
#[test]
fn endpoint_lives_on() {
    let mut fixture = Fixture::named("a");
    let calls = break_calls(&mut fixture, false);
    assert!(calls > MAX_ENDED, "{calls}");
    assert!(!refused(&mut fixture));
}

/// Guards against knowledge that stays at one instance: its next heartbeats tell the others.
#[test]
fn told_to_peers() {
    let (mut first, mut second) = (Fixture::named("a"), Fixture::named("b"));
    let record = |name: &str| Record {
        name: name.into(),
        address: format!("127.0.0.1:{}", name.len()).into(),
        admin: None,
        datacentre: "dc".into(),
        incarnation: 1,
        state: Status::Live,
    };
    let answer = Answer::Instances(vec![record("a"), record("b")]);
    first.step(Event::StoreAnswered { tag: Tag::Instances, answer });
    break_calls(&mut first, true);
    let mut heartbeats = Vec::new();
    for _ in 0..60 {
        advance(&mut first, 20);
        heartbeats.extend(first.effects.iter().filter_map(|it| match it {
            Effect::Send { body: Body::Member(body), .. } => Some(body.clone()),
            _ => None,
        }));
    }
    assert!(!refused(&mut second));
    let mut second = Fixture::named("b");
    for body in heartbeats {
        let body = Some(Body::Member(body));
        second.step(Event::Message(Envelope { from: "a".into(), incarnation: 1, body }));
    }
    assert!(refused(&mut second));
}
