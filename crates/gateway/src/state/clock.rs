//! Time-driven tasks of the state, and the time of the next one.

use std::time::Duration;

use crate::{
    Effect, Instant,
    record::{self, Record},
};

use super::State;

/// Time between attempts to place queued requests.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between checks for peers without heartbeats.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

impl State {
    /// Runs all time-driven tasks that are due.
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

    /// Returns the time of the next due task, at which [`crate::Event::Tick`] should be posted.
    pub fn wake(&self) -> Instant {
        let call_deadlines = self.calls.values().filter_map(|it| it.deadline);
        let job_times =
            self.jobs.values().flat_map(|it| [Some(it.deadline), it.hedge_at]).flatten();
        let times = call_deadlines.chain(job_times).chain(self.queue.next_deadline());
        let placement =
            (!self.queue.is_empty()).then(|| self.times.last_placement + PLACEMENT_INTERVAL);
        times.chain(placement).chain([self.heartbeat_due()]).min().unwrap_or_default()
    }

    fn stop_when_idle(&mut self, now: Instant) {
        let Some(drain_start) = self.times.drain_start else { return };
        let is_over = now.since(drain_start) >= self.settings.drain && self.jobs.is_empty();
        if is_over && !self.stopped {
            self.stopped = true;
            self.times.heartbeat_number += 1;
            let heartbeat = self.make_heartbeat(now, Instant::default(), true);
            let recipients = self.leave_recipients();
            self.emit(Effect::Heartbeat { heartbeat, recipients });
            self.log(Record::new(record::STOPPED));
            self.emit(Effect::Stopped);
        }
    }
}
