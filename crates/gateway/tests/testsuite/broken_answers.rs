//! Endpoints whose health is good and whose every answer is broken, beside sound ones.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rstest::rstest;
use siskinstile_gateway::{
    Directory, Effect, Event, Instant, Name,
    call::{self, Outcome},
    effect::Call,
};

use crate::site::{Site, failed, plain_endpoint};

/// Callers that send their next request once the one before has ended; more than the sound endpoint runs at once.
const CALLERS: usize = 24;
/// Requests that an endpoint runs at once, and the time of each.
const SLOTS: usize = 6;
const RUN_TIME: Duration = Duration::from_millis(130);
/// Time that is played.
const PLAYED_MS: u64 = 10_000;
const STEP_MS: u64 = 5;
/// Share of requests that must be served, of those that are not refused as not run.
const MIN_SHARE: f64 = 0.95;

/// Callers before plain endpoints, some of which break each answer.
struct Play {
    site: Site,
    broken: Vec<Name>,
    /// Time after which an answer breaks.
    breaks_after: Duration,
    free_at: BTreeMap<Name, Vec<Instant>>,
    due: BTreeMap<(Instant, call::Id), Outcome>,
    open: usize,
    served: usize,
    failed: usize,
    received: BTreeMap<Name, usize>,
}

impl Play {
    fn start(sound: usize, broken: usize, breaks_after: Duration) -> Play {
        let mut site = Site::configured();
        let name = |number: usize| Name::from(format!("r{number}"));
        let all = (0..sound + broken).map(|it| plain_endpoint(&name(it), "north"));
        site.post(Event::EndpointsListed(Arc::new(Directory::new(all))));
        site.effects.clear();
        Play {
            site,
            broken: (sound..sound + broken).map(name).collect(),
            breaks_after,
            free_at: BTreeMap::new(),
            due: BTreeMap::new(),
            open: 0,
            served: 0,
            failed: 0,
            received: BTreeMap::new(),
        }
    }

    fn run(&mut self, prefix: &str) {
        for _ in (0..PLAYED_MS).step_by(STEP_MS as usize) {
            for _ in self.open..CALLERS {
                self.open += 1;
                self.site.send(prefix);
            }
            self.site.advance(STEP_MS);
            self.answer();
            self.follow();
        }
    }

    /// Reports the calls that have ended.
    fn answer(&mut self) {
        while let Some(((at, id), outcome)) = self.due.pop_first() {
            if at > self.site.now {
                self.due.insert((at, id), outcome);
                return;
            }
            self.site.report(id, outcome);
            self.follow();
        }
    }

    /// Carries out what the gateway has decided.
    fn follow(&mut self) {
        for effect in std::mem::take(&mut self.site.effects) {
            match effect {
                Effect::Call(call) => self.accept(&call),
                Effect::Relay { .. } => (self.open, self.served) = (self.open - 1, self.served + 1),
                Effect::Fail { failure, .. } => {
                    self.open -= 1;
                    self.failed += usize::from(!matches!(failure.kind.row().status, 429 | 503));
                }
                _ => {}
            }
        }
    }

    fn accept(&mut self, call: &Call) {
        let (now, id) = (self.site.now, call.endpoint.id.clone());
        *self.received.entry(id.clone()).or_default() += 1;
        if self.broken.contains(&id) {
            self.due.insert((now + self.breaks_after, call.id), failed(true));
            return;
        }
        let slots = self.free_at.entry(id).or_insert_with(|| vec![now; SLOTS]);
        let free = slots.iter_mut().min().expect("slots");
        *free = now.max(*free) + RUN_TIME;
        self.due.insert((*free, call.id), Outcome::Buffered { status: 200 });
    }

    fn share(&self) -> f64 {
        self.served as f64 / (self.served + self.failed).max(1) as f64
    }
}

/// Guards against an endpoint that fails at once, has the fewest requests for that reason, and is given most of
/// them.
#[rstest]
#[case::one_of_two(1, 1, 1)]
#[case::one_of_two_late(1, 1, 300)]
#[case::one_of_four(3, 1, 1)]
#[case::two_of_four(2, 2, 1)]
fn sound_endpoint_chosen(#[case] sound: usize, #[case] broken: usize, #[case] breaks_after: u64) {
    let mut play = Play::start(sound, broken, Duration::from_millis(breaks_after));
    play.run("/issue/");
    assert!(play.share() >= MIN_SHARE, "{} of {}", play.served, play.served + play.failed);
    let tried = play.broken.iter().all(|it| play.received.get(it).is_some_and(|it| *it > 1));
    assert!(tried, "it is tried again: {:?}", play.received);
}

/// Guards against ejecting all: where every endpoint breaks its answers, the cause may be another one, and all
/// are used; once they answer, all of them serve again.
#[test]
fn all_broken_used() {
    let mut play = Play::start(0, 4, Duration::from_millis(1));
    play.run("/issue/");
    let received = play.received.clone();
    assert!(received.len() == 4 && received.values().all(|it| *it > 100), "{received:?}");
    play.broken.clear();
    play.received.clear();
    let failed = play.failed;
    play.run("/issue/");
    assert!(play.failed - failed <= CALLERS, "{}", play.failed - failed);
    let received = play.received.clone();
    assert!(received.len() == 4 && received.values().all(|it| *it > 100), "{received:?}");
}
