//! Time-driven tasks of the state, and the time of the next one.

use std::time::Duration;

use siskinstile_core::error::{Failure, Kind};

use crate::{
    Effect, Instant,
    record::{self, Record},
    request,
};

use super::{
    State,
    admission::{DRAINING_RETRY, STREAM_ALLOWANCE},
};

/// Time between attempts to place queued requests.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between checks for peers without heartbeats.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the end of the grace period at which requests that are still open are failed, so that
/// their callers receive an error, or the end of a stream that has begun, before the process ends.
const STOP_MARGIN: Duration = Duration::from_millis(300);

impl State {
    /// Runs all time-driven tasks that are due.
    pub(super) fn run_due(&mut self, now: Instant) {
        if now.since(self.times.last_expiry) >= EXPIRY_INTERVAL {
            self.times.last_expiry = now;
            self.expire_peers(now);
            self.update_quarantine(now);
            self.update_groups(now);
            self.fleet.origins.expire(now);
            self.update_writer(now);
        }
        self.end_evacuations_wait(now);
        self.end_searches(now);
        self.probe_due(now);
        self.fail_late_handovers(now);
        self.fail_unresponsive(now);
        self.fail_timed_out(now);
        self.refuse_expired(now);
        self.hedge(now);
        self.prove_again(now);
        self.plan_orders(now);
        self.run_journal(now);
        self.refuse_waiting(now);
        self.stop(now);
    }

    /// Returns the time of the next due task, at which [`crate::Event::Tick`] should be posted.
    pub fn wake(&self) -> Instant {
        let call_deadlines = self.calls.values().filter_map(|it| it.deadline);
        let job_times = self.jobs.values();
        let job_times = job_times
            .flat_map(|it| [Some(it.deadline), it.hedge_at, it.prove_at, it.search_end()])
            .flatten();
        let times = call_deadlines.chain(job_times).chain(self.queue.next_deadline());
        let placement =
            (!self.queue.is_empty()).then(|| self.times.last_placement + PLACEMENT_INTERVAL);
        let heartbeat = (!self.stopped).then(|| self.heartbeat_due());
        let times = times.chain(self.evacuations.wait_end()).chain(self.report_due());
        let times = times.chain(self.reach.probes_due(self.oldest_call()));
        let times = times.chain(self.handovers.next_deadline());
        let journal = (!self.stopped).then(|| self.journal_due()).flatten();
        let times = times.chain(placement).chain(self.drain_end()).chain(heartbeat).chain(journal);
        times.min().unwrap_or(Instant(u64::MAX))
    }

    /// Returns when a drain ends although requests are open; `None` if there is none or it has ended.
    fn drain_end(&self) -> Option<Instant> {
        let drain_start = self.times.drain_start.filter(|_| !self.stopped)?;
        Some(drain_start + self.settings.grace.saturating_sub(STOP_MARGIN))
    }

    /// Returns the time of a drain from which on a stream that begins may be cut by the end of the process.
    fn last_begin(&self) -> Option<Instant> {
        let drain_start = self.times.drain_start.filter(|_| !self.stopped)?;
        Some(drain_start + self.settings.grace.saturating_sub(STREAM_ALLOWANCE))
    }

    /// Refuses requests that still wait for their first place so late in a drain that they could be cut.
    fn refuse_waiting(&mut self, now: Instant) {
        if self.last_begin().is_none_or(|it| now < it) {
            return;
        }
        let waiting = self.queue.iter().map(|it| it.request);
        let waiting = waiting.filter(|it| self.jobs.get(it).is_some_and(|it| it.sends == 0));
        for id in waiting.collect::<Vec<_>>() {
            let failure = Failure::not_run(Kind::Draining).with_retry_after(DRAINING_RETRY);
            self.fail(now, id, failure, "the instance stops");
        }
    }

    /// Ends a drain once no request is open; close to the end of the grace period, those that still
    /// are open fail.
    fn stop(&mut self, now: Instant) {
        let Some(drain_start) = self.times.drain_start else { return };
        let is_over = self.drain_end().is_some_and(|it| it <= now);
        if is_over {
            self.fail_open(now);
        }
        let has_open = !self.jobs.is_empty() || !self.handovers.is_empty();
        let is_idle = now.since(drain_start) >= self.settings.drain && !has_open;
        if (is_idle || is_over) && !self.stopped {
            self.stopped = true;
            self.times.heartbeat_number += 1;
            let heartbeat = self.make_heartbeat(now, Instant::default(), true);
            let recipients = self.leave_recipients();
            self.emit(Effect::Heartbeat { heartbeat: heartbeat.into(), recipients });
            self.log(Record::new(record::STOPPED));
            self.emit(Effect::Stopped);
        }
    }

    /// Fails all open requests at the end of a drain.
    fn fail_open(&mut self, now: Instant) {
        let open: Vec<request::Id> = self.jobs.keys().copied().collect();
        for id in open {
            let failure = Failure::not_run(Kind::Draining).with_retry_after(DRAINING_RETRY);
            self.fail(now, id, failure, "the instance stops");
        }
        for id in self.handovers.ids().collect::<Vec<_>>() {
            self.abort_handover(now, id, "the instance stops");
        }
    }
}
