//! A small deployment with one gateway under test.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_gateway::{
    Catalog, Directory, Effect, Event, Instant, Name, State,
    budget::Bound,
    call::{self, Notice, Outcome, Report, Step},
    catalog::{Draft, Engine, Limits, Quota, Retry, Route, Service, Split, Team},
    directory::{Endpoint, Readiness, Stage},
    effect::Call,
    name_hash::NameHash,
    quota::Tolerance,
    request::{Arrival, Id, Tokens},
    state::Settings,
};

/// Host of all routes.
const HOST: &str = "board.example";

/// Time after which an evacuated data centre must get no requests.
pub(crate) const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);

/// A gateway with two prefill, two decode and two plain endpoints.
pub(crate) struct Site {
    pub(crate) state: State,
    pub(crate) now: Instant,
    pub(crate) effects: Vec<Effect>,
    /// Whether probes are answered; `None` while that is open.
    pub(crate) answers: Option<bool>,
    last_request: u64,
}

impl Site {
    /// Starts the gateway with a configuration and a list of endpoints.
    pub(crate) fn configured() -> Site {
        let mut site = Site::unconfigured();
        site.configure();
        site
    }

    /// Posts a configuration and a list of endpoints.
    pub(crate) fn configure(&mut self) {
        self.post(Event::Configured(Arc::new(catalog(1))));
        self.post(Event::EndpointsListed(Arc::new(Directory::new(endpoints()))));
    }

    /// Starts the gateway with a number of engines, half of them prefill engines.
    pub(crate) fn with_engines(engines: u32) -> Site {
        let mut site = Site::evacuable();
        site.post(Event::Evacuated(Vec::new()));
        site.list_engines(engines);
        site
    }

    /// Starts an instance with a number of engines; only its first start is the fleet's first.
    pub(crate) fn restarted(engines: u32, number: u64) -> Site {
        let mut site = Site::with_settings(Settings {
            first_start: number == 0,
            ..settings("one", number + 1, Tolerance::default())
        });
        site.configure();
        site.list_engines(engines);
        site
    }

    /// Posts a list of engines, half of them prefill engines.
    pub(crate) fn list_engines(&mut self, engines: u32) {
        let all = (0..engines).map(|number| {
            let stage = if number % 2 == 0 { Stage::Prefill } else { Stage::Decode };
            endpoint(&format!("e{number}"), "model", "north", Some(stage))
        });
        self.post(Event::EndpointsListed(Arc::new(Directory::new(all))));
    }

    /// Starts the gateway, of a fleet in which teams have a tolerance, with a configuration and a
    /// list of endpoints.
    pub(crate) fn tolerant(quota_tolerance: Tolerance) -> Site {
        let mut site = Site::start(quota_tolerance);
        site.configure();
        site
    }

    /// Starts the gateway without a configuration.
    pub(crate) fn unconfigured() -> Site {
        Site::start(Tolerance::default())
    }

    /// Starts one of the gateways of a fleet, with a configuration and a list of endpoints.
    pub(crate) fn member(number: u64, members: u64) -> Site {
        let mut site = Site::start_named(&format!("i-{number}"), number, Tolerance::default());
        let all = (0..members).map(|it| (format!("i-{it}").into(), "north".into()));
        site.post(Event::Members(all.collect()));
        site.configure();
        site
    }

    fn start(quota_tolerance: Tolerance) -> Site {
        Site::start_named("one", 1, quota_tolerance)
    }

    /// Starts the gateway, where data centres are evacuated, with a configuration and a list of
    /// endpoints.
    pub(crate) fn evacuable() -> Site {
        let mut site = Site::with_settings(Settings {
            evacuation_limit: Some(EVACUATION_LIMIT),
            ..settings("one", 1, Tolerance::default())
        });
        site.configure();
        site
    }

    fn start_named(name: &str, incarnation: u64, quota_tolerance: Tolerance) -> Site {
        Site::with_settings(settings(name, incarnation, quota_tolerance))
    }

    /// Starts the gateway with the given settings.
    pub(crate) fn with_settings(settings: Settings) -> Site {
        let state = State::new(settings);
        let now = Instant::from_millis(1_000);
        Site { state, now, effects: Vec::new(), answers: Some(true), last_request: 0 }
    }

    /// Posts an event and collects its effects.
    pub(crate) fn post(&mut self, event: Event) {
        let effects = self.state.step(self.now, event);
        let rounds: Vec<u64> = effects.iter().filter_map(probed_round).collect();
        self.effects.extend(effects);
        if let Some(answered) = self.answers {
            for round in rounds {
                self.post(Event::Probed { round, answered });
            }
        }
    }

    /// Advances time in the steps that the gateway requests.
    pub(crate) fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.state.wake() < end {
            self.now = self.state.wake().max(self.now);
            self.post(Event::Tick);
        }
        self.now = end;
        self.post(Event::Tick);
    }

    /// Sends a request under a route's prefix.
    pub(crate) fn send(&mut self, prefix: &str) -> Id {
        self.send_prompt(prefix, &[])
    }

    /// Sends a request whose prompt has the given parts and one of its own.
    pub(crate) fn send_prompt(&mut self, prefix: &str, parts: &[&str]) -> Id {
        self.send_content(prefix, parts, NameHash(self.last_request + 1))
    }

    /// Sends a request with the given content.
    pub(crate) fn send_content(&mut self, prefix: &str, parts: &[&str], content: NameHash) -> Id {
        self.last_request += 1;
        let id = Id(self.last_request);
        self.post(Event::Arrival(Arrival {
            id,
            request_id: format!("request-{}", self.last_request).into(),
            host: HOST.into(),
            path: format!("{prefix}1").into(),
            content,
            key: Some("key-a".into()),
            tokens: (prefix.contains("review")).then_some(Tokens {
                prompt: 5_000,
                output: 200,
                expected: None,
            }),
            prompt_parts: parts.iter().copied().chain(["own"]).map(Name::from).collect(),
            max_wait: None,
            last_event: None,
            resumes: None,
            handed_over: None,
        }));
        id
    }

    /// Returns the calls made since the last query.
    pub(crate) fn calls(&mut self) -> Vec<Call> {
        let mut calls = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Call(call) => {
                calls.push(call.clone());
                false
            }
            _ => true,
        });
        calls
    }

    /// Returns the only call made since the last query.
    pub(crate) fn call(&mut self) -> Call {
        let calls = self.calls();
        assert_eq!(calls.len(), 1, "{calls:?}");
        calls[0].clone()
    }

    /// Reports the outcome of a call.
    pub(crate) fn report(&mut self, call: call::Id, outcome: Outcome) {
        self.report_with(call, outcome, Notice::default());
    }

    /// Reports the outcome of a call with what the endpoint states about itself.
    pub(crate) fn report_with(&mut self, call: call::Id, outcome: Outcome, notice: Notice) {
        self.post(Event::Report(Report { call, outcome, notice }));
    }

    /// Returns the status and the retry-after time with which a request failed, if it did.
    pub(crate) fn failure(&self, id: Id) -> Option<(u16, Option<Duration>)> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Fail { request, failure } if *request == id => {
                Some((failure.kind.row().status, failure.retry_after))
            }
            _ => None,
        })
    }

    /// Answers the question for the start of an endpoint with the start that its entry tells; returns the call
    /// that follows.
    pub(crate) fn tell_start(&mut self) -> Call {
        let question = self.call();
        assert_eq!(question.step, Step::QueryStart);
        let started_at_ms = question.endpoint.started_at_ms;
        let connection_age = Duration::ZERO;
        self.report(question.id, Outcome::StartTold { started_at_ms, connection_age });
        self.call()
    }

    /// Advances a generation to the run at the decode engine and returns that call.
    pub(crate) fn run_generation(&mut self) -> Call {
        let hold = self.call();
        assert!(matches!(hold.step, Step::Hold { .. }), "{hold:?}");
        self.report(hold.id, Outcome::Held { hold: "h1".into() });
        let prefill = self.call();
        assert_eq!(prefill.step, Step::Prefill);
        self.report(prefill.id, Outcome::Computed { handle: "kv1".into(), tokens: 5_000 });
        self.call()
    }
}

/// Returns the round of a probe.
fn probed_round(effect: &Effect) -> Option<u64> {
    match effect {
        Effect::Probe { round, .. } => Some(*round),
        _ => None,
    }
}

/// Returns the settings of a gateway.
pub(crate) fn settings(name: &str, incarnation: u64, quota_tolerance: Tolerance) -> Settings {
    Settings {
        name: name.into(),
        incarnation,
        datacentre: "north".into(),
        first_start: true,
        retries: Bound { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) },
        quota_tolerance,
        regions: regions(),
        cold_tolerance: None,
        evacuation_limit: None,
        lease: Duration::from_secs(3),
        propagation: Duration::from_secs(3),
        drain: Duration::from_millis(3_500),
        grace: Duration::from_secs(8),
        entry_interval: Duration::from_millis(1_200),
    }
}

/// Returns the outcome of a failed call.
pub(crate) fn failed(sent: bool) -> Outcome {
    broken(sent, false, false)
}

/// Returns the outcome of a run whose endpoint has ended before any answer.
pub(crate) fn ended() -> Outcome {
    broken(true, true, false)
}

/// Returns the outcome of a run that broke off, after which the endpoint closed a connection at once.
pub(crate) fn closed() -> Outcome {
    broken(true, false, true)
}

fn broken(sent: bool, ended: bool, closed: bool) -> Outcome {
    let (unresponsive, last_event, cause) = (false, None, "test");
    Outcome::Failed { sent, unresponsive, ended, closed, last_event, cause }
}

/// Returns a configuration.
pub(crate) fn catalog(version: u64) -> Catalog {
    Catalog::check(draft(version)).expect("the draft is sound")
}

/// Returns the draft of a configuration.
pub(crate) fn draft(version: u64) -> Draft {
    let stream = |resumable| Retry::Stream { resumable };
    Draft {
        version,
        routes: vec![
            route("/review/", stream(false), "model", 1),
            route("/review-again/", stream(true), "model", 2),
            route("/issue/", Retry::AtMostOnce, "registry", 1),
            route("/lookup/", Retry::Idempotent, "registry", 2),
        ],
        services: vec![
            Service {
                name: "model".into(),
                connection_limit: 360,
                engine: Some(engine()),
                warm_up: None,
            },
            Service { name: "registry".into(), connection_limit: 96, engine: None, warm_up: None },
        ],
        teams: vec![Team {
            name: "a".into(),
            keys: vec!["key-a".into()],
            priority: None,
            quota: Some(Quota {
                rate: 60_000,
                burst: 60_000,
                in_tokens: true,
                default_tokens: 200,
            }),
            regions: Vec::new(),
        }],
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

fn route(prefix: &str, retry: Retry, service: &str, attempts: u32) -> Route {
    let streams = matches!(retry, Retry::Stream { .. });
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        prefix: prefix.into(),
        retry,
        timeout: Duration::from_millis(if streams { 14_000 } else { 800 }),
        target_latency: Duration::from_millis(if streams { 900 } else { 300 }),
        target_gap: streams.then(|| Duration::from_millis(300)),
        attempts,
        priority: 1,
        public: false,
        splits: vec![Split { service: service.into(), weight: 1 }],
        regions: Vec::new(),
    }
}

/// Returns the region of each data centre.
fn regions() -> IndexMap<Name, Name> {
    [("north", "upper"), ("south", "lower")]
        .map(|(datacentre, region)| (datacentre.into(), region.into()))
        .into()
}

/// Returns the endpoints.
pub(crate) fn endpoints() -> Vec<Endpoint> {
    vec![
        endpoint("p1", "model", "north", Some(Stage::Prefill)),
        endpoint("p2", "model", "south", Some(Stage::Prefill)),
        endpoint("d1", "model", "north", Some(Stage::Decode)),
        endpoint("d2", "model", "south", Some(Stage::Decode)),
        endpoint("r1", "registry", "north", None),
        endpoint("r2", "registry", "south", None),
    ]
}

/// Returns an endpoint of the plain service.
pub(crate) fn plain_endpoint(id: &str, datacentre: &str) -> Endpoint {
    endpoint(id, "registry", datacentre, None)
}

/// Returns a decode engine.
pub(crate) fn decode_engine(id: &str, datacentre: &str) -> Endpoint {
    endpoint(id, "model", datacentre, Some(Stage::Decode))
}

fn endpoint(id: &str, service: &str, datacentre: &str, stage: Option<Stage>) -> Endpoint {
    let port = id.bytes().map(u16::from).sum::<u16>();
    Endpoint {
        id: Name::from(id),
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        datacentre: datacentre.into(),
        readiness: Readiness::Ready,
        stage,
        slots: 6,
        started_at_ms: Some(1),
        version: "v1".into(),
        sequence: Some(4),
        cold_remaining: Duration::ZERO,
    }
}

/// Returns the properties of an engine.
pub(crate) fn engine() -> Engine {
    Engine {
        slots: 64,
        memory_tokens: 20_800,
        event_tokens: 6,
        hold_limit: Duration::from_secs(2),
        handle_retention: Duration::from_millis(500),
        reconfigure_time: Duration::from_secs(6),
    }
}
