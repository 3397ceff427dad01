//! Places for streams at other engines, reserved while their run is silent.
//!
//! The silent engine may live, so that its run goes on until another engine has granted a place.

use std::time::Duration;

use crate::{
    Effect, Instant, Name,
    call::{self, Outcome, Step},
    engine::{Placement, expected_memory},
    health::Signal,
    load::Load,
    request,
};

use super::{
    State,
    engine::SHORT_CALL_TIMEOUT,
    job::{Backup, Job, Kind, OpenCall, Plan, Slot},
};

/// Time after which another engine is asked again.
const SILENCE_INTERVAL: Duration = Duration::from_millis(200);

impl State {
    /// Returns whether a call is a run, which goes on although it is silent; asks another engine for a place if the
    /// route and the retry budget allow a move there.
    pub(super) fn awaits_run(&mut self, now: Instant, id: call::Id) -> bool {
        let Some(OpenCall { kind: Kind::Run, request: Some(request), endpoint, .. }) =
            self.calls.get(&id).cloned()
        else {
            return false;
        };
        if let Some(open) = self.calls.get_mut(&id) {
            open.deadline = Some(now + SILENCE_INTERVAL);
        }
        self.fleet.health.record(now, &endpoint.id, Signal::Unresponsive);
        let placement =
            self.jobs.get(&request).and_then(|it| self.backup_place(now, it, &endpoint.id));
        if let Some(placement) = placement
            && (self.jobs[&request].has_retry || self.take_retry(now, request))
        {
            self.reserve_backup(now, request, id, placement);
        }
        true
    }

    fn backup_place(&self, now: Instant, job: &Job, silent: &Name) -> Option<Placement> {
        let may_ask = job.may_send() && job.backup.is_none();
        let tokens = job.tokens.filter(|_| may_ask)?;
        let barred: Vec<Name> = self.barred(job).into_iter().chain([silent.clone()]).collect();
        self.with_view(now, job, |view| view.place(tokens, &barred))
    }

    fn reserve_backup(
        &mut self,
        now: Instant,
        id: request::Id,
        run: call::Id,
        placement: Placement,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (Some(tokens), Some(engine)) = (job.tokens, job.service.engine.clone()) else {
            return;
        };
        let tokens = expected_memory(tokens);
        let load = Load { requests: 1, memory_tokens: tokens, prompt_tokens: 0 };
        let Placement { decode: endpoint, prefill, .. } = placement;
        let slot = Slot { endpoint: endpoint.clone(), load, reserved_at: now, hold: None };
        job.has_retry = true;
        job.backup = Some(Backup { call: call::Id(self.next_call), run, slot, prefill });
        self.fleet.loads.add(&endpoint.id, load);
        let plan = Plan {
            endpoint,
            step: Step::Hold { tokens, ttl: engine.hold_limit },
            timeout: Some(SHORT_CALL_TIMEOUT),
            load: Load::default(),
        };
        self.call(now, id, plan);
    }

    /// Handles the end of a reservation; returns false if it is not that of a backup.
    pub(super) fn end_backup(
        &mut self,
        now: Instant,
        id: request::Id,
        call: call::Id,
        outcome: &Outcome,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let Some(backup) = job.backup.take_if(|it| it.call == call) else { return false };
        // Once an event has arrived, the run has no deadline.
        let is_silent = self.calls.get(&backup.run).is_some_and(|it| it.deadline.is_some());
        match outcome {
            Outcome::Held { hold } if is_silent => self.move_run(now, id, backup, hold.clone()),
            outcome => {
                self.fleet.loads.remove(&backup.slot.endpoint.id, backup.slot.load);
                if let Outcome::Held { hold } = outcome {
                    let step = Step::Release { hold: hold.clone() };
                    self.call_detached(now, backup.slot.endpoint, step);
                }
            }
        }
        true
    }

    /// Gives up a silent run for a place at another engine.
    fn move_run(&mut self, now: Instant, id: request::Id, backup: Backup, hold: Name) {
        self.emit(Effect::Cancel(backup.run));
        let silent = self.close_call(backup.run).map(|it| it.endpoint.id.clone());
        self.record_wasted_prompt(now, id, "run broke off");
        let Some(mut job) = self.jobs.swap_remove(&id) else { return };
        self.release_slot(now, &mut job);
        self.free_prompt(now, &mut job);
        job.excluded.extend(silent);
        job.may_have_run = true;
        job.has_retry = false;
        job.prefill = backup.prefill;
        job.slot = Some(backup.slot);
        self.jobs.insert(id, job);
        self.hold_granted(now, id, hold);
    }

    /// Drops the backup of a request that has ended; its reservation is released once its name is known.
    pub(super) fn drop_backup(&mut self, job: &mut Job) {
        if let Some(backup) = job.backup.take() {
            self.fleet.loads.remove(&backup.slot.endpoint.id, backup.slot.load);
        }
    }
}
