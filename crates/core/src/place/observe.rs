//! Updates of the scheduler from the outcomes of the steps of placed requests.

use std::time::Duration;

use super::{Scheduler, scheduler::Stage};
use crate::{
    Instant,
    object::Name,
    request::{Id, Outcome},
};

/// Time beyond the expected one after which a transfer is overdue.
const TRANSFER_SLACK: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Records the outcome of a step.
    pub(super) fn observe(&mut self, now: Instant, request: Id, outcome: &Outcome) {
        self.now = now;
        let Some(reservation) = self.reservations.get_mut(&request) else { return };
        let prefill = reservation.prefill.as_ref().and_then(|it| self.prefills.get_mut(it));
        let run = self.runs.get_mut(&reservation.run);
        match (outcome, reservation.stage) {
            (Outcome::Computed { cached, .. }, Stage::Prefill) => {
                reservation.stage = Stage::Import { started: now, overdue: false };
                let Some(record) = prefill else { return };
                record.finish_prefill(
                    now,
                    request,
                    reservation.job.prompt_tokens.saturating_sub(*cached),
                );
                self.dirty = true;
            }
            (Outcome::Imported, _) => {
                reservation.stage = Stage::Run { started: now, first_token: None };
                let Some(record) = prefill else { return };
                record.record_transfer(true);
                record.used = record.used.saturating_sub(1);
                record.health.record_success(record.endpoint.slots);
                run.into_iter().for_each(|it| it.record_transfer(true));
                record.transfers.retain(|it| it.0 != request);
                self.dirty = true;
            }
            (Outcome::FirstByte, Stage::Run { started, .. }) => {
                reservation.stage = Stage::Run { started, first_token: Some(now) };
                let Some(record) = run else { return };
                record.health.record_step(now.since(started).as_micros() as f64);
                record.health.record_success(record.endpoint.slots);
            }
            (Outcome::Completed { tokens, .. }, Stage::Run { first_token, .. }) => {
                if let (Some(record), Some(first_token)) = (run, first_token)
                    && *tokens > 1
                {
                    let us = now.since(first_token).as_micros() as f64;
                    record.health.record_step(us / (*tokens - 1) as f64);
                }
                let job = &reservation.job;
                self.estimates.record_output(&job.route, &job.team, *tokens);
                let excess = *tokens as i64 - reservation.expected as i64;
                self.queue.correct(&job.team, job.weight, excess);
            }
            (Outcome::Failed { .. }, Stage::Prefill) => {
                let name = reservation.prefill.clone();
                name.into_iter().for_each(|it| self.eject(now, &it));
            }
            (Outcome::Failed { .. }, Stage::Import { overdue: false, .. }) => {
                self.record_transfer_failure(now, request);
            }
            (Outcome::Failed { .. }, Stage::Run { .. }) => {
                let name = reservation.run.clone();
                self.eject(now, &name);
            }
            _ => {}
        }
    }

    /// Ejects one of the two endpoints of a failed transfer: the one whose recent transfers failed
    /// more often.
    fn record_transfer_failure(&mut self, now: Instant, request: Id) {
        let Some(entry) = self.reservations.get(&request) else { return };
        let (Some(source), run) = (entry.prefill.clone(), entry.run.clone()) else { return };
        let ends = (self.prefills.get_mut(&source), self.runs.get_mut(&run));
        let (Some(prefill), Some(decode)) = ends else { return };
        prefill.record_transfer(false);
        decode.record_transfer(false);
        let suspect =
            if prefill.transfer_success <= decode.transfer_success { source } else { run };
        self.eject(now, &suspect);
    }

    /// Treats overdue transfers as failed before the endpoints report a failure.
    pub(super) fn detect_overdue_transfers(&mut self, now: Instant) {
        let Some(pool) = self.pool.clone() else { return };
        let mut found = Vec::new();
        for (id, reservation) in &mut self.reservations {
            let Stage::Import { started, overdue } = &mut reservation.stage else { continue };
            let expected = Duration::from_micros(reservation.job.prompt_tokens * pool.transfer_ms);
            if !*overdue && now.since(*started) > expected + TRANSFER_SLACK {
                *overdue = true;
                found.push(*id);
            }
        }
        for id in found {
            self.record_transfer_failure(now, id);
        }
    }

    /// Ejects a failing endpoint, unless more than half of the endpoints of its role would be
    /// ejected then.
    fn eject(&mut self, now: Instant, name: &Name) {
        for records in [&mut self.prefills, &mut self.runs] {
            let ejected = records.values().filter(|it| it.health.is_ejected(now)).count();
            let may_eject = (ejected + 1) * 2 <= records.len();
            if let Some(record) = records.get_mut(name) {
                record.health.record_failure(now, may_eject);
            }
        }
    }
}
