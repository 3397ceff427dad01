//! A running gateway.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context as _;
use siskinstile_gateway::{
    State,
    record::{self, Record},
    state,
};
use siskinstile_wire::message::heartbeat::Heartbeat;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    task::spawn_local,
    time,
};

use crate::{
    Protocol, Settings,
    clock::Clock,
    control::Control,
    frontend, lease,
    logger::Logger,
    peers, status,
    store::Kind,
    sync::{Follower, Member},
};

/// Time after a signal to stop in which callers still come.
const DRAIN: Duration = Duration::from_millis(3_500);
/// Time before the end of the grace period at which the process stops whatever is open.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Limit on leaving the list of members.
const LEAVE_LIMIT: Duration = Duration::from_millis(200);
/// Descriptors that are kept for files, the store and peers.
const RESERVED_DESCRIPTORS: usize = 264;

/// A gateway whose tasks run.
#[derive(Debug)]
pub struct Daemon {
    control: Rc<Control>,
    follower: Rc<Follower>,
    book: Rc<peers::Book>,
    settings: Settings,
}

impl Daemon {
    /// Binds the addresses and starts the tasks on the current thread's task set.
    pub async fn spawn(settings: Settings, protocol: Box<dyn Protocol>) -> anyhow::Result<Daemon> {
        let clock = Clock::start();
        let logger = Logger::spawn(&settings.name)?;
        logger.install(settings.log_level);
        logger.write(
            &Record::new(record::STARTED)
                .with("datacentre", &*settings.datacentre)
                .with("first_start", settings.first_start),
        );
        let incarnation = rand::random();
        let state = State::new(state::Settings {
            name: settings.name.clone(),
            incarnation,
            datacentre: settings.datacentre.clone(),
            first_start: settings.first_start,
            retries: settings.retries.clone(),
            lease: settings.lease,
            propagation: settings.propagation,
            drain: DRAIN,
            grace: settings.grace,
        });
        let (sender, heartbeats) = mpsc::unbounded_channel();
        let control = Control::new(protocol, state, clock, logger, sender);
        let follower = Follower::new(control.clone(), settings.store);
        let daemon = Daemon { control, follower, book: Rc::default(), settings };
        daemon.set_seeds(&daemon.settings);
        daemon.listen(heartbeats).await?;
        daemon.follow(incarnation);
        Ok(daemon)
    }

    async fn listen(
        &self,
        heartbeats: mpsc::UnboundedReceiver<(Heartbeat, bool)>,
    ) -> anyhow::Result<()> {
        let listen = &self.settings.listen;
        let front = bind(listen.front).await?;
        let ready = bind(listen.ready).await?;
        let metrics_at = bind(listen.metrics).await?;
        let snapshots = bind(listen.peers).await?;
        let datagrams = UdpSocket::bind(listen.peers).await;
        let datagrams =
            Rc::new(datagrams.with_context(|| format!("datagrams at {}", listen.peers))?);
        let metrics = status::install_metrics()?;
        let control = &self.control;
        spawn_local(control.clone().run_timer());
        let descriptors = self.settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        spawn_local(frontend::serve(control.clone(), front, descriptors));
        spawn_local(status::serve_ready(control.clone(), ready));
        spawn_local(status::serve_metrics(metrics, metrics_at));
        spawn_local(peers::serve_snapshots(snapshots, self.follower.clone()));
        spawn_local(peers::send_heartbeats(
            datagrams.clone(),
            self.book.clone(),
            (listen.peers, self.settings.datacentre.clone()),
            self.follower.clone(),
            heartbeats,
        ));
        spawn_local(peers::receive_heartbeats(
            control.clone(),
            datagrams,
            self.book.clone(),
            self.follower.clone(),
        ));
        Ok(())
    }

    fn follow(&self, incarnation: u64) {
        let follower = &self.follower;
        spawn_local(follower.clone().follow(Kind::Configuration));
        spawn_local(follower.clone().follow(Kind::Endpoints));
        spawn_local(follower.clone().watch_lags());
        let name = self.settings.name.clone();
        let member = Member {
            address: self.settings.listen.peers,
            datacentre: self.settings.datacentre.clone(),
            first_start: self.settings.first_start,
        };
        spawn_local(follower.clone().join(name.clone(), member, self.book.clone()));
        spawn_local(lease::contend(self.control.clone(), follower.clone(), name, incarnation));
    }

    fn set_seeds(&self, settings: &Settings) {
        let port = self.settings.listen.peers.port();
        self.book.set_seeds(settings.seeds.iter().map(|it| SocketAddr::new(*it, port)).collect());
    }

    /// Takes settings that have been read again; only the seeds can change while a process runs.
    pub fn reload(&self, settings: &Settings) {
        self.set_seeds(settings);
        let line = Record::new(record::RELOADED).with("seeds", settings.seeds.len());
        self.control.logger.write(&line);
    }

    /// Stops gracefully: open requests end whole, within the grace period.
    pub async fn drain(&self) {
        self.control.drain();
        let limit = self.settings.grace.saturating_sub(STOP_MARGIN);
        if time::timeout(limit, self.control.stopped()).await.is_err() {
            let open = self.control.read(State::open_requests);
            let line = Record::new(record::STOPPED).with("open", open);
            self.control.logger.write(&line);
        }
        let leave = self.follower.leave(self.settings.name.clone());
        if time::timeout(LEAVE_LIMIT, leave).await.is_err() {
            log::debug!("still listed as a member");
        }
    }
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("listening at {address}"))
}
