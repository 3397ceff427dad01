//! The control thread, which owns the control state, and the execution of its effects.

use std::{
    convert::Infallible,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant as Clock},
};

use arc_swap::ArcSwap;
use crossbeam::channel::{self, Receiver, Sender};
use indexmap::IndexMap;
use siskinstile_core::{
    Config, Effect, Event, Instant, State,
    effect::Reply,
    error, request, state,
    store::{Call, Tag},
};
use siskinstile_macros::value;
use tokio::{
    sync::{oneshot, watch},
    time,
};

use crate::{
    endpoint::{self, Job},
    peer::Peers,
    platform::Platform,
    relay::{Part, Registry},
    worker::Workers,
};

/// Maximum number of times that a cancel is sent to an endpoint that does not acknowledge it.
const MAX_CANCEL_ATTEMPTS: u32 = 3;
/// Pause after a cancel that was not acknowledged.
const CANCEL_BACKOFF: Duration = Duration::from_millis(500);
/// Time limit on writing answers to callers and closing their connections after the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// How far a graceful stop has got.
#[value(id)]
pub enum Phase {
    /// None has started.
    Serving,
    /// Open requests complete; each connection closes after its next response.
    Draining,
    /// No request is open, and no connection is accepted.
    Stopped,
}

/// State shared by the control thread and the threads that serve requests.
pub struct Shared {
    /// Events for the control thread.
    pub events: Sender<Event>,
    /// The relays of unanswered requests.
    pub relays: Registry,
    /// The configuration in force.
    pub config: ArcSwap<Config>,
    /// Whether the instance accepts new requests.
    pub ready: AtomicBool,
    /// Reply channels of operators' pending queries, by query identifier.
    pub queries: Mutex<IndexMap<u64, oneshot::Sender<Reply>>>,
    /// How far a graceful stop has got.
    pub phase: watch::Sender<Phase>,
    /// Number of callers' open connections.
    pub connections: watch::Sender<usize>,
}

impl Shared {
    /// Returns how far a graceful stop has got.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a phase of a graceful stop, unless a later one has been reached.
    fn enter(&self, phase: Phase) {
        self.phase.send_modify(|it| *it = phase.max(*it));
    }

    /// Waits until a graceful stop has reached a phase.
    pub async fn reached(&self, phase: Phase) {
        let mut current = self.phase.subscribe();
        // The sender is a field of `self`, so the wait cannot fail.
        let _ = current.wait_for(|it| *it >= phase).await;
    }

    /// Counts a caller's connection as open until the result is dropped.
    pub fn open_connection(self: &Arc<Shared>) -> OpenConnection {
        self.connections.send_modify(|it| *it += 1);
        OpenConnection(self.clone())
    }

    /// Waits until no caller's connection is open, but at most for [`CLOSE_TIMEOUT`].
    async fn connections_closed(&self) {
        let mut open = self.connections.subscribe();
        if time::timeout(CLOSE_TIMEOUT, open.wait_for(|it| *it == 0)).await.is_err() {
            log::warn!(
                "callers' connections are still open {CLOSE_TIMEOUT:?} after the last request"
            );
        }
    }
}

/// Counts a caller's connection as open.
pub struct OpenConnection(Arc<Shared>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.send_modify(|it| *it -= 1);
    }
}

/// Executes the effects of the control state.
pub struct Executor {
    /// State shared with the threads that serve requests.
    pub shared: Arc<Shared>,
    /// Threads for blocking calls.
    pub workers: Workers,
    /// Client of the platform.
    pub platform: Arc<dyn Platform>,
    /// Connections to other instances; `None` if no peer listener is configured.
    pub peers: Option<Arc<Peers>>,
    /// Runtime on which the last part of an answer waits if the caller's channel is full, and the stop
    /// for callers' connections to close.
    pub runtime: tokio::runtime::Handle,
    /// Receives one message when the instance has stopped and callers' connections have closed.
    pub stopped: Sender<()>,
}

/// Passes events and ticks to the control state and executes the resulting effects.
///
/// Returns when the sender of `halt` is dropped. Until then, also after the instance has stopped,
/// requests of callers that are still connected are refused and peers' messages answered.
pub fn run(
    mut state: State,
    initial: Vec<Effect>,
    events: &Receiver<Event>,
    halt: &Receiver<Infallible>,
    executor: &Executor,
) {
    let start = Clock::now();
    let ticks = channel::tick(state::TICK);
    executor.execute(initial);
    loop {
        let event = crossbeam::select! {
            recv(events) -> event => event.ok(),
            recv(ticks) -> _ => Some(Event::Tick),
            recv(halt) -> _ => None,
        };
        let Some(event) = event else { break };
        if matches!(event, Event::Drain) {
            executor.shared.enter(Phase::Draining);
        }
        let now = Instant(start.elapsed().as_micros() as u64);
        executor.execute(state.step(now, event));
    }
}

impl Executor {
    /// Executes effects in order.
    fn execute(&self, effects: Vec<Effect>) {
        effects.into_iter().for_each(|it| self.execute_one(it));
    }

    fn execute_one(&self, effect: Effect) {
        let shared = &self.shared;
        match effect {
            Effect::Call { request, attempt, endpoint, step, keep_answer } => {
                let events = shared.events.clone();
                let Some(relay) = shared.relays.get(request) else { return };
                self.workers.run(move || {
                    let job =
                        Job { request, attempt, endpoint: &endpoint, keep_answer, relay: &relay };
                    let report = |outcome| {
                        let report = request::Report { request, attempt, outcome };
                        let _ = events.send(Event::Report(report));
                    };
                    let on_first_byte = || report(request::Outcome::FirstByte);
                    report(endpoint::adapter(endpoint.role).run(job, &step, &on_first_byte));
                });
            }
            Effect::Cancel { request, attempt, endpoint } => {
                self.workers.run(move || cancel(request, attempt, &endpoint));
            }
            Effect::Fail { request, failure } => {
                metrics::counter!("siskinstile_failed_total", "kind" => failure.kind.as_str())
                    .increment(1);
                shared.relays.finish(request, Part::Failed(failure), &self.runtime);
            }
            Effect::Finish { request } => {
                metrics::counter!("siskinstile_answered_total").increment(1);
                shared.relays.finish(request, Part::End, &self.runtime);
            }
            Effect::Replay { request, answer } => {
                metrics::counter!("siskinstile_replayed_total").increment(1);
                shared.relays.finish(request, Part::Replay(answer), &self.runtime);
            }
            Effect::Send { to, body } => {
                if let Some(peers) = &self.peers {
                    peers.send(&to, body);
                }
            }
            Effect::Store { tag, call } => self.store(tag, call),
            Effect::Adopt(config) => {
                metrics::gauge!("siskinstile_generation").set(config.generation as f64);
                shared.config.store(config);
            }
            Effect::Log(record) => record.write(),
            Effect::Reply { id, reply } => {
                let query = shared.queries.lock().ok().and_then(|mut it| it.swap_remove(&id));
                if let Some(query) = query {
                    let _ = query.send(reply);
                }
            }
            Effect::Ready(ready) => shared.ready.store(ready, Ordering::Release),
            Effect::Stopped => self.close(),
        }
    }

    /// Reports the stop once answers have been written and callers' connections have closed.
    fn close(&self) {
        self.shared.enter(Phase::Stopped);
        let (shared, stopped) = (self.shared.clone(), self.stopped.clone());
        self.runtime.spawn(async move {
            shared.connections_closed().await;
            let _ = stopped.send(());
        });
    }

    fn store(&self, tag: Tag, call: Call) {
        let (events, platform) = (self.shared.events.clone(), self.platform.clone());
        self.workers.run(move || {
            let answer = platform.call(&call);
            let _ = events.send(Event::StoreAnswered { tag, answer });
        });
    }
}

fn cancel(request: request::Id, attempt: u32, endpoint: &siskinstile_core::object::Endpoint) {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        match endpoint::adapter(endpoint.role).cancel(request, attempt, endpoint) {
            Ok(()) => return,
            Err(_) => thread::sleep(CANCEL_BACKOFF),
        }
    }
}

/// Returns the failure of a request that gets no answer since the control thread has stopped.
pub fn control_stopped() -> error::Failure {
    error::Failure::not_run(error::Kind::Draining)
}
