//! Fake model engine, which prefills or decodes at a configured speed.

mod cache;
mod config;
mod decode;
mod prefill;
mod state;

use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::json;

use self::state::{CancelFlag, State};
use crate::{
    fault::Faults,
    http::{Answer, Call, Handler, error},
    server::Server,
};

pub use self::{
    cache::{count_tokens, hash16, prefix_hashes, token_at},
    config::{Config, Role},
};

/// Interval at which waiting work checks its cancel flag and the engine removes expired state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running engine; it stops when dropped.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    faults: Faults,
}

/// Routes calls to an engine.
struct Router(Arc<Shared>);

/// Body of a cancel call; without an attempt, it cancels every attempt of the request.
#[derive(Deserialize)]
struct CancelBody {
    request: String,
    attempt: Option<u64>,
}

/// Body of an order call; an order carries the fencing token of the lease under which it was sent.
#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
    order: Order,
}

/// An order to load one model in place of all others, or to change the role.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Order {
    Load(String),
    Role(Role),
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub fn spawn(config: Config) -> anyhow::Result<Engine> {
        let faults = Faults::default();
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(config)),
            changed: Condvar::new(),
            faults: faults.clone(),
        });
        let server = Server::spawn(Arc::new(Router(Arc::clone(&shared))), faults)?;
        let ticker_shared = Arc::clone(&shared);
        thread::spawn(move || {
            while !ticker_shared.faults.is_closed() {
                ticker_shared.state().tick();
                thread::sleep(POLL_INTERVAL);
            }
        });
        Ok(Engine { server, shared })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the switches for injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the attempts that occupy a decode slot now, as request identifier and number.
    pub fn holds(&self) -> Vec<(String, u64)> {
        let state = self.shared.state();
        state.holds.keys().map(|id| (id.request.clone(), id.attempt)).collect()
    }

    /// Returns the number of completed prefills.
    pub fn prefills(&self) -> u64 {
        self.shared.state().totals.prefills
    }

    /// Returns the number of completed imports.
    pub fn imports(&self) -> u64 {
        self.shared.state().totals.imports
    }

    /// Returns the number of cancel calls that cancelled at least one attempt.
    pub fn cancelled(&self) -> u64 {
        self.shared.state().totals.cancelled
    }

    /// Returns the number of generated output tokens; a token that is sent again counts once.
    pub fn decoded_tokens(&self) -> u64 {
        self.shared.state().totals.decoded
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.shared.state().role
    }

    /// Returns the models that are loaded now.
    pub fn models(&self) -> Vec<String> {
        self.shared.state().models.clone()
    }

    /// Returns the highest fencing token of the accepted orders.
    pub fn fence(&self) -> u64 {
        self.shared.state().fence
    }

    /// Returns the text of the last 1,000 requests.
    pub fn transcripts(&self) -> Vec<String> {
        self.server.transcripts()
    }
}

impl Handler for Router {
    fn handle(&self, call: &Call) -> Answer {
        let (method, path) = call.route();
        let answer = match (method, &path[..]) {
            ("POST", ["prefill"]) => self.0.prefill(call),
            ("POST", ["import"]) => self.0.import(call),
            ("POST", ["decode"]) => self.0.decode(call),
            ("POST", ["cancel"]) => self.0.cancel(call),
            ("POST", ["order"]) => self.0.order(call),
            ("GET", ["kv", name]) => Ok(self.0.serve_kv(name)),
            ("GET", ["load"]) => Ok(Answer::Json(200, self.0.state().reported_load())),
            ("GET", ["events"]) => self.0.events(call),
            ("GET", ["state"]) => Ok(self.0.describe_state()),
            _ => Err(error(404, "no such call")),
        };
        answer.unwrap_or_else(|answer| answer)
    }

    fn sends_keep_alives(&self, call: &Call) -> bool {
        matches!(call.route(), ("POST", path) if path == ["prefill"] || path == ["import"])
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock poisoned")
    }

    /// Refuses work, with 409 if the engine has another role and 404 if the model is not loaded.
    fn check_role_and_model(&self, role: Role, model: &str) -> Result<(), Answer> {
        let state = self.state();
        match state.role {
            it if it != role => Err(error(409, "role")),
            _ if !state.has_model(model) => Err(error(404, "model not loaded")),
            _ => Ok(()),
        }
    }

    /// Returns whether the work was cancelled or the engine was stopped.
    fn should_stop(&self, cancel: &CancelFlag) -> bool {
        cancel.is_set() || self.faults.is_closed()
    }

    /// Sleeps for `time`; returns early with `false` if the work is cancelled or the engine stops.
    fn sleep(&self, time: Duration, cancel: &CancelFlag) -> bool {
        let end = Instant::now() + time;
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            if self.should_stop(cancel) || remaining.is_zero() {
                return !self.should_stop(cancel);
            }
            thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }

    fn cancel(&self, call: &Call) -> Result<Answer, Answer> {
        let body: CancelBody = call.json()?;
        let found = self.state().cancel(&body.request, body.attempt);
        self.changed.notify_all();
        Ok(Answer::Json(200, json!({ "held": found })))
    }

    fn order(&self, call: &Call) -> Result<Answer, Answer> {
        let body: OrderBody = call.json()?;
        let mut state = self.state();
        if state.config.fences && body.fence < state.fence {
            return Err(error(412, "old fence"));
        }
        state.fence = state.fence.max(body.fence);
        match body.order {
            Order::Load(model) => {
                state.models = vec![model];
                state.cache.clear(self.faults.drops_events());
            }
            Order::Role(role) => state.role = role,
        }
        Ok(Answer::Json(200, json!({ "fence": body.fence })))
    }

    fn events(&self, call: &Call) -> Result<Answer, Answer> {
        let since = call.query_number("since")?.unwrap_or(0);
        let events = self.state().cache.events(since, self.faults.event_delay());
        Ok(Answer::Json(200, events))
    }

    fn describe_state(&self) -> Answer {
        let state = self.state();
        let value = json!({"models": state.models, "role": state.role, "fence": state.fence});
        Answer::Json(200, value)
    }
}
