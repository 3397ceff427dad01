//! Evacuation of a data centre in a whole fleet under load, on virtual time.

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{
    Directory, Event, Instant, Name, State,
    call::{Outcome, Step},
    directory::Endpoint,
    effect::Call,
    name_hash::NameHash,
    replication::Position,
    request::{Arrival, Id, Tokens},
};

use crate::{
    simulation::Fleet,
    site::{EVACUATION_LIMIT, endpoints},
};

/// The data centre that is evacuated; no instance runs there.
const EVACUATED: &str = "dc-9";
/// Time between two requests, alternately a generation and a plain one.
const ARRIVAL_MS: u64 = 10;
/// Time between two checks for peers that are ahead.
const POLL_MS: u64 = 50;
/// Time for which an instance that follows the store waits before it pulls from a peer.
const MAX_LAG: Duration = Duration::from_millis(500);

/// A fleet under load with the store's list of evacuations, and the copies of it.
struct Drill {
    fleet: Fleet,
    /// Position of the store's list; `None` while the store is down.
    stored: Option<Position>,
    /// Whether the data centre is evacuated, as of each position.
    history: Vec<(Position, bool)>,
    behind_since: Vec<(Name, Instant)>,
    /// Calls to the data centre, each with its time and instance.
    calls: Vec<(Instant, Name)>,
    answers: Vec<(Instant, Name, Call, Outcome)>,
    requests: u64,
}

impl Drill {
    fn start(size: usize) -> Drill {
        let mut drill = Drill {
            fleet: Fleet::start_evacuable(size, EVACUATED),
            stored: None,
            history: Vec::new(),
            behind_since: Vec::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            requests: 0,
        };
        drill.write(Position::new(1, 1), false);
        let names: Vec<Name> = drill.fleet.datacentres.keys().cloned().collect();
        names.iter().for_each(|it| drill.list_endpoints(it));
        drill.advance(3_000);
        drill
    }

    fn list_endpoints(&mut self, name: &Name) {
        let place = |it: Endpoint| {
            let datacentre = if &*it.datacentre == "north" { "dc-0" } else { EVACUATED };
            Endpoint { datacentre: datacentre.into(), ..it }
        };
        let all = Directory::new(endpoints().into_iter().map(place));
        self.fleet.post(name, Event::EndpointsListed(Arc::new(all)));
    }

    fn write(&mut self, position: Position, is_evacuated: bool) {
        self.stored = Some(position);
        self.history.push((position, is_evacuated));
    }

    /// Lets the store answer no instance any more, but the first one for which `keeps` is true.
    fn lose_store(&mut self, keeps: impl Fn(&State, Instant) -> bool) {
        let now = self.fleet.now;
        let instances = &mut self.fleet.instances;
        instances.values_mut().for_each(|it| it.is_without_store = true);
        if let Some(kept) = instances.values_mut().find(|it| keeps(&it.state, now)) {
            kept.is_without_store = false;
        }
    }

    fn restart(&mut self, name: &Name) {
        self.fleet.start_instance(name, 2);
        self.list_endpoints(name);
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / ARRIVAL_MS {
            self.fleet.advance(ARRIVAL_MS);
            self.send();
            for name in self.fleet.datacentres.keys().cloned().collect::<Vec<_>>() {
                self.replicate(&name);
                self.take_calls(&name);
            }
            let now = self.fleet.now;
            for (_, name, call, outcome) in
                self.answers.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>()
            {
                self.fleet.report(&name, &call, outcome);
            }
        }
    }

    /// Reads the store's list as an instance that follows it, or pulls that of a peer.
    fn replicate(&mut self, name: &Name) {
        let now = self.fleet.now;
        let instance = &self.fleet.instances[name];
        let (own, heard) = instance.evacuations;
        let follows = own == Position::default() || instance.state.follow_rank(now).is_some();
        let stored = self.stored.filter(|it| follows && !instance.is_without_store && *it > own);
        if heard <= own {
            self.behind_since.retain(|it| it.0 != *name);
        } else if !self.behind_since.iter().any(|it| it.0 == *name) {
            self.behind_since.push((name.clone(), now));
        }
        let waits = if follows && own > Position::default() { MAX_LAG } else { Duration::ZERO };
        let may_pull = |it: &(Name, Instant)| it.0 == *name && now.since(it.1) >= waits;
        let pulled =
            self.behind_since.iter().any(may_pull) && now.0.is_multiple_of(POLL_MS * 1_000);
        let Some(position) = stored.or(Some(heard).filter(|_| pulled)) else { return };
        let (_, is_evacuated) = self.history.iter().find(|it| it.0 == position).expect("written");
        let names = is_evacuated.then(|| EVACUATED.into()).into_iter().collect();
        self.fleet.instances[name].evacuations.0 = position;
        self.fleet.post(name, Event::Evacuated(names));
    }

    fn send(&mut self) {
        self.requests += 1;
        let (number, size) = (self.requests, self.fleet.datacentres.len());
        let name = self.fleet.datacentres.keys()[number as usize % size].clone();
        let generates = number.is_multiple_of(2);
        let arrival = Arrival {
            id: Id(number),
            request_id: format!("request-{number}").into(),
            host: "board.example".into(),
            path: if generates { "/review/1" } else { "/lookup/1" }.into(),
            content: NameHash(number),
            key: Some("key-a".into()),
            // 28 of these fill an engine, and 41 are under way.
            tokens: generates.then_some(Tokens { prompt: 700, output: 20, expected: None }),
            prompt_parts: Vec::new(),
            max_wait: None,
            last_event: None,
            resumes: None,
            handed_over: None,
        };
        self.fleet.post(&name, Event::Arrival(arrival));
    }

    fn take_calls(&mut self, name: &Name) {
        let now = self.fleet.now;
        for call in std::mem::take(&mut self.fleet.instances[name].calls) {
            if &*call.endpoint.datacentre == EVACUATED {
                self.calls.push((now, name.clone()));
            }
            let (after_ms, outcome) = match call.step {
                Step::Hold { .. } => (20, Outcome::Held { hold: "h".into() }),
                Step::Prefill => (200, Outcome::Computed { handle: "kv".into(), tokens: 700 }),
                Step::Run { .. } if call.endpoint.stage.is_none() => {
                    (50, Outcome::Buffered { status: 200 })
                }
                Step::Run { .. } => {
                    let end = Outcome::Completed { events: 3, pause: Duration::ZERO, framed: true };
                    (600, end)
                }
                _ => continue,
            };
            self.answers.push((now + Duration::from_millis(after_ms), name.clone(), call, outcome));
        }
    }

    /// Returns the calls to the data centre after a time, without those of some instances.
    fn calls_after(&self, at: Instant, except: &[Name]) -> usize {
        self.calls.iter().filter(|(time, name)| *time > at && !except.contains(name)).count()
    }
}

/// Guards against calls of any step that reach an evacuated data centre later than the bound: with
/// requests that wait, have a slot reserved or a prompt computed there, from instances that start
/// meanwhile and from one that the store does not answer, while the store is up or goes down after
/// one instance has read the list. After the end of the evacuation its endpoints are used again.
#[rstest]
fn calls_end_in_time(#[values(6, 74)] size: usize, #[values(false, true)] goes_down: bool) {
    let mut drill = Drill::start(size);
    let names: Vec<Name> = drill.fleet.datacentres.keys().cloned().collect();
    drill.fleet.instances[&names[1]].is_without_store = true;
    drill.advance(2_000);
    assert!(drill.calls_after(Instant::default(), &[]) > 100, "the data centre is in use");
    let evacuated_at = drill.fleet.now;
    if goes_down {
        drill.lose_store(|state, now| state.follow_rank(now) == Some(0));
    }
    drill.write(Position::new(1, 2), true);
    drill.advance(20);
    if goes_down {
        drill.lose_store(|_, _| false);
    }
    drill.advance(1_000);
    drill.fleet.kill(&names[2]);
    drill.advance(1_000);
    drill.restart(&names[2]);
    drill.fleet.instances[&names[2]].is_without_store = goes_down;
    drill.advance(7_000);
    assert_eq!(drill.calls_after(evacuated_at + EVACUATION_LIMIT, &[]), 0);
    assert!(drill.fleet.instances[&names[2]].state.is_ready());
    let ended_at = drill.fleet.now;
    drill.write(Position::new(1, 3), false);
    drill.fleet.instances.values_mut().for_each(|it| it.is_without_store = false);
    drill.advance(5_000);
    assert!(drill.calls_after(ended_at, &[]) > 100, "the data centre is used again");
}

/// Guards against an evacuation that a restored store undoes before its list has been read, and against
/// one that outlasts it.
#[test]
fn store_restored() {
    let mut drill = Drill::start(6);
    drill.write(Position::new(1, 9), true);
    drill.advance(1_000);
    let restored_at = drill.fleet.now;
    drill.stored = None;
    drill.advance(3_000);
    assert_eq!(drill.calls_after(restored_at, &[]), 0);
    drill.write(Position::new(2, 4), false);
    let listed_at = drill.fleet.now;
    drill.advance(1_000);
    assert!(drill.calls_after(listed_at, &[]) > 10);
}
