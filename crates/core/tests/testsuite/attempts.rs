use std::{sync::Arc, time::Duration};

use rstest::rstest;
use serde_json::json;
use siskinstile_core::{
    Config, Effect, Event, Instant, Query, State,
    error::{Kind, Ran},
    object::{Kind as Object, Set},
    request::{Arrival, Id, Outcome, Report, Step, Target},
    state::Settings,
};

const REQUEST: Id = Id(1);

fn set() -> Set {
    let endpoint = |name: &str, role: &str, port: u16| {
        json!({ "name": name, "address": format!("127.0.0.1:{port}"), "datacentre": "dc",
                "role": role, "places": 4, "memory": 65536 })
    };
    let engines = [
        endpoint("prefill-1", "prefill", 1),
        endpoint("prefill-2", "prefill", 2),
        endpoint("decode-1", "decode", 3),
        endpoint("decode-2", "decode", 4),
    ];
    let plains = [endpoint("plain-1", "plain", 5), endpoint("plain-2", "plain", 6)];
    let route = |name: &str, idempotent: bool| {
        json!({ "name": name, "service": "plain", "pool": "plain", "path": format!("/{name}"),
                "urgency": "urgent", "idempotent": idempotent, "open": true, "first_token_ms": 100 })
    };
    let model = json!({ "name": "model", "service": "model", "pool": "model", "model": "m",
        "urgency": "urgent", "idempotent": true, "open": true, "first_token_ms": 100 });
    let mut set = Set::default();
    let objects = [
        (Object::Service, json!({ "name": "model", "workload": "model", "models": ["m"] })),
        (Object::Service, json!({ "name": "plain", "workload": "plain" })),
        (Object::Pool, json!({ "name": "model", "service": "model", "endpoints": engines })),
        (Object::Pool, json!({ "name": "plain", "service": "plain", "endpoints": plains })),
        (Object::Route, model),
        (Object::Route, route("lookup", true)),
        (Object::Route, route("issue", false)),
    ];
    for (kind, value) in objects {
        set.insert(kind, value).unwrap();
    }
    set
}

/// An instance without peers whose configuration contains [`set`].
pub(crate) struct Fixture {
    state: State,
    pub(crate) now: Instant,
    pub(crate) effects: Vec<Effect>,
    /// Digest of the requests that are submitted.
    pub(crate) digest: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::named("a")
    }

    pub(crate) fn named(name: &str) -> Fixture {
        let settings = Settings {
            name: name.into(),
            incarnation: 1,
            datacentre: "dc".into(),
            fleet_size: 1,
            balancer_lag: Duration::from_secs(1),
        };
        let (state, _) = State::new(settings);
        let now = Instant::from_millis(10_000);
        let mut fixture = Fixture { state, now, effects: Vec::new(), digest: 0 };
        fixture.state.adopt(fixture.now, Arc::new(Config::new(1, set())));
        fixture
    }

    pub(crate) fn step(&mut self, event: Event) {
        self.effects = self.state.step(self.now, event);
    }

    fn submit(&mut self, target: Target) {
        self.step(Event::Arrival(Arrival {
            id: REQUEST,
            key: None,
            target,
            idempotency_key: None,
            digest: self.digest,
            prompt_tokens: 10,
            max_tokens: 8,
            prefixes: Arc::new([]),
        }));
    }

    pub(crate) fn submit_plain(&mut self, path: &str) {
        self.submit(Target::Path { method: "POST".into(), path: path.into() });
    }

    pub(crate) fn report(&mut self, attempt: u32, outcome: Outcome) {
        self.step(Event::Report(Report { request: REQUEST, attempt, outcome }));
    }

    /// Returns the attempt, endpoint and step of the only call caused by the last event.
    pub(crate) fn call(&self) -> (u32, String, Step) {
        let mut calls = self.effects.iter().filter_map(|effect| match effect {
            Effect::Call { attempt, endpoint, step, .. } => {
                Some((*attempt, endpoint.name.to_string(), step.clone()))
            }
            _ => None,
        });
        let call = calls.next().expect("a call");
        assert!(calls.next().is_none());
        call
    }

    pub(crate) fn failure(&self) -> Option<(Kind, Ran)> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Fail { failure, .. } => Some((failure.kind, failure.ran)),
            _ => None,
        })
    }

    /// Submits a completion and advances its first attempt to the decode step; returns the decode
    /// endpoint.
    fn start_decoding(&mut self) -> String {
        self.submit(Target::Model("m".into()));
        self.report(1, Outcome::Computed { kv: "kv".into(), cached: 0 });
        self.report(1, Outcome::Imported);
        self.call().1
    }
}

fn failed(sent: bool, next_index: u64) -> Outcome {
    Outcome::Failed { sent, next_index, ended: false }
}

#[test]
fn stream_resumed_at_next_token() {
    let mut fixture = Fixture::new();
    let endpoint = fixture.start_decoding();
    fixture.report(1, failed(true, 5));
    assert_eq!(fixture.call(), (1, endpoint, Step::Decode { from_index: 5 }));
}

#[test]
fn stream_imported_at_other_endpoint() {
    let mut fixture = Fixture::new();
    let endpoint = fixture.start_decoding();
    fixture.report(1, failed(true, 5));
    fixture.report(1, Outcome::Refused { status: 410 });
    let (attempt, other, step) = fixture.call();
    assert!(attempt == 2 && other != endpoint && matches!(step, Step::Import { .. }));
    fixture.report(2, Outcome::Imported);
    assert_eq!(fixture.call(), (2, other, Step::Decode { from_index: 5 }));
}

#[test]
fn stream_prefill_result_expired() {
    let mut fixture = Fixture::new();
    fixture.start_decoding();
    fixture.now = fixture.now + Duration::from_millis(900);
    fixture.report(1, Outcome::Refused { status: 410 });
    let (attempt, _, step) = fixture.call();
    assert_eq!((attempt, step), (2, Step::Prefill));
}

#[test]
fn transfer_reuses_prefill() {
    let mut fixture = Fixture::new();
    fixture.submit(Target::Model("m".into()));
    fixture.report(1, Outcome::Computed { kv: "kv".into(), cached: 0 });
    let (_, endpoint, _) = fixture.call();
    fixture.report(1, failed(true, 0));
    let (attempt, retried, step) = fixture.call();
    assert!(attempt == 2 && retried == endpoint && matches!(step, Step::Import { .. }));
}

#[test]
fn retry_at_other_endpoint() {
    let mut fixture = Fixture::new();
    fixture.submit_plain("/lookup");
    let (_, first, _) = fixture.call();
    fixture.report(1, failed(true, 0));
    let (attempt, second, _) = fixture.call();
    assert!(attempt == 2 && first != second);
}

#[test]
fn report_of_old_attempt_ignored() {
    let mut fixture = Fixture::new();
    fixture.submit_plain("/lookup");
    fixture.report(1, failed(true, 0));
    fixture.report(1, Outcome::Completed { tokens: 0, answer: None });
    assert!(fixture.effects.is_empty());
}

#[rstest]
#[case(true, Some((Kind::OutcomeUnknown, Ran::Unknown)))]
#[case(false, None)]
fn issue_call_failed(#[case] sent: bool, #[case] failure: Option<(Kind, Ran)>) {
    let mut fixture = Fixture::new();
    fixture.submit_plain("/issue");
    fixture.report(1, failed(sent, 0));
    assert_eq!(fixture.failure(), failure);
}

#[rstest]
#[case(true, Ran::Unknown)]
#[case(false, Ran::No)]
fn lookup_attempts_exhausted(#[case] first_sent: bool, #[case] ran: Ran) {
    let mut fixture = Fixture::new();
    fixture.submit_plain("/lookup");
    fixture.report(1, failed(first_sent, 0));
    for attempt in 2..=6 {
        fixture.report(attempt, failed(false, 0));
    }
    assert_eq!(fixture.failure(), Some((Kind::EndpointFailed, ran)));
}

#[test]
fn forward_failed_after_first_byte() {
    let mut fixture = Fixture::new();
    fixture.submit_plain("/lookup");
    fixture.report(1, Outcome::FirstByte);
    fixture.report(1, failed(true, 0));
    assert_eq!(fixture.failure(), Some((Kind::EndpointFailed, Ran::Unknown)));
}

#[rstest]
#[case("/issue", Some((Kind::OutcomeUnknown, Ran::Unknown)))]
#[case("/lookup", None)]
fn forward_timed_out(#[case] path: &str, #[case] failure: Option<(Kind, Ran)>) {
    let mut fixture = Fixture::new();
    fixture.submit_plain(path);
    fixture.now = fixture.now + Duration::from_secs(13);
    fixture.step(Event::Tick);
    assert_eq!(fixture.failure(), failure);
}

#[rstest]
#[case::prefill([300, 20, 20], "prefill")]
#[case::transfer([20, 300, 20], "transfer")]
#[case::decode([20, 20, 300], "decode")]
fn late_first_token_burns(#[case] step_ms: [u64; 3], #[case] cause: &str) {
    let mut fixture = Fixture::new();
    fixture.submit(Target::Model("m".into()));
    let outcomes =
        [Outcome::Computed { kv: "kv".into(), cached: 0 }, Outcome::Imported, Outcome::FirstByte];
    for (outcome, ms) in outcomes.into_iter().zip(step_ms) {
        fixture.now = fixture.now + Duration::from_millis(ms);
        fixture.report(1, outcome);
    }
    fixture.report(1, Outcome::Completed { tokens: 8, answer: None });
    fixture.step(Event::Query { id: 1, query: Query::Burn });
    let reply = fixture.effects.iter().find_map(|it| match it {
        Effect::Reply { reply, .. } => Some(reply.to_value()),
        _ => None,
    });
    let causes = reply.unwrap()["rows"][0]["causes"].clone();
    assert_eq!(causes.as_object().unwrap().keys().collect::<Vec<_>>(), [cause]);
}
