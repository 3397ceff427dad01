//! The reducer with its events and effects.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use siskinstile_gateway::{Effect, Event, Instant, State};
use siskinstile_wire::message::heartbeat::Heartbeat;
use tokio::{
    sync::{Notify, mpsc, watch},
    time,
};

use crate::{Protocol, calls, client::Client, clock::Clock, exchange, logger::Logger, status};

/// What the tasks of a gateway share.
#[derive(Debug)]
pub struct Control {
    /// What is spoken with others.
    pub protocol: Box<dyn Protocol>,
    /// Connections to endpoints.
    pub client: Client,
    /// Callers' open requests.
    pub exchanges: Rc<exchange::Table>,
    /// Calls to endpoints.
    pub calls: calls::Table,
    /// The instance's clock.
    pub clock: Clock,
    /// The log.
    pub logger: Logger,
    state: RefCell<State>,
    events: RefCell<VecDeque<Event>>,
    stepping: Cell<bool>,
    woken: Notify,
    heartbeats: mpsc::UnboundedSender<(Heartbeat, bool)>,
    stopped: Notify,
    draining: watch::Sender<bool>,
}

impl Control {
    /// Creates the control state; heartbeats go to `heartbeats`.
    pub fn new(
        protocol: Box<dyn Protocol>,
        state: State,
        clock: Clock,
        logger: Logger,
        heartbeats: mpsc::UnboundedSender<(Heartbeat, bool)>,
    ) -> Rc<Control> {
        Rc::new(Control {
            protocol,
            client: Client::default(),
            exchanges: Rc::default(),
            calls: calls::Table::default(),
            clock,
            logger,
            state: RefCell::new(state),
            events: RefCell::default(),
            stepping: Cell::new(false),
            woken: Notify::new(),
            heartbeats,
            stopped: Notify::new(),
            draining: watch::Sender::new(false),
        })
    }

    /// Hands an event to the reducer and carries out what it asks for.
    ///
    /// An event that arises meanwhile is taken afterwards.
    pub fn post(self: &Rc<Control>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.stepping.replace(true) {
            return;
        }
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            let effects = self.state.borrow_mut().step(now, event);
            for effect in effects {
                self.carry_out(effect);
            }
        }
        self.stepping.set(false);
        self.woken.notify_one();
    }

    /// Reads something of the state.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Wakes the reducer whenever it has something to do.
    pub async fn run_timer(self: Rc<Control>) {
        loop {
            let wake = self.read(State::wake);
            let now = self.clock.now();
            let woken = self.woken.notified();
            tokio::select! {
                () = time::sleep(wake.since(now)) => self.post(Event::Tick),
                () = woken => {}
            }
        }
    }

    /// Begins to stop: callers' connections close once they are idle.
    pub fn drain(self: &Rc<Control>) {
        self.post(Event::Drain);
        self.draining.send_replace(true);
    }

    /// Waits until the process stops.
    pub async fn draining(&self) {
        let mut draining = self.draining.subscribe();
        // The sender lives as long as this.
        let _ = draining.wait_for(|it| *it).await;
    }

    /// Waits until nothing is left to do after a drain.
    pub async fn stopped(&self) {
        self.stopped.notified().await;
    }

    /// Returns the present moment.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    fn carry_out(self: &Rc<Control>, effect: Effect) {
        match effect {
            Effect::Call(call) => self.calls.spawn(self, call),
            Effect::Cancel(call) => self.calls.cancel(call),
            Effect::Relay { call, .. } => self.calls.relay(call),
            Effect::Fail { request, failure } => {
                status::count_failure(&failure);
                self.exchanges.fail(request, |trace| self.protocol.error_response(trace, &failure));
            }
            // What is relayed ends by itself.
            Effect::Finish(_) => status::count_answer(),
            Effect::Heartbeat { heartbeat, to_remote } => {
                // The receiver lives as long as the process.
                let _ = self.heartbeats.send((heartbeat, to_remote));
            }
            Effect::Log(record) => self.logger.write(&record),
            Effect::Stopped => self.stopped.notify_one(),
        }
    }
}
