//! The platform's object API over HTTP.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use serde_json::Value;
use siskinstile_core::{
    claim, log as events, member,
    object::Name,
    store::{Answer, Call, Object},
};

use super::{Platform, budget::Budget};

/// Limit on setting up a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Limit on an answer.
const DEADLINE: Duration = Duration::from_secs(5);
/// Limit on an answer about a claim, for which a caller waits.
const CLAIM_DEADLINE: Duration = Duration::from_secs(2);
/// Time for which a watch is held open.
const WATCH: Duration = Duration::from_secs(5);

/// Pause after a first call without an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Times that the pause is doubled at most.
const MAX_DOUBLINGS: u32 = 5;

/// A client of the object API.
pub struct Http {
    base: String,
    budget: Budget,
    health: Mutex<Health>,
}

/// How the platform answers.
struct Health {
    /// Calls without an answer in a row.
    lost: u32,
    rng: StdRng,
}

impl Health {
    /// Returns how long the news of a lost call is held back: the longer the platform is silent
    /// the longer, and not the same at every instance.
    fn pause(&mut self) -> Duration {
        self.lost = self.lost.saturating_add(1);
        let doubled = FIRST_PAUSE * 2_u32.pow(self.lost.saturating_sub(1).min(MAX_DOUBLINGS));
        doubled.mul_f64(self.rng.random_range(0.5..1.0))
    }
}

impl Http {
    /// Creates a client of the platform at `address`.
    pub fn open(address: SocketAddr, seed: u64) -> Http {
        let health = Health { lost: 0, rng: StdRng::seed_from_u64(seed) };
        Http {
            base: format!("http://{address}"),
            budget: Budget::new(),
            health: Mutex::new(health),
        }
    }

    /// Notes whether a call was answered and tells the metrics.
    fn note(&self, call: &Call, took: Duration, lost: bool) {
        let kind = match call {
            Call::List { .. } => "list",
            Call::Get { .. } => "get",
            Call::Put { .. } => "put",
            Call::Delete { .. } => "delete",
            Call::Watch { .. } => "watch",
            Call::Instances => "instances",
        };
        metrics::counter!("siskinstile_platform_calls_total", "kind" => kind).increment(1);
        metrics::gauge!("siskinstile_platform_up").set(if lost { 0.0 } else { 1.0 });
        if !matches!(call, Call::Watch { .. }) {
            metrics::histogram!("siskinstile_platform_seconds").record(took.as_secs_f64());
        }
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        let pause = match lost {
            true if health.lost == 0 => {
                events::Record::new(events::PLATFORM_UNANSWERED, kind).write();
                health.pause()
            }
            true => health.pause(),
            false => {
                health.lost = 0;
                return;
            }
        };
        drop(health);
        metrics::counter!("siskinstile_platform_lost_total", "kind" => kind).increment(1);
        // A claim has a caller waiting for it.
        let urgent = matches!(call, Call::Put { kind, .. } | Call::Get { kind, .. } if &**kind == claim::KIND);
        if !urgent {
            thread::sleep(pause);
        }
    }

    fn request(&self, call: &Call) -> attohttpc::Result<(u16, Value)> {
        let base = &self.base;
        let condition = |version: &Option<u64>| match version {
            Some(version) => format!("?if_version={version}"),
            None => String::new(),
        };
        let response = match call {
            Call::List { kind } => {
                bound(attohttpc::get(format!("{base}/objects/{kind}"))).send()?
            }
            Call::Get { kind, name } => {
                bound(attohttpc::get(format!("{base}/objects/{kind}/{name}"))).send()?
            }
            Call::Put { kind, name, value, if_version } => {
                let condition = condition(if_version);
                let url = format!("{base}/objects/{kind}/{name}{condition}");
                let deadline = if **kind == *claim::KIND { CLAIM_DEADLINE } else { DEADLINE };
                bound(attohttpc::put(url)).timeout(deadline).json(value)?.send()?
            }
            Call::Delete { kind, name, if_version } => {
                let condition = condition(if_version);
                bound(attohttpc::delete(format!("{base}/objects/{kind}/{name}{condition}")))
                    .send()?
            }
            Call::Watch { kinds, since } => {
                let wait = WATCH.as_millis();
                let kinds = kinds.join(",");
                let url = format!("{base}/watch?kinds={kinds}&since={since}&wait_ms={wait}");
                let request = attohttpc::get(url).connect_timeout(CONNECT);
                request.timeout(WATCH + DEADLINE).send()?
            }
            Call::Instances => bound(attohttpc::get(format!("{base}/instances"))).send()?,
        };
        let status = response.status().as_u16();
        Ok((status, response.json().unwrap_or(Value::Null)))
    }
}

fn bound(request: attohttpc::RequestBuilder) -> attohttpc::RequestBuilder {
    request.connect_timeout(CONNECT).timeout(DEADLINE)
}

impl Platform for Http {
    fn call(&self, call: &Call) -> Answer {
        thread::sleep(self.budget.take());
        let start = Instant::now();
        let answer = self.request(call).map_or(Answer::Lost, |it| answer(call, it));
        self.note(call, start.elapsed(), answer == Answer::Lost);
        answer
    }
}

fn answer(call: &Call, (status, body): (u16, Value)) -> Answer {
    match (status, call) {
        (409, _) => Answer::Conflict,
        (404, _) => Answer::Missing,
        (410, _) => Answer::Expired,
        (200, Call::List { .. }) => objects(&body, "objects"),
        (200, Call::Watch { .. }) => objects(&body, "events"),
        (200, Call::Get { .. }) => object(&body).map_or(Answer::Lost, Answer::Object),
        (200, Call::Put { .. }) => {
            Answer::Written { version: body["version"].as_u64().unwrap_or(0) }
        }
        (200, Call::Delete { .. }) => Answer::Written { version: 0 },
        (200, Call::Instances) => instances(&body),
        _ => Answer::Lost,
    }
}

fn objects(body: &Value, field: &str) -> Answer {
    let (Some(revision), Some(list)) = (body["revision"].as_u64(), body[field].as_array()) else {
        return Answer::Lost;
    };
    let objects = list.iter().filter_map(object).collect();
    Answer::Objects { revision, objects }
}

fn object(value: &Value) -> Option<Object> {
    let text = |field: &str| value[field].as_str().map(Name::from);
    let version = value["version"].as_u64()?;
    let held = Some(value["value"].clone()).filter(|it| !it.is_null());
    Some(Object { kind: text("kind")?, name: text("name")?, version, value: held })
}

fn instances(body: &Value) -> Answer {
    let list = body["instances"].clone();
    match serde_json::from_value::<Vec<member::Record>>(list) {
        Ok(records) => Answer::Instances(records),
        Err(_) => Answer::Lost,
    }
}
