//! The driver of the reducer: posts events to it and carries out its effects.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use siskinstile_gateway::{
    Effect, Event, Instant, State, effect::Recipients, origin::journal::Command, quarantine::Change,
};
use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::Heartbeat;
use tokio::{
    sync::{Notify, mpsc, watch},
    time,
};

use crate::{
    Protocol, calls, client::Client, clock::Clock, descriptors::Budget, exchange, fault, handover,
    logger::Logger, memory::Memory, peers, status,
};

/// Time without a handled event after which an instance is not ready.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(3);

/// How far a graceful shutdown has got.
#[value(id)]
pub enum Phase {
    /// None has started.
    Serving,
    /// Open requests complete; connections that have had a request close once they are idle.
    Draining,
    /// No request is open, and new ones are refused.
    Stopped,
}

/// Channels to the tasks that carry out effects.
#[derive(Debug)]
pub struct Outputs {
    /// Heartbeats to send, each with its recipients.
    pub heartbeats: mpsc::UnboundedSender<(Heartbeat, Recipients)>,
    /// Changes of the quarantine, for the store.
    pub quarantine: mpsc::UnboundedSender<Change>,
    /// Calls for the journal of origins, to the store.
    pub journal: mpsc::UnboundedSender<Command>,
}

/// State that all tasks of a gateway share.
#[derive(Debug)]
pub struct Control {
    /// Message formats of callers, endpoints and the store.
    pub protocol: Box<dyn Protocol>,
    /// HTTP connections to endpoints.
    pub client: Client,
    /// HTTP connections to peers, over which requests are handed over.
    pub peer_client: Client,
    /// HTTP connections to the store.
    pub store_client: Client,
    /// The budget for file descriptors.
    pub descriptors: Rc<Budget>,
    /// The budget for buffered bytes.
    pub memory: Memory,
    /// Callers' open requests.
    pub exchanges: Rc<exchange::Table>,
    /// Calls to endpoints, and handovers to peers.
    pub calls: calls::Table,
    /// Addresses of peers.
    pub addresses: Rc<peers::Addresses>,
    /// Port at which each instance takes requests that are handed over.
    pub handover_port: u16,
    /// The instance's clock.
    pub clock: Clock,
    /// The log.
    pub logger: Logger,
    state: RefCell<State>,
    events: RefCell<VecDeque<Event>>,
    is_stepping: Cell<bool>,
    /// Whether callers can connect.
    is_listening: Cell<bool>,
    /// When the last event was handled completely.
    last_step: Cell<Instant>,
    stepped: Notify,
    outputs: Outputs,
    phase: watch::Sender<Phase>,
    /// Number of callers' open connections.
    connections: watch::Sender<usize>,
}

impl Control {
    /// Creates the control state; effects that tasks of their own carry out go to `outputs`.
    ///
    /// Handovers go to the given port of peers at the given addresses.
    pub fn new(
        protocol: Box<dyn Protocol>,
        state: State,
        (memory, descriptors): (Memory, Rc<Budget>),
        clock: Clock,
        logger: Logger,
        outputs: Outputs,
        (addresses, handover_port): (Rc<peers::Addresses>, u16),
    ) -> Rc<Control> {
        Rc::new(Control {
            protocol,
            client: Client::within(descriptors.clone()),
            peer_client: Client::for_peers(descriptors.clone()),
            store_client: Client::default(),
            descriptors,
            exchanges: exchange::Table::new(memory.clone()),
            memory,
            calls: calls::Table::default(),
            addresses,
            handover_port,
            last_step: Cell::new(clock.now()),
            clock,
            logger,
            state: RefCell::new(state),
            events: RefCell::default(),
            is_stepping: Cell::new(false),
            is_listening: Cell::new(false),
            stepped: Notify::new(),
            outputs,
            phase: watch::Sender::new(Phase::Serving),
            connections: watch::Sender::new(0),
        })
    }

    /// Passes an event to the reducer and carries out the effects.
    ///
    /// An event posted while an effect is carried out is queued and processed afterwards. A panic ends the
    /// process, as the state may be inconsistent then.
    pub fn post(self: &Rc<Control>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_stepping.replace(true) {
            return;
        }
        let _guard = fault::Guard;
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            let effects = self.state.borrow_mut().step(now, event);
            for effect in effects {
                self.execute(effect);
            }
        }
        self.is_stepping.set(false);
        self.last_step.set(self.clock.now());
        self.stepped.notify_one();
    }

    /// Calls `read` with the reducer's state and returns its result.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Posts a tick whenever the reducer has timed work to do; runs until the process ends.
    pub async fn run_timer(self: Rc<Control>) {
        loop {
            let next_tick = self.read(State::wake);
            let now = self.clock.now();
            let stepped = self.stepped.notified();
            tokio::select! {
                () = time::sleep(next_tick.since(now)) => self.post(Event::Tick),
                () = stepped => {}
            }
        }
    }

    /// Returns whether events are being handled; heartbeats alone bring several a second.
    pub fn is_progressing(&self) -> bool {
        self.clock.now().since(self.last_step.get()) < MAX_STEP_INTERVAL
    }

    /// Records that callers can connect.
    pub fn set_listening(&self) {
        self.is_listening.set(true);
    }

    /// Returns whether callers can connect.
    pub fn is_listening(&self) -> bool {
        self.is_listening.get()
    }

    /// Starts a graceful shutdown.
    pub fn drain(self: &Rc<Control>) {
        self.post(Event::Drain);
        self.phase.send_modify(|it| *it = Phase::Draining.max(*it));
    }

    /// Returns how far a graceful shutdown has got.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until a graceful shutdown has reached a phase.
    pub async fn reached(&self, phase: Phase) {
        let mut current = self.phase.subscribe();
        // The sender is a field of `self`, so the wait cannot fail.
        let _ = current.wait_for(|it| *it >= phase).await;
    }

    /// Counts a caller's connection as open until the result is dropped.
    pub fn open_connection(self: &Rc<Control>) -> OpenConnection {
        self.connections.send_modify(|it| *it += 1);
        OpenConnection(self.clone())
    }

    /// Waits until no caller's connection is open.
    pub async fn connections_closed(&self) {
        let mut open = self.connections.subscribe();
        // The sender is a field of `self`, so the wait cannot fail.
        let _ = open.wait_for(|it| *it == 0).await;
    }

    /// Returns the current time of the instance's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    fn execute(self: &Rc<Control>, effect: Effect) {
        match effect {
            Effect::Call(call) => self.calls.spawn(self, call),
            Effect::Cancel(call) => self.calls.cancel(call),
            Effect::Probe { endpoint, round } => handover::probe(self, endpoint, round),
            Effect::HandOver(effect) => handover::spawn(self, effect),
            Effect::Relay { call, .. } => self.calls.relay(call),
            Effect::Fail { request, failure } => {
                status::count_failure(&failure);
                let not_taken = handover::is_not_taken(&failure);
                let response =
                    |request_id: &str| self.protocol.error_response(request_id, &failure);
                self.exchanges.fail(request, response, not_taken);
            }
            // The call's task ends the response itself.
            Effect::Finish(_) => status::count_answer(),
            Effect::Heartbeat { heartbeat, recipients } => {
                // The receiving task runs as long as the process.
                let _ = self.outputs.heartbeats.send((*heartbeat, recipients));
            }
            Effect::Quarantine(change) => {
                // The receiving task runs as long as the process.
                let _ = self.outputs.quarantine.send(change);
            }
            Effect::Journal(command) => {
                // The receiving task runs as long as the process.
                let _ = self.outputs.journal.send(command);
            }
            Effect::Log(record) => {
                status::count_line(&record);
                self.logger.write(&record);
            }
            Effect::Stopped => {
                self.phase.send_replace(Phase::Stopped);
            }
        }
    }
}

/// Counts a caller's connection as open.
#[derive(Debug)]
pub struct OpenConnection(Rc<Control>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.send_modify(|it| *it -= 1);
    }
}
