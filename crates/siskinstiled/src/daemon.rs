//! Start and stop of one instance.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicBool},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context as _;
use arc_swap::ArcSwap;
use crossbeam::channel::{self, Receiver, Sender};
use indexmap::IndexMap;
use siskinstile_core::{Config, Event, State, state};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    Settings, admin,
    control::{self, Executor, Phase, Shared},
    frontend,
    peer::{self, Peers},
    platform::Http,
    relay::Registry,
    worker::Workers,
};

/// Threads of the runtime that serves callers, operators and peers.
const RUNTIME_THREADS: usize = 2;

/// A running instance; dropping it stops it at once, without a drain.
pub struct Daemon {
    frontend: SocketAddr,
    admin: SocketAddr,
    peer: Option<SocketAddr>,
    shared: Arc<Shared>,
    stopped: Receiver<()>,
    runtime: Option<tokio::runtime::Runtime>,
    /// Stops the control thread when dropped.
    _halt: Sender<Infallible>,
}

impl Daemon {
    /// Binds the listeners and starts the threads of an instance.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, a certificate cannot be read or a thread cannot be started.
    pub fn spawn(settings: &Settings) -> anyhow::Result<Daemon> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .enable_all()
            .build()
            .context("cannot start the runtime")?;
        let frontend_listener = bind(&runtime, settings.frontend.listen)?;
        let admin_listener = bind(&runtime, settings.admin.listen)?;
        let (events, inbox) = channel::unbounded();
        let shared = Arc::new(Shared {
            events,
            relays: Registry::default(),
            config: ArcSwap::from_pointee(Config::default()),
            ready: AtomicBool::new(false),
            queries: Mutex::new(IndexMap::new()),
            phase: watch::Sender::new(Phase::Serving),
            connections: watch::Sender::new(0),
        });
        let (stopped_sender, stopped) = channel::bounded(1);
        let (halt_sender, halt) = channel::bounded(0);
        let core = core_settings(settings);
        let identity = peer::Identity { name: core.name.clone(), incarnation: core.incarnation };
        let incarnation = core.incarnation;
        let peers = settings.peer.as_ref().map(|it| {
            Peers::bind(runtime.handle(), it, identity, shared.events.clone()).map(Arc::new)
        });
        let peers = peers.transpose()?;
        let executor = Executor {
            shared: shared.clone(),
            workers: Workers::empty(),
            platform: Arc::new(Http::new(settings.platform.address, incarnation)),
            peers: peers.clone(),
            runtime: runtime.handle().clone(),
            stopped: stopped_sender,
        };
        let (state, initial) = State::new(core);
        thread::Builder::new()
            .name("control".into())
            .spawn(move || control::run(state, initial, &inbox, &halt, &executor))
            .context("cannot start the control thread")?;
        let (frontend, admin) = (frontend_listener.local_addr()?, admin_listener.local_addr()?);
        let tls = settings.frontend.tls.as_ref();
        let tls = tls.map(|it| peer::tls::load_frontend(runtime.handle(), it)).transpose()?;
        let frontend_settings = settings.frontend.clone();
        runtime.spawn(frontend::serve(frontend_listener, shared.clone(), frontend_settings, tls));
        runtime.spawn(admin::serve(admin_listener, shared.clone()));
        let peer = peers.map(|it| it.address());
        Ok(Daemon {
            frontend,
            admin,
            peer,
            shared,
            stopped,
            runtime: Some(runtime),
            _halt: halt_sender,
        })
    }

    /// Returns the address of the listener for callers.
    pub fn frontend(&self) -> SocketAddr {
        self.frontend
    }

    /// Returns the address of the listener for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the address of the listener for other instances, or `None` without one.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Begins a graceful stop, which completes open requests and writes their answers first.
    pub fn drain(&self) {
        let _ = self.shared.events.send(Event::Drain);
    }

    /// Waits for at most `timeout` for the instance to stop; returns whether it has stopped.
    pub fn wait(&self, timeout: Duration) -> bool {
        !matches!(self.stopped.recv_timeout(timeout), Err(channel::RecvTimeoutError::Timeout))
    }

    /// Returns whether the instance accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(std::sync::atomic::Ordering::Acquire)
    }

    /// Returns the configuration in force, which has generation 0 until the first one is adopted.
    pub fn config(&self) -> Arc<Config> {
        self.shared.config.load_full()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn bind(runtime: &tokio::runtime::Runtime, address: SocketAddr) -> anyhow::Result<TcpListener> {
    runtime
        .block_on(TcpListener::bind(address))
        .with_context(|| format!("cannot listen on {address}"))
}

fn core_settings(settings: &Settings) -> state::Settings {
    state::Settings {
        name: settings.instance.name.clone(),
        incarnation: incarnation(),
        datacentre: settings.instance.datacentre.clone(),
        fleet_size: settings.fleet.size,
        balancer_lag: settings.fleet.balancer_lag(),
    }
}

/// Returns the incarnation of this start: the Unix time in milliseconds.
///
/// It is higher than that of an earlier start unless the clock has been set back.
fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
