//! Proof that an endpoint has the start that its entry tells, before a stream goes on there.
//!
//! The version of an endpoint is that of one start of it. An endpoint that starts again under its name, perhaps with
//! another version, writes its entry only some time later, and while the store does not answer not at all; until then
//! the entry that instances have read is that of the earlier start. So the endpoint is asked for its start first.
//! Where it tells none, its answer has to come on a connection that has been open for longer than an endpoint takes to
//! write its entry: what has accepted the connection, and still answers on it, has written the entry that was read.

use std::{sync::Arc, time::Duration};

use crate::{
    Instant,
    call::{self, Outcome},
    directory::{Endpoint, Software},
    load::Load,
    record, request,
};

use super::{
    State,
    engine::SHORT_CALL_TIMEOUT,
    job::{Kind, OpenCall, Plan, Proof},
};

/// Difference between the clocks of an endpoint and an instance up to which it is known which came first.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(250);

/// The version of a stream that began at an endpoint of which an earlier start was known.
struct Correction {
    call: call::Id,
    request: request::Id,
    /// The endpoint as it is listed now.
    endpoint: Arc<Endpoint>,
    software: Software,
}

impl State {
    /// Asks an endpoint for its start, before a stream goes on there.
    pub(super) fn prove_start(&mut self, now: Instant, id: request::Id, proof: Proof) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // A reservation would expire meanwhile; an endpoint of a plain service may be silent as long as with a run.
        let timeout = job.slot.is_some().then_some(SHORT_CALL_TIMEOUT);
        let plan = Plan {
            endpoint: proof.endpoint.clone(),
            step: call::Step::QueryStart,
            timeout,
            load: Load::default(),
        };
        job.proof = Some(proof);
        self.call(now, id, plan);
    }

    /// Goes on at an endpoint that has the start of its entry, and so its version; looks for another one otherwise.
    pub(super) fn start_told(&mut self, now: Instant, id: request::Id, outcome: &Outcome) {
        let Some(proof) = self.jobs.get_mut(&id).and_then(|it| it.proof.take()) else { return };
        let &Outcome::StartTold { started_at_ms: told, connection_age } = outcome else {
            return self.go_on_elsewhere(now, id, &proof);
        };
        let lifetimes = &mut self.fleet.journaling.lifetimes;
        let lifetime = lifetimes.record(now, &proof.endpoint.id, connection_age);
        let missing = self.proving_age(now).saturating_sub(lifetime);
        match told.zip(proof.endpoint.started_at_ms) {
            Some((told, listed)) if told == listed => self.go_on(now, id, proof),
            Some(_) => {
                self.log_unproven(now, id, &proof, "other start");
                self.fleet.journaling.unverified.record_start(&proof.endpoint);
                self.go_on_elsewhere(now, id, &proof);
            }
            None if missing.is_zero() => self.go_on(now, id, proof),
            None => {
                self.log_unproven(now, id, &proof, "young connection");
                self.await_proof(now, id, missing);
            }
        }
    }

    /// Sends a stream on at an endpoint whose start is proven.
    fn go_on(&mut self, now: Instant, id: request::Id, proof: Proof) {
        let Some(job) = self.jobs.get(&id) else { return };
        match job.slot.is_some() {
            true => self.send_run(now, id, proof.source),
            false => self.send_plain_run(now, id, proof.endpoint),
        }
    }

    fn go_on_elsewhere(&mut self, now: Instant, id: request::Id, proof: &Proof) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match job.slot.is_some() {
            true => self.hold_failed(now, id),
            false => {
                job.excluded.push(proof.endpoint.id.clone());
                self.send_plain(now, id);
            }
        }
    }

    /// Looks for a proof again, once, when an endpoint that lives on has lived for long enough.
    fn await_proof(&mut self, now: Instant, id: request::Id, missing: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match job.slot.is_some() {
            true => self.hold_failed(now, id),
            false if job.has_awaited_proof => self.fail_exhausted(now, id, "version not proven"),
            false => {
                job.has_awaited_proof = true;
                job.prove_at = Some(now + missing);
            }
        }
    }

    /// Looks again for the proofs that are due.
    pub(super) fn prove_again(&mut self, now: Instant) {
        let due = self.jobs.values().filter(|it| it.prove_at.is_some_and(|at| at <= now));
        for id in due.map(|it| it.id).collect::<Vec<_>>() {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.prove_at = None;
            }
            self.send_plain(now, id);
        }
    }

    /// Corrects the versions of streams that began at an endpoint which had started again and not written its entry
    /// yet: a run that began after a start is one of that start.
    pub(super) fn correct_origins(&mut self, now: Instant) {
        let corrections: Vec<Correction> =
            self.calls.iter().filter_map(|(id, open)| self.correction(now, *id, open)).collect();
        for Correction { call, request, endpoint, software } in corrections {
            if let Some(open) = self.calls.get_mut(&call) {
                open.endpoint = endpoint.clone();
            }
            let Some(job) = self.jobs.get_mut(&request) else { continue };
            job.software = job.software.map(|_| software);
            let line = job
                .log_record(record::ORIGIN_CORRECTED, now)
                .with("endpoint", &*endpoint.id)
                .with("software", &*endpoint.version)
                .with("known", software != Software::UNKNOWN);
            self.log(line);
            self.tell_version(now, request, software);
            self.journal_begun(now, request);
        }
    }

    /// Returns the correction of a first run, if its endpoint's entry tells a later start than when it was sent.
    fn correction(&self, now: Instant, call: call::Id, open: &OpenCall) -> Option<Correction> {
        let request = open.request.filter(|_| open.kind == Kind::Run)?;
        let job = self.jobs.get(&request).filter(|it| it.last_event.is_none())?;
        let listed = self.listed.get(&open.endpoint.id)?;
        let is_later = listed.started_at_ms? > open.endpoint.started_at_ms?;
        if !is_later || job.resumes.is_some() || listed.version == open.endpoint.version {
            return None;
        }
        let (run_age, start_age) = (now.since(open.started), self.listed.age(listed)?);
        let software = match () {
            () if run_age + MAX_CLOCK_DIFFERENCE <= start_age => listed.software(),
            () if run_age < start_age + MAX_CLOCK_DIFFERENCE => Software::UNKNOWN,
            // The run is one of the earlier start, and about to break off.
            () => return None,
        };
        Some(Correction { call, request, endpoint: listed.clone(), software })
    }

    fn log_unproven(&mut self, now: Instant, id: request::Id, proof: &Proof, cause: &'static str) {
        let Some(job) = self.jobs.get(&id) else { return };
        let line = job
            .log_record(record::START_NOT_PROVEN, now)
            .with("endpoint", &*proof.endpoint.id)
            .with("software", &*proof.endpoint.version)
            .with("cause", cause);
        self.log(line);
    }
}
