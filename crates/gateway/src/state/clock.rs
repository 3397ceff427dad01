//! What is done as time passes, and when the state is to be woken.

use std::time::Duration;

use crate::{
    Effect, Instant,
    record::{self, Record},
};

use super::State;

/// Time between two tries to place requests that wait.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at silent peers.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

impl State {
    /// Does what is due at this moment.
    pub(super) fn run_due(&mut self, now: Instant) {
        if now.since(self.times.last_expiry) >= EXPIRY_INTERVAL {
            self.times.last_expiry = now;
            self.expire_peers(now);
        }
        self.fail_unresponsive(now);
        self.fail_timed_out(now);
        self.refuse_expired(now);
        self.hedge(now);
        self.plan_orders(now);
        self.stop_when_idle(now);
    }

    /// Returns the next moment at which something is due.
    pub fn wake(&self) -> Instant {
        let limits = self.calls.values().filter_map(|it| it.limit);
        let job = self.jobs.values().flat_map(|it| [Some(it.deadline), it.hedge_at]).flatten();
        let times = limits.chain(job).chain(self.queue.next_deadline());
        let place =
            (!self.queue.is_empty()).then(|| self.times.last_placement + PLACEMENT_INTERVAL);
        times.chain(place).chain([self.heartbeat_due()]).min().unwrap_or_default()
    }

    fn stop_when_idle(&mut self, now: Instant) {
        let Some(since) = self.times.drain_start else { return };
        let over = now.since(since) >= self.settings.drain && self.jobs.is_empty();
        if over && !self.stopped {
            self.stopped = true;
            self.times.heartbeat_number += 1;
            let heartbeat = self.make_heartbeat(Instant::default(), true);
            self.emit(Effect::Heartbeat { heartbeat, to_remote: true });
            self.log(Record::new(record::STOPPED));
            self.emit(Effect::Stopped);
        }
    }
}
