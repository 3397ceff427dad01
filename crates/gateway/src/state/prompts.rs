//! Prompts: where they are computed, those that take longer than expected, and those that were computed in
//! vain.
//!
//! An engine that several instances have chosen at once needs a multiple of the expected time. To give
//! such a prompt up means that the decode engine computes it once more, so the engine is asked first
//! whether it is alive.

use std::{sync::Arc, time::Duration};

use siskinstile_macros::value;

use crate::{Instant, call, call::Outcome, directory::Endpoint, load::Load, record, request};

use super::{
    State,
    job::{Job, Kind, OpenCall, Plan},
};

/// Time limit for the report of an engine whose prompt is overdue.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an engine is asked again; reports are some hundred milliseconds old, so that the
/// second one shows what happened to the prompt.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time before the end of the reservation at the decode engine at which the run has to be sent.
const RUN_MARGIN: Duration = Duration::from_millis(200);
/// Number of reports in a row that show no work before a prompt counts as lost.
const MAX_IDLE_REPORTS: u32 = 2;

/// What is known of a prompt that takes longer than expected.
#[value(default)]
pub(super) struct Check {
    /// The call for the engine's report, while it is open.
    call: Option<call::Id>,
    /// Number of reports in a row that showed no work at the engine.
    idle_reports: u32,
}

impl State {
    /// Asks the engine for a report if the call is a prompt that is overdue for the first time since
    /// the last report; returns false if the call has to be given up.
    pub(super) fn check_prompt(&mut self, now: Instant, id: call::Id) -> bool {
        let Some(OpenCall { kind: Kind::Prefill, request: Some(request), endpoint, .. }) =
            self.calls.get(&id).cloned()
        else {
            return false;
        };
        let Some(job) = self.jobs.get(&request) else { return false };
        let has_time = job.prompt_deadline().is_some_and(|it| now + CHECK_TIMEOUT < it);
        if job.check.call.is_some() || !has_time || self.is_evacuated(&endpoint) {
            return false;
        }
        let check = call::Id(self.next_call);
        let plan = Plan {
            endpoint,
            step: call::Step::Inspect,
            timeout: Some(CHECK_TIMEOUT),
            load: Load::default(),
        };
        self.call(now, request, plan);
        if let Some(job) = self.jobs.get_mut(&request) {
            job.check.call = Some(check);
        }
        if let Some(open) = self.calls.get_mut(&id) {
            open.deadline = None;
        }
        true
    }

    /// Handles the end of a check: the prompt goes on if its engine is alive and has not lost it.
    pub(super) fn prompt_checked(&mut self, now: Instant, id: request::Id, outcome: &Outcome) {
        let Some(job) = self.jobs.get(&id) else { return };
        let calls = job.calls.iter().copied();
        let mut prompts =
            calls.filter(|it| self.calls.get(it).is_some_and(|open| open.kind == Kind::Prefill));
        let Some(prompt) = prompts.next() else { return };
        let own = job.tokens.map_or(0, |it| it.prompt);
        let others = self.other_prompt_tokens(&self.calls[&prompt].endpoint, own);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.check.call = None;
        job.check.idle_reports = match outcome {
            Outcome::Inspected { requests: 0, .. } if others == 0 => job.check.idle_reports + 1,
            Outcome::Inspected { .. } => 0,
            _ => MAX_IDLE_REPORTS,
        };
        let is_lost = job.check.idle_reports >= MAX_IDLE_REPORTS;
        let next_check = now + CHECK_INTERVAL;
        let deadline = job.prompt_deadline().map_or(next_check, |it| it.min(next_check));
        match is_lost {
            true => self.fail_silent(now, prompt),
            false => {
                if let Some(open) = self.calls.get_mut(&prompt) {
                    open.deadline = Some(deadline);
                }
            }
        }
    }

    /// Chooses another prefill engine if the data centre of the chosen one has been evacuated since.
    pub(super) fn replace_evacuated_prefill(
        &mut self,
        now: Instant,
        id: request::Id,
        datacentre: &str,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let is_evacuated = job.prefill.as_ref().is_some_and(|it| self.is_evacuated(it));
        if is_evacuated {
            let other = self.with_view(now, job, |view| view.prefill(datacentre, &job.excluded));
            self.jobs[&id].prefill = other;
        }
    }

    /// Returns the chosen prefill engine, or another one if it must not be called now: the requests
    /// placed meanwhile may have taken its turns.
    pub(super) fn callable_prefill(
        &self,
        now: Instant,
        id: request::Id,
        chosen: Arc<Endpoint>,
        datacentre: &str,
    ) -> Option<Arc<Endpoint>> {
        match self.pause(now, &chosen) {
            None => Some(chosen),
            Some(_) => {
                let job = self.jobs.get(&id)?;
                self.with_view(now, job, |view| view.prefill(datacentre, &job.excluded))
            }
        }
    }

    /// Returns the prompt that was computed before the request got another slot; frees one that its
    /// engine no longer keeps for certain.
    pub(super) fn kept_prompt(&mut self, now: Instant, id: request::Id) -> Option<call::Handle> {
        self.jobs.get(&id)?.prompt.as_ref()?;
        let mut job = self.jobs.swap_remove(&id)?;
        let retention = job.service.engine.as_ref().map(|it| it.handle_retention);
        let is_kept = job.times.computed.zip(retention).is_some_and(|(at, it)| now < at + it);
        let is_kept =
            is_kept && job.prompt.as_ref().is_some_and(|it| !self.is_evacuated(&it.endpoint));
        if !is_kept {
            self.free_prompt(now, &mut job);
        }
        let handle = job.prompt.as_ref().map(|it| it.handle.clone());
        self.jobs.insert(id, job);
        handle
    }

    /// Gives up a computed prompt whose engine must get no calls any more. Another engine computes it if
    /// the retry budget allows, or else the decode engine.
    pub(super) fn recompute_prompt(&mut self, now: Instant, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.prompt = None;
        let Some(decode) = job.slot.as_ref().map(|it| it.endpoint.clone()) else { return };
        let job = &self.jobs[&id];
        let prefill =
            self.with_view(now, job, |view| view.prefill(&decode.datacentre, &job.excluded));
        match prefill.filter(|_| !self.is_evacuated(&decode)) {
            Some(prefill) if self.take_retry(now, id) => self.start_prefill(now, id, prefill),
            _ => self.start_run(now, id, None),
        }
    }

    /// Returns the prompt tokens of other requests that are known to be at an engine.
    fn other_prompt_tokens(&self, endpoint: &Endpoint, own: u64) -> u64 {
        self.fleet.loads.total(&endpoint.id).prompt_tokens.saturating_sub(own)
    }

    /// Logs that the prompt of a request in progress has been computed, or has been begun, in vain.
    pub(super) fn record_wasted_prompt(
        &mut self,
        now: Instant,
        id: request::Id,
        cause: &'static str,
    ) {
        if let Some(job) = self.jobs.swap_remove(&id) {
            self.log_wasted_prompt(now, &job, cause);
            self.jobs.insert(id, job);
        }
    }

    /// Logs that a prompt has been computed, or has been begun, in vain.
    pub(super) fn log_wasted_prompt(&mut self, now: Instant, job: &Job, cause: &'static str) {
        let line = job
            .log_record(record::PROMPT_WASTED, now)
            .with("cause", cause)
            .with("prompt_tokens", job.tokens.map(|it| it.prompt));
        self.log(line);
    }
}

impl Job {
    /// Returns when a prompt must have been computed for the run to find its slot; `None` without a
    /// slot.
    fn prompt_deadline(&self) -> Option<Instant> {
        let slot = self.slot.as_ref()?;
        let hold_limit = self.service.engine.as_ref()?.hold_limit;
        Some(slot.reserved_at + hold_limit.saturating_sub(RUN_MARGIN))
    }
}
