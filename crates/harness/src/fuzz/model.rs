//! The endpoints of the fuzz: engines that hold memory and plain services that record every run.

use std::{collections::BTreeMap, time::Duration};

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    Instant,
    object::{self, Name, Role},
    request::{Id, Outcome, Report, Response, Step},
    splice::Splice,
};

use crate::world::{EndpointCall, Endpoints};

/// Life of a prefill result that nobody imports.
const RESULT_LIFE: Duration = Duration::from_millis(800);
/// Time that an imported KV cache is held without a decode call.
const IDLE_HOLD: Duration = Duration::from_secs(5);
/// Time that a place is held after a break of its stream.
const BROKEN_HOLD: Duration = Duration::from_secs(10);
/// Silence after which an adapter gives a stream up.
const SILENCE: Duration = Duration::from_secs(2);
/// Time between two chunks of a stream.
const CHUNK_TIME: Duration = Duration::from_millis(20);

/// Engine memory that an attempt holds.
#[derive(Debug, Clone)]
pub struct Hold {
    /// The request.
    pub request: Id,
    /// Number of the attempt.
    pub attempt: u32,
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Name of the instance that took it.
    pub instance: Name,
    /// When it was taken.
    pub since: Instant,
    /// When the engine gives it up by itself; none while a stream runs.
    until: Option<Instant>,
    stream: u64,
}

/// What a caller has got.
#[derive(Debug, Clone, Default)]
pub struct Relay {
    splice: Splice,
    /// Attempt and index of each token that was let through.
    pub tokens: Vec<(u32, u64)>,
    /// Whether a plain answer came whole.
    pub whole: bool,
}

/// How a call goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Well,
    LostBefore,
    LostAfter,
    Mute,
    Late,
    Twice,
}

enum What {
    Arrive { call: EndpointCall, fate: Fate },
    Chunk { call: EndpointCall, index: u64, stream: u64, mute: bool },
    Cancel { request: Id, attempt: u32, endpoint: Name },
    Report(Name, Report),
}

/// The endpoints.
pub struct Model {
    /// Share of calls that go wrong, in percent.
    pub trouble: u32,
    /// Engine memory that is held.
    pub holds: Vec<Hold>,
    /// Requests that a plain service has run, in order.
    pub runs: Vec<Id>,
    /// Requests of which an endpoint has received a step.
    pub received: IndexSet<Id>,
    /// What callers have got.
    pub relays: IndexMap<Id, Relay>,
    /// Number of tokens of each completion.
    pub lengths: IndexMap<Id, u64>,
    /// Calls that give an endpoint new work: when, by which instance, at which endpoint.
    pub work: Vec<(Instant, Name, Name)>,
    down: IndexMap<Name, Instant>,
    results: IndexMap<Name, Instant>,
    queue: BTreeMap<(Instant, u64), What>,
    sequence: u64,
    rng: ChaCha8Rng,
}

impl Model {
    /// Creates endpoints without trouble.
    pub fn new(seed: u64) -> Model {
        Model {
            trouble: 0,
            holds: Vec::new(),
            runs: Vec::new(),
            received: IndexSet::new(),
            relays: IndexMap::new(),
            lengths: IndexMap::new(),
            work: Vec::new(),
            down: IndexMap::new(),
            results: IndexMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes an endpoint down for a while; its memory is lost.
    pub fn take_down(&mut self, endpoint: &str, until: Instant) {
        self.down.insert(endpoint.into(), until);
        self.holds.retain(|it| &*it.endpoint != endpoint);
    }

    fn is_down(&self, now: Instant, endpoint: &str) -> bool {
        self.down.get(endpoint).is_some_and(|until| *until > now)
    }

    fn push(&mut self, at: Instant, what: What) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), what);
    }

    fn millis(&mut self, below: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..below))
    }

    fn fate(&mut self) -> Fate {
        match self.rng.random_range(0..100) {
            n if n >= self.trouble => Fate::Well,
            _ => {
                let fates =
                    [Fate::LostBefore, Fate::LostAfter, Fate::Mute, Fate::Late, Fate::Twice];
                fates[self.rng.random_range(0..fates.len())]
            }
        }
    }

    fn report(&mut self, at: Instant, call: &EndpointCall, outcome: Outcome) {
        let report = Report { request: call.request, attempt: call.attempt, outcome };
        self.push(at, What::Report(call.instance.clone(), report));
    }

    fn broken(&mut self, at: Instant, call: &EndpointCall, sent: bool) {
        let next_index = self.relays.get(&call.request).map_or(0, |it| it.splice.next_index());
        self.report(at, call, Outcome::Failed { sent, next_index });
    }

    /// Answers a call as its fate wants.
    fn answer(&mut self, now: Instant, call: &EndpointCall, fate: Fate, outcome: Outcome) {
        let soon = now + Duration::from_millis(1) + self.millis(5);
        match fate {
            Fate::Mute => {}
            Fate::LostBefore => {
                let at = now + self.millis(2_000);
                self.broken(at, call, true);
            }
            // The break is seen first, and the answer crosses what follows.
            Fate::LostAfter => {
                let at = now + self.millis(1_000);
                let late = at + self.millis(1_000);
                self.broken(at, call, true);
                self.report(late, call, outcome);
            }
            Fate::Late => {
                let at = now + self.millis(15_000);
                self.report(at, call, outcome);
            }
            Fate::Twice => {
                let at = soon + self.millis(3_000);
                self.report(soon, call, outcome.clone());
                self.report(at, call, outcome);
            }
            Fate::Well => self.report(soon, call, outcome),
        }
    }

    fn arrive(&mut self, now: Instant, call: EndpointCall, fate: Fate) {
        if self.is_down(now, &call.endpoint.name) {
            return self.broken(now, &call, false);
        }
        if fate == Fate::LostBefore {
            let refused = Outcome::Refused { status: 500 };
            return self.answer(now, &call, fate, refused);
        }
        self.received.insert(call.request);
        match call.step.clone() {
            Step::Prefill => self.prefill(now, &call, fate),
            Step::Import { kv, .. } => self.import(now, &call, fate, &kv),
            Step::Decode { from_index } => self.decode(now, call, fate, from_index),
            Step::Forward => self.forward(now, &call, fate),
        }
    }

    fn prefill(&mut self, now: Instant, call: &EndpointCall, fate: Fate) {
        let kv = Name::from(format!("{}-{}", call.request, call.attempt));
        let done = now + Duration::from_millis(10) + self.millis(60);
        self.results.insert(kv.clone(), done + RESULT_LIFE);
        self.answer(done, call, fate, Outcome::Computed { kv, cached: 0 });
    }

    fn import(&mut self, now: Instant, call: &EndpointCall, fate: Fate, kv: &str) {
        if self.results.get(kv).is_none_or(|until| *until < now) {
            return self.answer(now, call, fate, Outcome::Refused { status: 410 });
        }
        let taken = self.holds.iter().filter(|it| it.endpoint == call.endpoint.name).count();
        if taken >= call.endpoint.slots as usize {
            return self.answer(now, call, fate, Outcome::Refused { status: 409 });
        }
        self.results.swap_remove(kv);
        self.holds.push(Hold {
            request: call.request,
            attempt: call.attempt,
            endpoint: call.endpoint.name.clone(),
            instance: call.instance.clone(),
            since: now,
            until: Some(now + IDLE_HOLD),
            stream: 0,
        });
        self.answer(now, call, fate, Outcome::Imported);
    }

    fn hold(&mut self, call: &EndpointCall) -> Option<&mut Hold> {
        self.holds.iter_mut().find(|it| {
            (it.request, it.attempt, &it.endpoint)
                == (call.request, call.attempt, &call.endpoint.name)
        })
    }

    fn decode(&mut self, now: Instant, call: EndpointCall, fate: Fate, index: u64) {
        self.sequence += 1;
        let stream = self.sequence;
        let Some(hold) = self.hold(&call) else {
            return self.answer(now, &call, fate, Outcome::Refused { status: 410 });
        };
        (hold.stream, hold.until) = (stream, None);
        let relay = self.relays.entry(call.request).or_default();
        relay.splice.begin(call.attempt);
        if fate == Fate::Mute {
            self.broken(now + SILENCE, &call, true);
        }
        let mute = fate == Fate::Mute;
        self.push(now + CHUNK_TIME, What::Chunk { call, index, stream, mute });
    }

    fn chunk(&mut self, now: Instant, call: EndpointCall, index: u64, stream: u64, mute: bool) {
        if self.hold(&call).is_none_or(|it| it.stream != stream) {
            return match mute {
                true => {}
                false => self.broken(now, &call, true),
            };
        }
        let total = self.lengths.get(&call.request).copied().unwrap_or(0);
        let end = total.min(index + self.rng.random_range(1..9));
        let relay = self.relays.entry(call.request).or_default();
        let was_first = relay.tokens.is_empty();
        for index in (index..end).filter(|_| !mute) {
            if relay.splice.accept(call.attempt, index) {
                relay.tokens.push((call.attempt, index));
            }
        }
        if was_first && !relay.tokens.is_empty() {
            self.report(now, &call, Outcome::FirstByte);
        }
        match self.fate() {
            _ if mute && end < total => {}
            _ if end >= total => return self.stream_end(now, &call, mute),
            Fate::LostBefore | Fate::LostAfter => return self.break_stream(now, &call),
            Fate::Mute => {
                self.broken(now + SILENCE, &call, true);
                let chunk = What::Chunk { call, index: end, stream, mute: true };
                return self.push(now + CHUNK_TIME, chunk);
            }
            _ => {}
        }
        self.push(now + CHUNK_TIME, What::Chunk { call, index: end, stream, mute });
    }

    fn stream_end(&mut self, now: Instant, call: &EndpointCall, mute: bool) {
        self.drop_hold(call.request, call.attempt, &call.endpoint.name);
        let relay = self.relays.entry(call.request).or_default();
        let tokens = relay.splice.next_index();
        match self.fate() {
            _ if mute => {}
            Fate::Twice => {
                self.answer(now, call, Fate::Twice, Outcome::Completed { tokens, answer: None })
            }
            _ => self.report(now, call, Outcome::Completed { tokens, answer: None }),
        }
    }

    fn break_stream(&mut self, now: Instant, call: &EndpointCall) {
        if let Some(hold) = self.hold(call) {
            (hold.stream, hold.until) = (0, Some(now + BROKEN_HOLD));
        }
        self.broken(now, call, true);
    }

    fn forward(&mut self, now: Instant, call: &EndpointCall, fate: Fate) {
        self.runs.push(call.request);
        let body = format!("run {}", self.runs.len());
        let response = Response { status: 200, content_type: "text/plain".into(), body };
        let done = now + self.millis(50);
        let ended = Outcome::Completed { tokens: 0, answer: Some(response.into()) };
        self.answer(done, call, fate, ended);
    }

    fn drop_hold(&mut self, request: Id, attempt: u32, endpoint: &str) {
        self.holds
            .retain(|it| (it.request, it.attempt, &*it.endpoint) != (request, attempt, endpoint));
    }

    /// Passes a plain answer on to its caller, if its attempt is the current one.
    fn relay_plain(&mut self, report: &Report) {
        if let Outcome::Completed { answer: Some(_), .. } = report.outcome {
            let relay = self.relays.entry(report.request).or_default();
            relay.whole |= relay.splice.is_current(report.attempt);
        }
    }
}

impl Endpoints for Model {
    fn call(&mut self, now: Instant, call: EndpointCall) {
        if !matches!(call.step, Step::Decode { .. }) {
            self.work.push((now, call.instance.clone(), call.endpoint.name.clone()));
        }
        if call.endpoint.role == Role::Plain {
            self.relays.entry(call.request).or_default().splice.begin(call.attempt);
        }
        let fate = self.fate();
        let delay = match fate {
            Fate::Late => self.millis(1_500),
            _ => Duration::from_millis(1),
        };
        self.push(now + delay, What::Arrive { call, fate });
    }

    fn cancel(&mut self, now: Instant, request: Id, attempt: u32, endpoint: &object::Endpoint) {
        let slow = self.fate() != Fate::Well;
        let delay = if slow { self.millis(1_000) } else { Duration::from_millis(1) };
        let endpoint = endpoint.name.clone();
        self.push(now + delay, What::Cancel { request, attempt, endpoint });
    }

    fn next_at(&self) -> Option<Instant> {
        let queued = self.queue.keys().next().map(|it| it.0);
        let ending = self.holds.iter().filter_map(|it| it.until).min();
        queued.into_iter().chain(ending).min()
    }

    fn advance(&mut self, now: Instant) -> Vec<(Name, Report)> {
        let mut out = Vec::new();
        self.holds.retain(|it| it.until.is_none_or(|until| until > now));
        while let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= now) {
            match entry.remove() {
                What::Arrive { call, fate } => self.arrive(now, call, fate),
                What::Chunk { call, index, stream, mute } => {
                    self.chunk(now, call, index, stream, mute);
                }
                What::Cancel { request, attempt, endpoint } => {
                    self.drop_hold(request, attempt, &endpoint);
                }
                What::Report(instance, report) => {
                    self.relay_plain(&report);
                    out.push((instance, report));
                }
            }
        }
        out
    }

    fn disconnect(&mut self, now: Instant, instance: &str) {
        self.queue.retain(|_, what| match what {
            What::Report(name, _) => &**name != instance,
            What::Chunk { call, .. } => &*call.instance != instance,
            What::Arrive { .. } | What::Cancel { .. } => true,
        });
        for hold in self.holds.iter_mut().filter(|it| &*it.instance == instance) {
            hold.until.get_or_insert(now + BROKEN_HOLD);
        }
    }
}
