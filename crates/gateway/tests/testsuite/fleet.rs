//! A whole fleet on virtual time: what heartbeats cost at different sizes, and what instances know
//! of one another when relays fail.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;
use prost::Message as _;
use rstest::rstest;
use siskinstile_gateway::{
    Directory, Effect, Event, Instant, Name, State,
    budget::Bound,
    call::{Notice, Outcome, Report, Step},
    directory::Endpoint,
    effect::{Call, Recipients},
    name_hash::NameHash,
    quota::Tolerance,
    request::{Arrival, Id, Tokens},
    state::Settings,
};
use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::site::{catalog, decode_engine};

/// Delay of a message.
const LATENCY: Duration = Duration::from_millis(2);
/// Instances in a data centre.
const DATACENTRE_SIZE: usize = 50;

/// Messages, bytes and log lines of one instance.
#[derive(Debug, Default, Clone, Copy)]
struct Traffic {
    sent: usize,
    received: usize,
    sent_bytes: usize,
    lines: usize,
}

struct Instance {
    state: State,
    is_alive: bool,
    traffic: Traffic,
    /// Calls that nobody has answered.
    calls: Vec<Call>,
}

struct Fleet {
    now: Instant,
    instances: IndexMap<Name, Instance>,
    datacentres: IndexMap<Name, Name>,
    /// Next wakes and deliveries: time, order, receiver, and the heartbeat if it is a delivery.
    agenda: BinaryHeap<Reverse<(Instant, u64)>>,
    due: IndexMap<u64, (Name, Option<Heartbeat>)>,
    next: u64,
    /// A data centre that is cut off from the others.
    cut: Option<Name>,
}

impl Fleet {
    /// Starts a fleet, all instances at the same time, with one engine in each data centre.
    fn start(size: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Instant::from_millis(1_000),
            instances: IndexMap::new(),
            datacentres: IndexMap::new(),
            agenda: BinaryHeap::new(),
            due: IndexMap::new(),
            next: 0,
            cut: None,
        };
        for number in 0..size {
            let datacentre = format!("dc-{}", number / DATACENTRE_SIZE);
            fleet.datacentres.insert(format!("i-{number}").into(), datacentre.into());
        }
        for name in fleet.datacentres.keys().cloned().collect::<Vec<_>>() {
            fleet.start_instance(&name, 1);
        }
        fleet
    }

    fn engines(&self) -> Vec<Endpoint> {
        let datacentres: BTreeSet<&Name> = self.datacentres.values().collect();
        datacentres.iter().map(|it| decode_engine(&format!("e-{it}"), it)).collect()
    }

    fn start_instance(&mut self, name: &Name, incarnation: u64) {
        let state = State::new(Settings {
            name: name.clone(),
            incarnation,
            datacentre: self.datacentres[name].clone(),
            first_start: incarnation == 1,
            retries: Bound { ratio: 0.2, slack: 630.0, window: Duration::from_secs(10) },
            quota_tolerance: Tolerance::default(),
            lease: Duration::from_secs(3),
            propagation: Duration::from_secs(4),
            drain: Duration::from_millis(3_500),
            grace: Duration::from_secs(8),
        });
        let instance =
            Instance { state, is_alive: true, traffic: Traffic::default(), calls: Vec::new() };
        self.instances.insert(name.clone(), instance);
        let members = self.datacentres.iter().map(|(name, it)| (name.clone(), it.clone()));
        let members = members.collect();
        let directory = Directory::new(self.engines());
        self.post(name, Event::Members(members));
        self.post(name, Event::Configured(Arc::new(catalog(1))));
        self.post(name, Event::EndpointsListed(Arc::new(directory)));
    }

    fn schedule(&mut self, at: Instant, name: &Name, heartbeat: Option<Heartbeat>) {
        self.next += 1;
        self.agenda.push(Reverse((at, self.next)));
        self.due.insert(self.next, (name.clone(), heartbeat));
    }

    fn post(&mut self, name: &Name, event: Event) {
        let now = self.now;
        let instance = &mut self.instances[name];
        if !instance.is_alive {
            return;
        }
        let effects = instance.state.step(now, event);
        let wake = instance.state.wake().max(now + Duration::from_micros(100));
        self.schedule(wake, name, None);
        for effect in effects {
            match effect {
                Effect::Heartbeat { heartbeat, recipients } => {
                    self.send(name, &heartbeat, recipients);
                }
                Effect::Log(_) => self.instances[name].traffic.lines += 1,
                Effect::Call(call) => self.instances[name].calls.push(call),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: &Name, heartbeat: &Heartbeat, recipients: Recipients) {
        let datacentre = self.datacentres[from].clone();
        let all = || self.datacentres.iter().filter(|(name, _)| *name != from);
        let messages: Vec<(Name, Heartbeat)> = match recipients {
            Recipients::Everyone => all().map(|it| (it.0.clone(), heartbeat.clone())).collect(),
            Recipients::Datacentre => all()
                .filter(|(_, it)| **it == datacentre)
                .map(|it| (it.0.clone(), heartbeat.clone()))
                .collect(),
            Recipients::Members(members) => members
                .into_iter()
                .map(|it| {
                    let (receiver_loads, receiver_waiting) = (it.loads, it.waiting);
                    let heartbeat =
                        Heartbeat { receiver_loads, receiver_waiting, ..heartbeat.clone() };
                    (it.name, heartbeat)
                })
                .collect(),
        };
        let traffic = &mut self.instances[from].traffic;
        traffic.sent += messages.len();
        traffic.sent_bytes += messages.iter().map(|(_, it)| it.encoded_len()).sum::<usize>();
        let is_cut_off = |name: &Name| self.cut.as_ref() == Some(&self.datacentres[name]);
        let arriving = |name: &Name| is_cut_off(name) == is_cut_off(from);
        let messages: Vec<_> = messages.into_iter().filter(|it| arriving(&it.0)).collect();
        for (name, heartbeat) in messages {
            self.schedule(self.now + LATENCY, &name, Some(heartbeat));
        }
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(Reverse((at, number))) = self.agenda.peek().copied() {
            if at > end {
                break;
            }
            self.agenda.pop();
            let Some((name, heartbeat)) = self.due.swap_remove(&number) else { continue };
            self.now = at.max(self.now);
            match heartbeat {
                Some(heartbeat) => {
                    self.instances[&name].traffic.received += 1;
                    self.post(&name, Event::Heartbeat(heartbeat));
                }
                // An instance has one wake at a time; others are outdated.
                None if self.instances[&name].state.wake() <= self.now => {
                    self.post(&name, Event::Tick);
                }
                None => {}
            }
        }
        self.now = end;
    }

    /// Lets an instance reserve a slot at the engine of its data centre.
    fn reserve(&mut self, name: &Name, request: u64) {
        self.post(
            name,
            Event::Arrival(Arrival {
                id: Id(request),
                request_id: format!("request-{request}").into(),
                host: "board.example".into(),
                path: "/review/1".into(),
                key: Some("key-a".into()),
                tokens: Some(Tokens { prompt: 300, output: 20, expected: None }),
                prompt_parts: Vec::new(),
                max_wait: None,
                last_event: None,
            }),
        );
        let call = self.instances[name].calls.pop().expect("a reservation");
        assert!(matches!(call.step, Step::Hold { .. }), "{call:?}");
        let held = Outcome::Held { hold: "h".into() };
        let report = Report { call: call.id, outcome: held, notice: Notice::default() };
        self.post(name, Event::Report(report));
    }

    fn kill(&mut self, name: &Name) {
        self.instances[name].is_alive = false;
    }

    /// Returns the members of a data centre, those with the lowest name hashes first.
    fn members(&self, datacentre: &str) -> Vec<Name> {
        let local = self.datacentres.iter().filter(|(_, it)| ***it == *datacentre);
        let mut names: Vec<Name> = local.map(|(name, _)| name.clone()).collect();
        names.sort_unstable_by_key(|it| NameHash::of(it));
        names
    }

    /// Returns the smallest and the largest number of requests at an engine that living instances
    /// know of.
    fn known_requests(&self, engine: &str) -> (u32, u32) {
        let living = self.instances.values().filter(|it| it.is_alive);
        let known: Vec<u32> = living.map(|it| it.state.endpoint_load(engine).requests).collect();
        (*known.iter().min().expect("one lives"), *known.iter().max().expect("one lives"))
    }

    /// Returns the traffic of all instances since the last call, that with most messages first.
    fn take_traffic(&mut self) -> Vec<Traffic> {
        let mut all: Vec<Traffic> =
            self.instances.values_mut().map(|it| std::mem::take(&mut it.traffic)).collect();
        all.sort_unstable_by_key(|it| Reverse(it.sent));
        all
    }
}

/// Guards against heartbeats from everyone to everyone: an ordinary instance sends and receives as
/// many messages in a fleet of 300 as in one of 100, and a relay one for each member of its data
/// centre and each other one.
#[test]
fn messages_by_size() {
    let traffic = [100, 300].map(|size| {
        let mut fleet = Fleet::start(size);
        fleet.advance(3_000);
        fleet.take_traffic();
        fleet.advance(5_000);
        let traffic = fleet.take_traffic();
        let median = traffic[size / 2];
        let relay = traffic[0];
        (median, relay)
    });
    let [(small, small_relay), (large, large_relay)] = traffic;
    assert!(large.sent * 10 <= small.sent * 12, "{small:?} {large:?}");
    assert!(large.received * 10 <= small.received * 12, "{small:?} {large:?}");
    assert!(large.sent <= 50, "10 a second: {large:?}");
    assert!(large_relay.sent * 10 <= small_relay.sent * 12, "{small_relay:?} {large_relay:?}");
}

/// Guards against a start in which everyone tells everyone, and against a log line for each peer
/// and heartbeat.
#[test]
fn start_at_once() {
    let mut fleet = Fleet::start(300);
    fleet.advance(2_000);
    let traffic = fleet.take_traffic();
    let sent: usize = traffic.iter().map(|it| it.sent).sum();
    assert!(sent <= 300 * 2 * 60, "{sent}");
    fleet.advance(10_000);
    let lines = fleet.take_traffic().iter().map(|it| it.lines).max();
    assert_eq!(lines, Some(0), "nothing changes");
}

/// Every instance knows the requests of all others, and counts its own once.
#[test]
fn loads_known() {
    let mut fleet = Fleet::start(300);
    fleet.advance(3_000);
    for (request, name) in fleet.members("dc-1").into_iter().enumerate().step_by(5) {
        fleet.reserve(&name, request as u64);
    }
    fleet.advance(500);
    let (min, max) = fleet.known_in("dc-1", "e-dc-1");
    assert_eq!((min, max), (10, 10), "within the data centre");
    fleet.advance(2_500);
    assert_eq!(fleet.known_requests("e-dc-1"), (10, 10), "in all");
}

/// The loss of one relay goes unnoticed, and that of both for as long as it takes to find the next
/// candidate.
#[rstest]
#[case::first(&[0], 500)]
#[case::second(&[1], 500)]
#[case::both(&[0, 1], 2_500)]
#[case::four(&[0, 1, 2, 3], 3_500)]
fn relays_killed(#[case] killed: &[usize], #[case] within_ms: u64) {
    let mut fleet = Fleet::start(300);
    fleet.advance(3_000);
    let members = fleet.members("dc-1");
    for index in killed {
        fleet.kill(&members[*index]);
    }
    fleet.reserve(&members[20], 1);
    fleet.advance(within_ms);
    assert_eq!(fleet.known_in("dc-1", "e-dc-1"), (1, 1), "within the data centre");
    fleet.reserve(&members[30], 2);
    fleet.advance(5_000);
    assert_eq!(fleet.known_requests("e-dc-1"), (2, 2), "in all");
}

/// Guards against teams that spend their rate in each data centre: what is spent in one is known in
/// all others within a second.
#[test]
fn spending_known() {
    let mut fleet = Fleet::start(150);
    // Reports in the first seconds may cover spending from before they were heard.
    fleet.advance(12_000);
    let spenders = fleet.members("dc-1");
    for (request, name) in spenders.iter().cycle().take(200).enumerate() {
        fleet.reserve(name, request as u64);
    }
    let spent = 200.0 * 320.0;
    fleet.advance(900);
    let levels = fleet.instances.values().filter_map(|it| it.state.quota_level("a"));
    let highest = levels.fold(f64::MIN, f64::max);
    // The rate is as high as the burst.
    let (rate, seconds) = (60_000.0, 0.9);
    assert!(highest <= rate - spent + rate * seconds, "{highest}");
}

/// Guards against a team that spends its rate twice: the two sides of a cut know of it within 4 s, and
/// then grant their parts of the rate. Without a cut, no instance counts as unreachable.
#[test]
fn datacentre_cut() {
    let mut fleet = Fleet::start(150);
    fleet.advance(8_000);
    let share = |fleet: &Fleet, name: &Name| fleet.instances[name].state.reachable_share();
    for name in fleet.datacentres.keys() {
        assert_eq!(share(&fleet, name), 1.0, "{name}");
    }
    fleet.cut = Some("dc-1".into());
    fleet.advance(4_000);
    for (name, datacentre) in &fleet.datacentres {
        let expected = if &**datacentre == "dc-1" { 1.0 / 3.0 } else { 2.0 / 3.0 };
        assert!((share(&fleet, name) - expected).abs() < 1e-9, "{name}: {}", share(&fleet, name));
    }
    fleet.cut = None;
    fleet.advance(3_000);
    for name in fleet.datacentres.keys() {
        assert_eq!(share(&fleet, name), 1.0, "{name}");
    }
}

/// After a restart of all instances but a few, the fleet knows itself again.
#[test]
fn mass_restart() {
    let mut fleet = Fleet::start(150);
    fleet.advance(3_000);
    let names: Vec<Name> = fleet.datacentres.keys().cloned().collect();
    for name in names.iter().step_by(3) {
        fleet.kill(name);
    }
    fleet.advance(1_000);
    for name in names.iter().step_by(3) {
        fleet.start_instance(name, 2);
    }
    fleet.advance(3_000);
    let restarted = names[3].clone();
    fleet.reserve(&restarted, 1);
    fleet.advance(3_000);
    let engine = format!("e-{}", fleet.datacentres[&restarted]);
    assert_eq!(fleet.known_requests(&engine), (1, 1));
}

impl Fleet {
    /// Returns the smallest and the largest number of requests at an engine that the living
    /// instances of a data centre know of.
    fn known_in(&self, datacentre: &str, engine: &str) -> (u32, u32) {
        let local =
            self.instances.iter().filter(|(name, _)| *self.datacentres[*name] == *datacentre);
        let living = local.filter(|(_, it)| it.is_alive);
        let known: Vec<u32> =
            living.map(|(_, it)| it.state.endpoint_load(engine).requests).collect();
        (*known.iter().min().expect("one lives"), *known.iter().max().expect("one lives"))
    }
}
