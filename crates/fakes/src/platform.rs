//! Fake platform: versioned objects, watches and the list of instances.

mod store;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde_json::{Value, json};

use self::store::{Refusal, Store};
use crate::{
    fault::Faults,
    http::{Answer, Call, Handler, error},
    server::Server,
};

/// Default number of events that are kept for watches.
const DEFAULT_HISTORY_LIMIT: usize = 4_096;

/// Maximum size of an object's value, in bytes; a larger one is refused with 413.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum interval at which a waiting watch checks whether the platform has been stopped.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running platform; it stops when dropped.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    faults: Faults,
}

struct State {
    store: Store,
    instances: IndexMap<String, Value>,
    counters: BTreeMap<&'static str, u64>,
}

impl Platform {
    /// Starts an empty platform.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub fn spawn() -> anyhow::Result<Platform> {
        Platform::spawn_with_history_limit(DEFAULT_HISTORY_LIMIT)
    }

    /// Starts an empty platform that keeps the last `history_limit` events for watches.
    ///
    /// A watch from an older revision is refused with 410.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub fn spawn_with_history_limit(history_limit: usize) -> anyhow::Result<Platform> {
        let state = State {
            store: Store::new(history_limit),
            instances: IndexMap::new(),
            counters: BTreeMap::new(),
        };
        let faults = Faults::default();
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            faults: faults.clone(),
        });
        let server = Server::spawn(Arc::clone(&shared), faults)?;
        Ok(Platform { server, shared })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the switches for injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the number of calls by kind: `list`, `get`, `put`, `delete`, `watch`, `instances`,
    /// `put_instance` and `delete_instance`.
    ///
    /// Calls that an injected fault refuses are not counted.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.shared.state().counters.clone()
    }

    /// Returns the text of the last 1,000 requests.
    pub fn transcripts(&self) -> Vec<String> {
        self.server.transcripts()
    }
}

impl Handler for Shared {
    fn handle(&self, call: &Call) -> Answer {
        self.route(call).unwrap_or_else(|answer| answer)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock poisoned")
    }

    /// Counts a call and returns the locked state.
    fn count(&self, kind: &'static str) -> MutexGuard<'_, State> {
        let mut state = self.state();
        *state.counters.entry(kind).or_default() += 1;
        state
    }

    fn route(&self, call: &Call) -> Result<Answer, Answer> {
        let (method, path) = call.route();
        match (method, &path[..]) {
            ("GET", ["objects", kind]) => Ok(self.list(kind)),
            ("GET", ["objects", kind, name]) => Ok(self.get(kind, name)),
            ("PUT", ["objects", kind, name]) => self.put(call, kind, name),
            ("DELETE", ["objects", kind, name]) => self.delete(call, kind, name),
            ("GET", ["watch"]) => self.watch(call),
            ("GET", ["instances"]) => Ok(self.instances()),
            ("PUT", ["instances", name]) => self.put_instance(call, name),
            ("DELETE", ["instances", name]) => {
                self.count("delete_instance").instances.shift_remove(*name);
                Ok(Answer::Json(200, json!({})))
            }
            ("GET", ["counters"]) => Ok(Answer::Json(200, json!(self.state().counters))),
            _ => Err(error(404, "no such call")),
        }
    }

    fn list(&self, kind: &str) -> Answer {
        let state = self.count("list");
        let objects = state.store.list(kind);
        Answer::Json(200, json!({"revision": state.store.revision(), "objects": objects}))
    }

    fn get(&self, kind: &str, name: &str) -> Answer {
        match self.count("get").store.get(kind, name) {
            Some(object) => Answer::Json(200, json!(object)),
            None => error(404, "no such object"),
        }
    }

    fn put(&self, call: &Call, kind: &str, name: &str) -> Result<Answer, Answer> {
        let mut state = self.count("put");
        if call.body.len() > MAX_VALUE_BYTES {
            return Err(error(413, "value too large"));
        }
        let (value, version) = (call.json()?, call.query_number("if_version")?);
        let written = state.store.put(kind, name, value, version).map_err(refusal_answer)?;
        self.changed.notify_all();
        Ok(Answer::Json(200, json!({ "version": written })))
    }

    fn delete(&self, call: &Call, kind: &str, name: &str) -> Result<Answer, Answer> {
        let mut state = self.count("delete");
        let version = call.query_number("if_version")?;
        state.store.delete(kind, name, version).map_err(refusal_answer)?;
        self.changed.notify_all();
        Ok(Answer::Json(200, json!({})))
    }

    fn watch(&self, call: &Call) -> Result<Answer, Answer> {
        let since = call.query_number("since")?.unwrap_or(0);
        let wait = Duration::from_millis(call.query_number("wait_ms")?.unwrap_or(0));
        let kinds = call.query.get("kinds").map_or("", String::as_str);
        let kinds: Vec<&str> = kinds.split(',').filter(|it| !it.is_empty()).collect();
        let deadline = Instant::now() + wait;
        let mut state = self.count("watch");
        loop {
            let events =
                state.store.events(&kinds, since).ok_or_else(|| error(410, "revision too old"))?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() || self.faults.is_closed() {
                let revision = state.store.revision();
                return Ok(Answer::Json(200, json!({"revision": revision, "events": events})));
            }
            let interval = remaining.min(WATCH_POLL_INTERVAL);
            state = self.changed.wait_timeout(state, interval).expect("lock poisoned").0;
        }
    }

    fn instances(&self) -> Answer {
        let state = self.count("instances");
        let records: Vec<&Value> = state.instances.values().collect();
        Answer::Json(200, json!({ "instances": records }))
    }

    fn put_instance(&self, call: &Call, name: &str) -> Result<Answer, Answer> {
        let mut state = self.count("put_instance");
        state.instances.insert(name.to_owned(), call.json()?);
        Ok(Answer::Json(200, json!({})))
    }
}

fn refusal_answer(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::NotFound => error(404, "no such object"),
        Refusal::VersionMismatch(version) => Answer::Json(409, json!({ "version": version })),
    }
}
