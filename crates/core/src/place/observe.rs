//! What the dispatcher learns from the steps of placed requests.

use std::time::Duration;

use super::{Scheduler, scheduler::Stage};
use crate::{
    Instant,
    object::Name,
    request::{Id, Outcome},
};

/// Time by which a transfer may be longer than usual.
const TRANSFER_SLACK: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Takes notice of what became of a step.
    pub(super) fn observe(&mut self, now: Instant, request: Id, outcome: &Outcome) {
        self.now = now;
        let Some(grant) = self.grants.get_mut(&request) else { return };
        let prefill = grant.prefill.as_ref().and_then(|it| self.prefills.get_mut(it));
        let run = self.runs.get_mut(&grant.run);
        match (outcome, grant.stage) {
            (Outcome::Computed { cached, .. }, Stage::Prefill) => {
                grant.stage = Stage::Import { begun: now, overdue: false };
                let Some(record) = prefill else { return };
                record.computed(now, request, grant.job.prompt_tokens.saturating_sub(*cached));
                self.changed = true;
            }
            (Outcome::Imported, _) => {
                grant.stage = Stage::Run { begun: now, first: None };
                let Some(record) = prefill else { return };
                record.transferred(true);
                record.used = record.used.saturating_sub(1);
                record.health.succeeded(record.endpoint.slots);
                run.into_iter().for_each(|it| it.transferred(true));
                record.transfers.retain(|it| it.0 != request);
                self.changed = true;
            }
            (Outcome::FirstByte, Stage::Run { begun, .. }) => {
                grant.stage = Stage::Run { begun, first: Some(now) };
                let Some(record) = run else { return };
                record.health.step(now.since(begun).as_micros() as f64);
                record.health.succeeded(record.endpoint.slots);
            }
            (Outcome::Completed { tokens, .. }, Stage::Run { first, .. }) => {
                if let (Some(record), Some(first)) = (run, first)
                    && *tokens > 1
                {
                    let us = now.since(first).as_micros() as f64;
                    record.health.step(us / (*tokens - 1) as f64);
                }
                let job = &grant.job;
                self.learn.ended(&job.route, &job.team, *tokens);
                let above = *tokens as i64 - grant.expected as i64;
                self.queue.correct(&job.team, job.weight, above);
            }
            (Outcome::Failed { .. }, Stage::Prefill) => {
                let name = grant.prefill.clone();
                name.into_iter().for_each(|it| self.fail(now, &it));
            }
            (Outcome::Failed { .. }, Stage::Import { overdue: false, .. }) => {
                self.transfer_failed(now, request);
            }
            (Outcome::Failed { .. }, Stage::Run { .. }) => {
                let name = grant.run.clone();
                self.fail(now, &name);
            }
            _ => {}
        }
    }

    /// Lets one end of a failed transfer rest: the one with which fewer have succeeded of late.
    fn transfer_failed(&mut self, now: Instant, request: Id) {
        let Some(grant) = self.grants.get(&request) else { return };
        let (Some(source), run) = (grant.prefill.clone(), grant.run.clone()) else { return };
        let ends = (self.prefills.get_mut(&source), self.runs.get_mut(&run));
        let (Some(prefill), Some(decode)) = ends else { return };
        prefill.transferred(false);
        decode.transferred(false);
        let guilty = if prefill.transferred <= decode.transferred { source } else { run };
        self.fail(now, &guilty);
    }

    /// Takes notice of transfers that take far longer than they should, before they break.
    pub(super) fn find_overdue(&mut self, now: Instant) {
        let Some(pool) = self.pool.clone() else { return };
        let mut found = Vec::new();
        for (id, grant) in &mut self.grants {
            let Stage::Import { begun, overdue } = &mut grant.stage else { continue };
            let usual = Duration::from_micros(grant.job.prompt_tokens * pool.transfer_ms);
            if !*overdue && now.since(*begun) > usual + TRANSFER_SLACK {
                *overdue = true;
                found.push(*id);
            }
        }
        for id in found {
            self.transfer_failed(now, id);
        }
    }

    /// Lets a failing endpoint rest, unless half of its role rest already.
    fn fail(&mut self, now: Instant, name: &Name) {
        for records in [&mut self.prefills, &mut self.runs] {
            let resting = records.values().filter(|it| it.health.rests(now)).count();
            let may_rest = (resting + 1) * 2 <= records.len();
            if let Some(record) = records.get_mut(name) {
                record.health.failed(now, may_rest);
            }
        }
    }
}
