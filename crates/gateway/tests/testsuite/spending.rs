//! What a team spends at a fleet with relays while instances restart and data centres are cut off.

use std::time::Duration;

use rstest::rstest;
use siskinstile_gateway::{Event, Name, call::Outcome, quota::Tolerance};

use crate::simulation::{Fleet, OUTPUT};

/// Rate of the team, in tokens a second; its burst is as large.
const RATE: u64 = 60_000;
/// Length of the window that limits what a team spends.
const WINDOW_MS: u64 = 8_000;
/// Fraction beyond rate and burst that operators tolerate.
const OVERSHOOT: f64 = 0.1;
/// Tokens that operators tolerate beyond that.
const SLACK: u64 = 60_000;
/// Cost of a request, in tokens.
const COST: u64 = 1_000;
/// Time between two requests of the team, at four times its rate.
const FAST_MS: u64 = 4;
/// The same at half of its rate.
const SLOW_MS: u64 = 33;
/// Time between the restarts of two instances.
const RESTART_GAP_MS: u64 = 333;
/// Time from the stop of an instance to its next start.
const RESTART_MS: u64 = 300;
/// Time step of the test.
const STEP_MS: u64 = 1;
/// Time of the first restart, and of the first spending.
const START_MS: u64 = 8_000;

/// A team that sends as fast as it may.
struct Spender {
    fleet: Fleet,
    now_ms: u64,
    requests: u64,
    /// Time and tokens of each admitted request.
    admitted: Vec<(u64, u64)>,
    /// Instances to be stopped, with the time.
    to_stop: Vec<(u64, Name)>,
    /// Instances to be started, with the time.
    to_start: Vec<(u64, Name)>,
}

impl Spender {
    fn new() -> Spender {
        let window = Duration::from_millis(WINDOW_MS);
        let tolerance = Tolerance { overshoot: OVERSHOOT, slack: SLACK as f64, window };
        let mut fleet = Fleet::start_tolerant(85, tolerance);
        fleet.advance(START_MS);
        Spender {
            fleet,
            now_ms: START_MS,
            requests: 0,
            admitted: Vec::new(),
            to_stop: Vec::new(),
            to_start: Vec::new(),
        }
    }

    /// Schedules the restarts of all instances, one after the other.
    fn restart_all(&mut self) {
        let names = self.fleet.datacentres.keys().cloned();
        let times = (self.now_ms..).step_by(RESTART_GAP_MS as usize);
        self.to_stop = times.zip(names).collect();
    }

    /// Lets the team send a request to one instance after the other.
    fn spend(&mut self, for_ms: u64, interval_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.fleet.advance(STEP_MS);
            self.now_ms += STEP_MS;
            self.restart_due();
            if self.now_ms.is_multiple_of(interval_ms) {
                self.send();
            }
        }
    }

    fn restart_due(&mut self) {
        let now_ms = self.now_ms;
        for (_, name) in self.to_stop.extract_if(.., |it| it.0 <= now_ms) {
            self.fleet.post(&name, Event::Drain);
        }
        let stopped = self.fleet.instances.iter().filter(|(_, it)| !it.is_alive);
        let stopped = stopped.map(|(name, _)| name.clone());
        for name in stopped.collect::<Vec<_>>() {
            if !self.to_start.iter().any(|it| it.1 == name) {
                self.to_start.push((now_ms + RESTART_MS, name));
            }
        }
        for (_, name) in self.to_start.extract_if(.., |it| it.0 <= now_ms).collect::<Vec<_>>() {
            self.fleet.start_instance(&name, 2);
        }
    }

    fn send(&mut self) {
        self.requests += 1;
        let ready =
            self.fleet.instances.iter().filter(|(_, it)| it.is_alive && it.state.is_ready());
        let ready: Vec<Name> = ready.map(|(name, _)| name.clone()).collect();
        let name = &ready[self.requests as usize * 31 % ready.len()];
        let run = self.fleet.run_prompt(name, self.requests, &[], COST - OUTPUT);
        if let Some(run) = run {
            let end = Outcome::Completed { events: 12, pause: Duration::ZERO, framed: true };
            self.fleet.end_run(name, &run, end);
            self.admitted.push((self.now_ms, COST));
        }
    }

    /// Returns the most tokens admitted in a window, and its end.
    fn most_in_window(&self) -> (u64, u64) {
        let in_window = |end_ms: u64| {
            let admitted = self.admitted.iter();
            let admitted = admitted.filter(|it| it.0 <= end_ms && it.0 + WINDOW_MS > end_ms);
            admitted.map(|it| it.1).sum::<u64>()
        };
        self.admitted.iter().map(|it| (in_window(it.0), it.0)).max().unwrap_or_default()
    }
}

/// Guards against a team that spends more than its rate, burst and the tolerance in a window, since
/// spending of restarted or cut off instances is taken for that of an earlier time.
#[rstest]
#[case::calm(false, false)]
#[case::restarts(true, false)]
#[case::cut(false, true)]
#[case::restarts_and_cut(true, true)]
fn spending_bounded(#[case] restarts: bool, #[case] cut: bool) {
    let mut spender = Spender::new();
    if restarts {
        spender.restart_all();
    }
    spender.spend(9_000, SLOW_MS);
    if cut {
        spender.fleet.cut = Some("dc-1".into());
    }
    spender.spend(3_200, SLOW_MS);
    spender.spend(2_300, FAST_MS);
    spender.fleet.cut = None;
    spender.spend(8_000, FAST_MS);
    let (most, end_ms) = spender.most_in_window();
    let granted = (RATE * WINDOW_MS / 1_000 + RATE) as f64 * (1.0 + OVERSHOOT) + SLACK as f64;
    assert!(most as f64 <= granted, "{most} in the window to {end_ms} ms, {granted} granted");
}
