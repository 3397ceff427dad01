//! A model engine that prefills or decodes at a configured cost.

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

use self::state::{Cancel, State};
use crate::{
    fault::Faults,
    http::{Answer, Call, Handler, error},
    server::Server,
};

pub use self::{
    cache::{count_tokens, hash16, prefix_hashes, token_at},
    config::{Config, Role},
};

/// Longest sleep between two looks at a cancel mark, and the time between ticks.
const STEP: Duration = Duration::from_millis(20);

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

/// Serves the calls to an engine.
struct Calls(Arc<Shared>);

/// Body of a cancel call.
#[derive(Deserialize)]
struct CancelBody {
    request: String,
    attempt: Option<u64>,
}

/// Body of an order.
#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
    order: Order,
}

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
        let server = Server::spawn(Arc::new(Calls(Arc::clone(&shared))), faults)?;
        let ticker = Arc::clone(&shared);
        thread::spawn(move || {
            while !ticker.faults.is_closed() {
                ticker.state().tick();
                thread::sleep(STEP);
            }
        });
        Ok(Engine { server, shared })
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the attempts that hold a place now, as request and attempt.
    pub fn holds(&self) -> Vec<(String, u64)> {
        let state = self.shared.state();
        state.holds.keys().map(|id| (id.request.clone(), id.attempt)).collect()
    }

    /// Returns the number of prefills that completed.
    pub fn prefills(&self) -> u64 {
        self.shared.state().totals.prefills
    }

    /// Returns the number of imports that completed.
    pub fn imports(&self) -> u64 {
        self.shared.state().totals.imports
    }

    /// Returns the number of cancel calls that ended something.
    pub fn cancelled(&self) -> u64 {
        self.shared.state().totals.cancelled
    }

    /// Returns the number of output tokens generated; a token sent again counts once.
    pub fn decoded_tokens(&self) -> u64 {
        self.shared.state().totals.decoded
    }

    /// Returns its role now.
    pub fn role(&self) -> Role {
        self.shared.state().role
    }

    /// Returns the models that it has loaded now.
    pub fn models(&self) -> Vec<String> {
        self.shared.state().models.clone()
    }

    /// Returns the highest fencing number seen in an order that it took.
    pub fn fence(&self) -> u64 {
        self.shared.state().fence
    }

    /// Returns the text of the last 1,000 requests.
    pub fn transcripts(&self) -> Vec<String> {
        self.server.transcripts()
    }
}

impl Handler for Calls {
    fn handle(&self, call: &Call) -> Answer {
        let (method, path) = call.route();
        let answer = match (method, &path[..]) {
            ("POST", ["prefill"]) => self.0.prefill(call),
            ("POST", ["import"]) => self.0.import(call),
            ("POST", ["decode"]) => self.0.decode(call),
            ("POST", ["cancel"]) => self.0.cancel(call),
            ("POST", ["order"]) => self.0.order(call),
            ("GET", ["kv", name]) => Ok(self.0.kv(name)),
            ("GET", ["load"]) => Ok(Answer::Json(200, self.0.state().late_load())),
            ("GET", ["events"]) => self.0.events(call),
            ("GET", ["state"]) => Ok(self.0.describe()),
            _ => Err(error(404, "no such call")),
        };
        answer.unwrap_or_else(|answer| answer)
    }

    fn shows_life(&self, call: &Call) -> bool {
        matches!(call.route(), ("POST", path) if path == ["prefill"] || path == ["import"])
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Refuses work that the engine's role or models rule out.
    fn check(&self, role: Role, model: &str) -> Result<(), Answer> {
        let state = self.state();
        match state.role {
            it if it != role => Err(error(409, "role")),
            _ if !state.has_model(model) => Err(error(404, "model not loaded")),
            _ => Ok(()),
        }
    }

    fn is_over(&self, cancel: &Cancel) -> bool {
        cancel.is_set() || self.faults.is_closed()
    }

    /// Sleeps; returns whether it slept to the end without a cancel.
    fn sleep(&self, time: Duration, cancel: &Cancel) -> bool {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if self.is_over(cancel) || left.is_zero() {
                return !self.is_over(cancel);
            }
            thread::sleep(left.min(STEP));
        }
    }

    fn cancel(&self, call: &Call) -> Result<Answer, Answer> {
        let body: CancelBody = call.json()?;
        let held = self.state().cancel(&body.request, body.attempt);
        self.changed.notify_all();
        Ok(Answer::Json(200, json!({ "held": held })))
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
        let since = call.number("since")?.unwrap_or(0);
        let events = self.state().cache.events(since, self.faults.late_events());
        Ok(Answer::Json(200, events))
    }

    fn describe(&self) -> Answer {
        let state = self.state();
        let value = json!({"models": state.models, "role": state.role, "fence": state.fence});
        Answer::Json(200, value)
    }
}
