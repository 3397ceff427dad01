//! The choice of all endpoints of one waiting job.

use super::{
    Job, Scheduler, baseline,
    score::{self, Blocked},
};
use crate::{
    Instant,
    object::{Name, Pool, Urgency},
    request::Id,
};

/// Endpoints for a job.
pub(super) struct Plan {
    pub(super) prefill: Option<score::Prefill>,
    pub(super) run: Name,
    pub(super) reason: String,
}

impl Scheduler {
    pub(super) fn plan(&self, now: Instant, request: Id) -> Result<Plan, Blocked> {
        let (Some(job), Some(pool)) = (self.jobs.get(&request), &self.pool) else {
            return Err(Blocked::Full);
        };
        match pool.policy.reserves() {
            true => match self.reserve_plan(now, pool, job, false) {
                Err(blocked) if self.has_remote_runs() => {
                    self.reserve_plan(now, pool, job, true).map_err(|_| blocked)
                }
                local => local,
            },
            false => self.baseline_plan(pool, job),
        }
    }

    fn has_remote_runs(&self) -> bool {
        self.runs.values().any(|it| !it.local)
    }

    /// Finds a prefill endpoint with a free link slot and a decode endpoint with a free slot and
    /// memory; in a pool without prefill endpoints, a plain endpoint with a free slot.
    fn reserve_plan(
        &self,
        now: Instant,
        pool: &Pool,
        job: &Job,
        allow_remote: bool,
    ) -> Result<Plan, Blocked> {
        if self.prefills.is_empty() {
            let run = score::run(now, self.runs.values(), job, allow_remote)?;
            let reason =
                format!("{} with {} running, of {} with room", run.name, run.used, run.candidates);
            return Ok(Plan { prefill: None, run: run.name, reason });
        }
        let cache = (&self.cache, self.next_index);
        let prefill = score::prefill(now, pool, self.prefills.values(), cache, job, allow_remote)?;
        if job.urgency == Urgency::Urgent && score::misses_target(job, prefill.ready) {
            return Err(Blocked::Late);
        }
        let run = score::run(now, self.runs.values(), job, allow_remote)?;
        let reason = format!(
            "{} of {} prefill, {} tokens to compute, at hand in {} ms; {} with {} running, of {} with room",
            prefill.name,
            prefill.candidates,
            prefill.tokens,
            prefill.ready.since(now).as_millis(),
            run.name,
            run.used,
            run.candidates,
        );
        Ok(Plan { run: run.name.clone(), prefill: Some(prefill), reason })
    }

    fn baseline_plan(&self, pool: &Pool, job: &Job) -> Result<Plan, Blocked> {
        let run = baseline::choose(pool.policy, self.runs.values(), job, self.rotation, false);
        let run = run.ok_or(Blocked::Full)?;
        let reason = format!("{:?}", pool.policy);
        if self.prefills.is_empty() {
            return Ok(Plan { prefill: None, run, reason });
        }
        let name = baseline::choose(pool.policy, self.prefills.values(), job, self.rotation, true);
        let name = name.ok_or(Blocked::Full)?;
        let now = self.now;
        let prefill = score::Prefill {
            name,
            tokens: job.prompt_tokens,
            start: now,
            ready: now,
            candidates: 0,
        };
        Ok(Plan { prefill: Some(prefill), run, reason })
    }
}
