//! The reducer: the entire control state of a gateway and the step from an event to effects.
//!
//! `listing` puts configurations and lists of endpoints in force. `admission` checks the route, API key and rate limit of a request. `plain` sends it to an
//! endpoint of a plain service; `queue` lets it wait for a slot at a model engine, and `engine` takes
//! it through hold, prefill and run; `prompts` decides on prompts that are overdue. `reports` handles
//! the outcomes of calls, `quarantine` what they show of requests and prompt parts, `limits` what
//! endpoints state on the requests that they take, `warm_up` that they are cold, `paces` how fast they
//! are, `evacuations` the list of evacuated data centres, `origins` where streams began, `journal` what
//! the store keeps of it, `reach` whether endpoints are reached at all, `handovers` the requests that
//! peers serve while none is, `fleet` the heartbeats of other instances, `heartbeat` and `relays` the sending
//! of own and relayed ones, `orders` the reconfiguration of engines, `startup` what a new instance waits for
//! and `clock` everything that depends on time. `job` contains the requests in progress and their open calls.

mod admission;
mod backup;
mod clock;
mod engine;
mod evacuations;
mod fleet;
mod groups;
mod handovers;
mod heartbeat;
mod job;
mod journal;
mod limits;
mod listing;
mod orders;
mod origins;
mod paces;
mod plain;
mod prompts;
mod quarantine;
mod queue;
mod reach;
mod relays;
mod reports;
mod starts;
mod startup;
mod warm_up;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_core::error::{Failure, Kind, Ran};
use siskinstile_macros::value;

use crate::{
    Catalog, Directory, Effect, Event, Instant, Name,
    budget::{Bound, Budget},
    call,
    departure::Departures,
    engine::{Forecast, Queue, RetryAfter},
    evacuation::Evacuations,
    health::Tracker,
    limit::Limits,
    load::Loads,
    member,
    origin::Origins,
    pace::Paces,
    plain::{Arrivals, Usual},
    quarantine::{Groups, Quarantine},
    quota::{Ledger, Tolerance},
    range::Ranged as _,
    reach::Reach,
    record::{self, Record},
    request,
    warm_up::Tracker as ColdTracker,
};

use job::{Job, OpenCall};

/// Identity of an instance and the parameters of its deployment.
#[value]
pub struct Settings {
    /// Name of the instance.
    pub name: Name,
    /// Differs between starts of the instance.
    pub incarnation: u64,
    /// Data centre that the instance runs in.
    pub datacentre: Name,
    /// Whether this is the first start of the whole fleet; quota buckets then start full.
    pub first_start: bool,
    /// Limit on retries over the whole fleet.
    pub retries: Bound,
    /// What operators grant teams beyond their quotas.
    pub quota_tolerance: Tolerance,
    /// Region of each data centre.
    pub regions: IndexMap<Name, Name>,
    /// What operators grant beyond the rate of cold endpoints; `None` where endpoints are never cold.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Time after which an evacuated data centre must get no requests; `None` where data centres are
    /// not evacuated.
    pub evacuation_limit: Option<Duration>,
    /// Maximum time for which the holder of the order lease may act on it.
    pub lease: Duration,
    /// Time within which a new configuration must be in force at all instances.
    pub propagation: Duration,
    /// Time after the start of a drain during which new requests still arrive.
    pub drain: Duration,
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Time between two entries that an endpoint writes, and from its start to the first one.
    pub entry_interval: Duration,
}

impl Settings {
    /// Returns the time within which all instances must know a change on the store.
    fn replication_limit(&self) -> Duration {
        self.evacuation_limit.map_or(self.propagation, |it| it.min(self.propagation))
    }
}

/// What operators grant beyond the rate of cold endpoints, in any one second.
#[value]
pub struct ColdTolerance {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Further requests.
    pub slack: f64,
}

/// State of the fleet as known to this instance.
#[value]
struct Fleet {
    members: member::Table,
    loads: Loads,
    ledger: Ledger,
    budgets: IndexMap<Name, Budget>,
    health: Tracker,
    relays: relays::Relays,
    departures: Departures,
    limits: Limits,
    warm_up: ColdTracker,
    quarantine: Quarantine,
    groups: Groups,
    /// Crashes that entries have not shown yet, the latest first.
    unproven: Vec<quarantine::Unproven>,
    origins: Origins,
    journaling: journal::Journaling,
    reported_loads: IndexMap<Name, (Instant, call::ReportedLoad)>,
    paces: Paces,
    /// Usual durations of plain calls, by service and route.
    usuals: IndexMap<(Name, Name), Usual>,
    /// Recent arrivals for plain services, by service.
    arrivals: IndexMap<Name, Arrivals>,
    forecasts: IndexMap<Name, Forecast>,
    /// Schedules of the retry-after times of refused callers, by service.
    retry_afters: IndexMap<Name, RetryAfter>,
    /// Longest `max_wait` that a caller has stated, by route.
    longest_waits: IndexMap<Name, Duration>,
}

/// When periodic tasks last ran, and what the next heartbeat has to announce.
#[value]
struct Times {
    /// When the first event arrived.
    started: Option<Instant>,
    last_heartbeat: Instant,
    last_remote_heartbeat: Instant,
    /// When this instance, as a relay, last told the others in its data centre what it knows.
    last_digest: Instant,
    /// When a heartbeat last contained all accounts.
    last_full_heartbeat: Instant,
    /// Whether a change of configuration or endpoints is still to be sent to local peers.
    announcement_due: bool,
    /// Whether such a change is still to be sent to those that this instance is a relay of.
    digest_announcement_due: bool,
    /// Whether a change of loads, configuration or endpoints is still to be sent to other data
    /// centres.
    remote_announcement_due: bool,
    heartbeat_number: u64,
    last_expiry: Instant,
    last_placement: Instant,
    drain_start: Option<Instant>,
}

/// The control state of one gateway instance.
#[value]
pub struct State {
    settings: Settings,
    catalog: Option<Arc<Catalog>>,
    /// The endpoints as the platform lists them.
    listed: Arc<Directory>,
    /// The endpoints, of which those known to leave count as draining, and those in evacuated data
    /// centres as such.
    directory: Arc<Directory>,
    evacuations: Evacuations,
    fleet: Fleet,
    times: Times,
    queue: Queue,
    jobs: IndexMap<request::Id, Job>,
    calls: IndexMap<call::Id, OpenCall>,
    next_call: u64,
    reach: Reach,
    doubt: reach::Doubt,
    handovers: handovers::Handovers,
    planner: orders::Planner,
    startup: startup::Startup,
    stopped: bool,
    effects: Vec<Effect>,
}

impl State {
    /// Creates the state of a newly started instance, without configuration or endpoints.
    pub fn new(settings: Settings) -> State {
        let ledger = Ledger::new(settings.quota_tolerance.clone());
        let members = member::Table::new(settings.datacentre.clone(), settings.replication_limit());
        let limits = Limits::new(settings.incarnation);
        let evacuations = Evacuations::new(settings.evacuation_limit);
        let journaling = journal::Journaling::new(&settings);
        let tolerance = settings.cold_tolerance.clone();
        let warm_up = ColdTracker::new(&settings.name, tolerance, settings.first_start);
        State {
            settings,
            catalog: None,
            listed: Arc::default(),
            directory: Arc::default(),
            evacuations,
            fleet: Fleet {
                members,
                loads: Loads::default(),
                ledger,
                budgets: IndexMap::new(),
                health: Tracker::default(),
                relays: relays::Relays::default(),
                departures: Departures::default(),
                limits,
                warm_up,
                quarantine: Quarantine::default(),
                groups: Groups::default(),
                unproven: Vec::new(),
                origins: Origins::default(),
                journaling,
                reported_loads: IndexMap::new(),
                paces: Paces::default(),
                usuals: IndexMap::new(),
                arrivals: IndexMap::new(),
                forecasts: IndexMap::new(),
                retry_afters: IndexMap::new(),
                longest_waits: IndexMap::new(),
            },
            times: Times {
                started: None,
                last_heartbeat: Instant::default(),
                last_remote_heartbeat: Instant::default(),
                last_digest: Instant::default(),
                last_full_heartbeat: Instant::default(),
                announcement_due: false,
                digest_announcement_due: false,
                remote_announcement_due: false,
                heartbeat_number: 0,
                last_expiry: Instant::default(),
                last_placement: Instant::default(),
                drain_start: None,
            },
            queue: Queue::default(),
            jobs: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 0,
            reach: Reach::default(),
            doubt: reach::Doubt::default(),
            handovers: handovers::Handovers::default(),
            planner: orders::Planner::default(),
            startup: startup::Startup::default(),
            stopped: false,
            effects: Vec::new(),
        }
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.times.started.get_or_insert(now);
        match self.confine(event) {
            Event::Tick => {}
            Event::Configured(catalog) => self.handle_configuration(now, catalog),
            Event::EndpointsListed(directory) => self.handle_endpoint_list(now, directory),
            Event::Evacuated(listed) => self.handle_evacuations(now, listed),
            Event::StoreContact(has_contact) => self.handle_store_contact(now, has_contact),
            Event::Members(listed) => self.fleet.members.set_listed(listed),
            Event::Arrival(arrival) => self.handle_arrival(now, arrival),
            Event::Disconnected(request) => self.caller_disconnected(now, request),
            Event::Report(report) => self.handle_report(now, report),
            Event::Progress => self.reach.record_sign(now),
            Event::Probed { round, answered } => self.handle_probe(now, round, answered),
            Event::HandedOver(report) => self.handle_handover(now, report),
            Event::Heartbeat(heartbeat) => self.handle_heartbeat(now, *heartbeat),
            Event::Quarantined(reports) => self.record_suspects(now, reports.into_iter(), "store"),
            Event::Journal(answer) => self.handle_journal(now, answer),
            Event::Lease(lease) => self.handle_lease(lease),
            Event::Drain => self.start_drain(now),
        }
        self.run_due(now);
        self.place_waiting(now);
        self.observe_start(now);
        self.send_heartbeats(now);
        std::mem::take(&mut self.effects)
    }

    /// Brings the numbers of an event into their ranges.
    fn confine(&mut self, mut event: Event) -> Event {
        let source = match &mut event {
            Event::Arrival(it) => it.confine().then(|| it.request_id.to_string()),
            Event::Heartbeat(it) => it.confine().then(|| it.name.clone()),
            Event::Report(it) => (it.notice.confine() | it.outcome.confine()).then(|| {
                let call = self.calls.get(&it.call);
                call.map_or_else(String::new, |it| it.endpoint.id.to_string())
            }),
            _ => None,
        };
        if let Some(source) = source {
            self.log(Record::new(record::VALUE_CLAMPED).with("source", source));
        }
        event
    }

    /// Returns the configuration in force, or `None` before the first one has arrived.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns whether the instance should receive new connections: it has a configuration,
    /// endpoints and the list of evacuations, and is not draining.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && !self.is_draining()
    }

    /// Returns whether a graceful stop has begun.
    pub fn is_draining(&self) -> bool {
        self.times.drain_start.is_some()
    }

    /// Returns the number of requests that have not been answered yet.
    pub fn open_requests(&self) -> usize {
        self.jobs.len() + self.handovers.len()
    }

    /// Sends a heartbeat soon, as the configuration or an endpoint has changed.
    fn announce(&mut self) {
        self.times.announcement_due = true;
        self.times.digest_announcement_due = true;
    }

    fn start_drain(&mut self, now: Instant) {
        if self.times.drain_start.is_none() {
            self.times.drain_start = Some(now);
            self.log(Record::new(record::DRAINING).with("open", self.open_requests()));
        }
    }

    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn log(&mut self, record: Record) {
        self.emit(Effect::Log(record));
    }

    /// Ends an admitted request with an error; the only function that does so.
    ///
    /// A failure that states that the request has not run becomes `OutcomeUnknown` if a byte of it
    /// may have been sent.
    fn fail(&mut self, now: Instant, id: request::Id, mut failure: Failure, reason: &'static str) {
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        job.may_have_run |= self.has_open_run(&job);
        if job.may_have_run && failure.ran == Ran::No {
            failure = Failure::not_run(Kind::OutcomeUnknown).with_ran(Ran::Unknown);
        }
        self.clean_up(now, &mut job);
        if failure.ran == Ran::No {
            self.refund(now, &job);
        }
        let code = if failure.ran == Ran::No { record::REFUSED } else { record::FAILED };
        let line = job.log_record(code, now).with("kind", failure.kind.as_str());
        let retry_after_ms = failure.retry_after.map(|it| it.as_millis() as u64);
        self.log(line.with("reason", reason).with("retry_after_ms", retry_after_ms));
        self.emit(Effect::Fail { request: id, failure });
    }

    /// Returns whether a run of the request is open, so that bytes of it may have been sent.
    fn has_open_run(&self, job: &Job) -> bool {
        let is_run =
            |it: &call::Id| self.calls.get(it).is_some_and(|open| open.kind == job::Kind::Run);
        job.calls.iter().any(is_run)
    }

    /// Refunds the quota charged for a request that has not run.
    fn refund(&mut self, now: Instant, job: &Job) {
        if let Some(team) = &job.team {
            self.fleet.ledger.refund(now, &team.name, job.charged);
        }
    }

    /// Cancels the calls of a request whose caller has closed the connection.
    fn caller_disconnected(&mut self, now: Instant, id: request::Id) {
        self.end_handover(now, id);
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        job.may_have_run |= self.has_open_run(&job);
        self.clean_up(now, &mut job);
        if !job.may_have_run {
            self.refund(now, &job);
        }
        let line = job.log_record(record::CALLER_DISCONNECTED, now);
        self.log(line);
    }
}
