//! The client of the platform's object API over HTTP.

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

use super::{Platform, limiter::Limiter};

/// Time limit on connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit on a call; for a watch, in addition to [`WATCH_DURATION`].
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit on writing a claim, which is shorter since a caller waits for the result.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the platform holds a watch open if nothing changes.
const WATCH_DURATION: Duration = Duration::from_secs(5);

/// Back-off after the first unanswered call, before jitter; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of times that the back-off is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A client of the object API.
pub struct Http {
    base: String,
    limiter: Limiter,
    health: Mutex<Health>,
}

/// Availability of the platform, as observed by this client.
struct Health {
    /// Number of consecutive unanswered calls.
    unanswered: u32,
    rng: StdRng,
}

impl Health {
    /// Counts an unanswered call and returns how long to delay its result.
    ///
    /// The delay grows exponentially with the number of consecutive unanswered calls. Its jitter
    /// prevents the instances from retrying at the same time.
    fn next_backoff(&mut self) -> Duration {
        self.unanswered = self.unanswered.saturating_add(1);
        let doubled = INITIAL_BACKOFF
            * 2_u32.pow(self.unanswered.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS));
        doubled.mul_f64(self.rng.random_range(0.5..1.0))
    }
}

impl Http {
    /// Creates a client of the platform at `address`; `seed` is for the jitter of the back-off.
    pub fn new(address: SocketAddr, seed: u64) -> Http {
        let health = Health { unanswered: 0, rng: StdRng::seed_from_u64(seed) };
        Http {
            base: format!("http://{address}"),
            limiter: Limiter::new(),
            health: Mutex::new(health),
        }
    }

    /// Records the result of a call in the metrics; waits for the back-off if it was not answered.
    fn record(&self, call: &Call, elapsed: Duration, lost: bool) {
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
            metrics::histogram!("siskinstile_platform_seconds").record(elapsed.as_secs_f64());
        }
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        let backoff = match lost {
            true if health.unanswered == 0 => {
                events::Record::new(events::PLATFORM_UNANSWERED, kind).write();
                health.next_backoff()
            }
            true => health.next_backoff(),
            false => {
                health.unanswered = 0;
                return;
            }
        };
        drop(health);
        metrics::counter!("siskinstile_platform_lost_total", "kind" => kind).increment(1);
        // The result of a claim is not delayed, since a caller waits for it.
        let is_claim = matches!(
            call,
            Call::Put { kind, .. } | Call::Get { kind, .. } if &**kind == claim::KIND
        );
        if !is_claim {
            thread::sleep(backoff);
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
                with_timeouts(attohttpc::get(format!("{base}/objects/{kind}"))).send()?
            }
            Call::Get { kind, name } => {
                with_timeouts(attohttpc::get(format!("{base}/objects/{kind}/{name}"))).send()?
            }
            Call::Put { kind, name, value, if_version } => {
                let condition = condition(if_version);
                let url = format!("{base}/objects/{kind}/{name}{condition}");
                let timeout = if **kind == *claim::KIND { CLAIM_TIMEOUT } else { CALL_TIMEOUT };
                with_timeouts(attohttpc::put(url)).timeout(timeout).json(value)?.send()?
            }
            Call::Delete { kind, name, if_version } => {
                let condition = condition(if_version);
                with_timeouts(attohttpc::delete(format!("{base}/objects/{kind}/{name}{condition}")))
                    .send()?
            }
            Call::Watch { kinds, since } => {
                let wait = WATCH_DURATION.as_millis();
                let kinds = kinds.join(",");
                let url = format!("{base}/watch?kinds={kinds}&since={since}&wait_ms={wait}");
                let request = attohttpc::get(url).connect_timeout(CONNECT_TIMEOUT);
                request.timeout(WATCH_DURATION + CALL_TIMEOUT).send()?
            }
            Call::Instances => with_timeouts(attohttpc::get(format!("{base}/instances"))).send()?,
        };
        let status = response.status().as_u16();
        Ok((status, response.json().unwrap_or(Value::Null)))
    }
}

fn with_timeouts(request: attohttpc::RequestBuilder) -> attohttpc::RequestBuilder {
    request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT)
}

impl Platform for Http {
    fn call(&self, call: &Call) -> Answer {
        thread::sleep(self.limiter.reserve());
        let start = Instant::now();
        let answer = self.request(call).map_or(Answer::Lost, |it| parse_answer(call, it));
        self.record(call, start.elapsed(), answer == Answer::Lost);
        answer
    }
}

/// Returns the answer that the status and the body of a response stand for.
///
/// Returns [`Answer::Lost`] for a status or a body that the call should not have.
fn parse_answer(call: &Call, (status, body): (u16, Value)) -> Answer {
    match (status, call) {
        (409, _) => Answer::Conflict,
        (404, _) => Answer::Missing,
        (410, _) => Answer::Expired,
        (200, Call::List { .. }) => parse_objects(&body, "objects"),
        (200, Call::Watch { .. }) => parse_objects(&body, "events"),
        (200, Call::Get { .. }) => parse_object(&body).map_or(Answer::Lost, Answer::Object),
        (200, Call::Put { .. }) => {
            Answer::Written { version: body["version"].as_u64().unwrap_or(0) }
        }
        (200, Call::Delete { .. }) => Answer::Written { version: 0 },
        (200, Call::Instances) => parse_instances(&body),
        _ => Answer::Lost,
    }
}

/// Returns the objects of the list in `field`; skips those that are malformed.
fn parse_objects(body: &Value, field: &str) -> Answer {
    let (Some(revision), Some(list)) = (body["revision"].as_u64(), body[field].as_array()) else {
        return Answer::Lost;
    };
    let objects = list.iter().filter_map(parse_object).collect();
    Answer::Objects { revision, objects }
}

fn parse_object(value: &Value) -> Option<Object> {
    let text = |field: &str| value[field].as_str().map(Name::from);
    let version = value["version"].as_u64()?;
    let content = Some(value["value"].clone()).filter(|it| !it.is_null());
    Some(Object { kind: text("kind")?, name: text("name")?, version, value: content })
}

fn parse_instances(body: &Value) -> Answer {
    let list = body["instances"].clone();
    match serde_json::from_value::<Vec<member::Record>>(list) {
        Ok(records) => Answer::Instances(records),
        Err(_) => Answer::Lost,
    }
}
