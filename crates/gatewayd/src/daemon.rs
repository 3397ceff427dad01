//! The gateway process: start-up, reload and graceful shutdown.

use std::{cell::OnceCell, net::SocketAddr, rc::Rc, time::Duration};

use siskinstile_core::order::Candidate;
use siskinstile_gateway::{
    State,
    effect::Recipients,
    record::{self, Record},
    state,
};
use siskinstile_wire::message::heartbeat::Heartbeat;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    time,
};

use crate::{
    Protocol, Settings,
    clock::Clock,
    control::{Control, Outputs, Phase},
    descriptors::{self, Budget},
    fault::spawn_essential,
    frontend, lease,
    listener::{self, Purpose},
    logger::Logger,
    memory::Memory,
    peers,
    settings::Unusable,
    status,
    sync::{Follower, Member},
};

/// Time after the signal to stop during which callers may still send new requests.
const DRAIN: Duration = Duration::from_millis(3_500);
/// Time before the end of the grace period at which the process exits, although answers may still be
/// on their way to callers.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Time between two reads of settings that cannot be used.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for removing the instance from the list of members.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// A running gateway.
#[derive(Debug)]
pub struct Daemon {
    control: Rc<Control>,
    follower: Rc<Follower>,
    addresses: Rc<peers::Addresses>,
    settings: Settings,
}

impl Daemon {
    /// Starts the tasks on the current thread's `LocalSet`, and listens at those addresses that are
    /// available; at the others it does so as soon as they are.
    ///
    /// Fails if the process may not listen at an address or if the metrics recorder cannot start.
    pub async fn spawn(
        settings: Settings,
        protocol: Box<dyn Protocol>,
        logger: Logger,
    ) -> anyhow::Result<Daemon> {
        let clock = Clock::start();
        logger.set_instance(&settings.name);
        log_start(&logger, &settings);
        let incarnation = rand::random();
        let state = State::new(state::Settings {
            name: settings.name.clone(),
            incarnation,
            datacentre: settings.datacentre.clone(),
            first_start: settings.first_start,
            retries: settings.retries.clone(),
            quota_tolerance: settings.quota_tolerance.clone(),
            regions: settings.regions.clone(),
            cold_tolerance: settings.cold_tolerance.clone(),
            evacuation_limit: settings.evacuation_limit,
            lease: settings.lease,
            propagation: settings.propagation,
            drain: DRAIN,
            grace: settings.grace,
            entry_interval: settings.entry_interval,
        });
        let (sender, heartbeats) = mpsc::unbounded_channel();
        let (quarantine, quarantine_changes) = mpsc::unbounded_channel();
        let (journal, journal_commands) = mpsc::unbounded_channel();
        let outputs = Outputs { heartbeats: sender, quarantine, journal };
        let memory = Memory::new(settings.memory_bytes);
        let addresses: Rc<peers::Addresses> = Rc::default();
        let handovers = (addresses.clone(), settings.listen.handovers.port());
        let budgets = (memory, descriptors(&settings, &logger));
        let control = Control::new(protocol, state, budgets, clock, logger, outputs, handovers);
        let follower = Follower::new(control.clone(), &settings);
        let daemon = Daemon { control, follower, addresses, settings };
        daemon.set_seeds(&daemon.settings);
        daemon.spawn_listeners(heartbeats)?;
        daemon.spawn_followers(incarnation);
        spawn_essential(daemon.follower.clone().keep_quarantine(quarantine_changes));
        spawn_essential(daemon.follower.clone().keep_journal(journal_commands));
        Ok(daemon)
    }

    fn spawn_listeners(
        &self,
        heartbeats: mpsc::UnboundedReceiver<(Heartbeat, Recipients)>,
    ) -> anyhow::Result<()> {
        let metrics = status::install_metrics()?;
        spawn_essential(self.control.clone().run_timer());
        let listen = &self.settings.listen;
        self.spawn_frontend((Purpose::Callers, listen.front), frontend::Source::Callers)?;
        self.spawn_frontend((Purpose::Handovers, listen.handovers), frontend::Source::Peers)?;
        let control = self.control.clone();
        self.spawn_connections((Purpose::Readiness, listen.ready), move |it| {
            status::serve_ready(control, it)
        })?;
        let (control, follower) = (self.control.clone(), self.follower.clone());
        self.spawn_connections((Purpose::Snapshots, listen.peers), move |it| {
            peers::transfer::serve(control, it, follower)
        })?;
        self.spawn_heartbeats(heartbeats)?;
        // Last, as the platform does not know this port when it chooses the others.
        let control = self.control.clone();
        self.spawn_connections((Purpose::Metrics, listen.metrics), move |it| {
            status::serve_metrics(control, metrics, it)
        })
    }

    fn spawn_frontend(
        &self,
        target: (Purpose, SocketAddr),
        source: frontend::Source,
    ) -> anyhow::Result<()> {
        let control = self.control.clone();
        self.spawn_connections(target, move |it| frontend::serve(control, it, source))
    }

    fn spawn_connections<F: Future<Output = ()> + 'static>(
        &self,
        target: (Purpose, SocketAddr),
        serve: impl FnOnce(TcpListener) -> F + 'static,
    ) -> anyhow::Result<()> {
        listener::spawn(&self.control.logger, target, listener::open_connections, serve)
    }

    fn spawn_heartbeats(
        &self,
        heartbeats: mpsc::UnboundedReceiver<(Heartbeat, Recipients)>,
    ) -> anyhow::Result<()> {
        let socket: Rc<OnceCell<UdpSocket>> = Rc::default();
        let own = self.settings.listen.peers;
        spawn_essential(peers::send_heartbeats(
            socket.clone(),
            self.addresses.clone(),
            (own, self.settings.datacentre.clone()),
            self.follower.clone(),
            heartbeats,
        ));
        let control = self.control.clone();
        let (addresses, follower) = (self.addresses.clone(), self.follower.clone());
        let target = (Purpose::Heartbeats, own);
        listener::spawn(&self.control.logger, target, listener::open_datagrams, move |it| {
            peers::receive_heartbeats(control, socket, it, addresses, follower)
        })
    }

    fn spawn_followers(&self, incarnation: u64) {
        let follower = &self.follower;
        for kind in follower.kinds() {
            spawn_essential(follower.clone().follow(kind));
            spawn_essential(follower.clone().pull_changes(kind));
        }
        spawn_essential(follower.clone().maintain());
        let name = self.settings.name.clone();
        let member = Member {
            address: self.settings.listen.peers,
            datacentre: self.settings.datacentre.clone(),
            first_start: self.settings.first_start,
        };
        spawn_essential(follower.clone().join(name.clone(), member, self.addresses.clone()));
        let candidate = Candidate { name, incarnation };
        let first_start = self.settings.first_start;
        spawn_essential(lease::contend(
            self.control.clone(),
            follower.clone(),
            candidate,
            first_start,
        ));
    }

    fn set_seeds(&self, settings: &Settings) {
        let port = self.settings.listen.peers.port();
        self.addresses
            .set_seeds(settings.seeds.iter().map(|it| SocketAddr::new(*it, port)).collect());
    }

    /// Reads the settings until they can be used, and applies them; only the seeds can change while the process runs.
    ///
    /// The settings in force stay until then; the log tells why, once for each problem.
    pub async fn reload(&self, read: impl Fn() -> Result<Settings, Unusable>) {
        let mut logged = None;
        loop {
            match read() {
                Ok(settings) => return self.apply(&settings),
                Err(unusable) if logged.as_ref() == Some(&unusable.problem) => {}
                Err(unusable) => {
                    let line = Record::new(record::RELOAD_FAILED);
                    self.control.logger.write(&line.with("problem", &*unusable.problem));
                    logged = Some(unusable.problem);
                }
            }
            time::sleep(RELOAD_INTERVAL).await;
        }
    }

    fn apply(&self, settings: &Settings) {
        self.set_seeds(settings);
        let line = Record::new(record::RELOADED).with("seeds", settings.seeds.len());
        self.control.logger.write(&line);
    }

    /// Shuts down gracefully: waits until open requests have been answered and the answers written to
    /// the callers, but not beyond the grace period.
    pub async fn drain(&self) {
        let end = time::Instant::now() + self.settings.grace.saturating_sub(EXIT_MARGIN);
        self.control.drain();
        if time::timeout_at(end, self.control.reached(Phase::Stopped)).await.is_err() {
            log::warn!("the drain has not ended within the grace period");
        }
        let leave = self.follower.leave(self.settings.name.clone());
        let (left, closed) = tokio::join!(
            time::timeout(LEAVE_TIMEOUT, leave),
            time::timeout_at(end, self.control.connections_closed()),
        );
        if left.is_err() {
            log::debug!("removal from the list of members timed out");
        }
        if closed.is_err() {
            log::warn!("callers' connections are still open at the end of the grace period");
        }
    }
}

/// Raises the limit on descriptors to that of the settings, and returns the budget of those that there are.
fn descriptors(settings: &Settings, logger: &Logger) -> Rc<Budget> {
    let limit = descriptors::raise_limit(settings.descriptors);
    if limit < settings.descriptors {
        let line = Record::new(record::DESCRIPTORS_FEWER)
            .with("limit", limit)
            .with("configured", settings.descriptors);
        status::count_line(&line);
        logger.write(&line);
    }
    Budget::new(limit)
}

fn log_start(logger: &Logger, settings: &Settings) {
    let line = Record::new(record::STARTED)
        .with("version", env!("CARGO_PKG_VERSION"))
        .with("datacentre", &*settings.datacentre)
        .with("first_start", settings.first_start)
        .with("since_start_ms", logger.age().as_millis() as u64)
        .with("memory_bytes", settings.memory_bytes)
        .with("descriptors", settings.descriptors);
    logger.write(&line);
}
