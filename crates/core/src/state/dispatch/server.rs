//! The dispatcher's side of dispatch: handles the requests of other instances.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;
use siskinstile_wire::message::dispatch::{
    Inventory, Kind as Payload, Placed, Progress, Queued, Refused, Released, Step, Submit,
};

use crate::{
    Instant,
    error::Failure,
    object::Name,
    place::{Decision, Job, Running},
    request::{Id, Outcome},
};

use super::{Sender, State};

/// Time after its placement from which a request has to be in its origin's inventory.
const INVENTORY_GRACE: Duration = Duration::from_secs(3);
/// Time after which a request is dropped that its origin neither submits again nor lists in an
/// inventory.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that another instance, its origin, has submitted.
#[value]
pub(super) struct RemoteRequest {
    origin: Name,
    attempt: u32,
    /// The placement sent to the origin, and when.
    placed: Option<(Placed, Instant)>,
    /// When the origin last submitted or listed it.
    last_seen: Instant,
}

/// Waiting and placed requests of other instances, by identifier.
pub(super) type RemoteRequests = IndexMap<Id, RemoteRequest>;

impl State {
    /// Queues a request of another instance. A repeated submission gets the same answer again.
    pub(super) fn handle_submit(&mut self, now: Instant, from: &Sender, submit: &Submit) {
        let id = Id(submit.request);
        match self.forwarding.received.get_mut(&id) {
            Some(remote) if remote.attempt > submit.attempt => return,
            Some(remote) if remote.attempt == submit.attempt => {
                remote.last_seen = now;
                let payload = match &remote.placed {
                    Some((placed, _)) => Payload::Placed(placed.clone()),
                    None => Payload::Queued(Queued { request: id.0, attempt: submit.attempt }),
                };
                return self.send_dispatch(&from.name, payload);
            }
            _ => self.drop_remote(id),
        }
        let config = self.config.clone();
        let Some(job) = self.remote_job(now, submit) else { return };
        let Some(pool) = config.pool(&job.pool) else { return };
        let datacentre = self.settings.datacentre.clone();
        let submitted = self.dispatcher.submit(now, pool, &datacentre, job);
        let sharers = self.slot_sharers(&pool.name);
        self.dispatcher.split_slots(&pool.name, sharers);
        match submitted {
            Ok(()) => {
                let (origin, attempt) = (from.name.clone(), submit.attempt);
                let remote = RemoteRequest { origin, attempt, placed: None, last_seen: now };
                self.forwarding.received.insert(id, remote);
                self.send_dispatch(&from.name, Payload::Queued(Queued { request: id.0, attempt }));
            }
            Err(failure) => self.send_refused(&from.name, id, submit.attempt, &failure),
        }
    }

    fn remote_job(&self, now: Instant, submit: &Submit) -> Option<Job> {
        let config = &self.config;
        let route = config.set.routes.get(submit.route.as_str())?;
        let team = config.set.teams.get(submit.team.as_str());
        Some(Job {
            request: Id(submit.request),
            pool: route.pool.clone(),
            route: route.name.clone(),
            team: submit.team.as_str().into(),
            weight: team.map_or(1, |it| it.weight),
            urgency: route.urgency,
            arrived: now - Duration::from_millis(submit.age_ms),
            prompt_tokens: submit.prompt_tokens,
            max_tokens: submit.max_tokens,
            prefixes: submit.prefixes.clone().into(),
            first_token: Duration::from_millis(route.first_token_ms),
            between_tokens: Duration::from_millis(route.between_tokens_ms),
            excluded: submit.excluded.iter().map(|it| it.as_str().into()).collect(),
            is_retry: submit.attempt > 1,
        })
    }

    fn send_refused(&mut self, origin: &str, id: Id, attempt: u32, failure: &Failure) {
        let retry_ms = failure.retry_after.map_or(0, |it| it.as_millis() as u64);
        let kind = failure.kind.as_str().to_owned();
        self.send_dispatch(
            origin,
            Payload::Refused(Refused { request: id.0, attempt, kind, retry_ms }),
        );
    }

    /// Sends a decision to the origin of a request. Returns false for a request of this instance.
    pub(super) fn answer_remote(&mut self, now: Instant, decision: &Decision) -> bool {
        let (Decision::Placed { request, .. } | Decision::Refused { request, .. }) = decision;
        let Some(remote) = self.forwarding.received.get_mut(request) else { return false };
        let (origin, attempt) = (remote.origin.clone(), remote.attempt);
        match decision {
            Decision::Placed { placement, reason, .. } => {
                let prefill = placement.prefill.as_ref().map(|it| it.name.to_string());
                let placed = Placed {
                    request: request.0,
                    attempt,
                    prefill: prefill.unwrap_or_default(),
                    run: placement.run.name.to_string(),
                    reason: reason.clone(),
                };
                remote.placed = Some((placed.clone(), now));
                self.send_dispatch(&origin, Payload::Placed(placed));
            }
            Decision::Refused { failure, .. } => {
                self.forwarding.received.swap_remove(request);
                self.send_refused(&origin, *request, attempt, failure);
            }
        }
        true
    }

    /// Drops a request that its origin has released, with what is reserved for it.
    pub(super) fn handle_released(&mut self, released: &Released) {
        let id = Id(released.request);
        let known = self.forwarding.received.get(&id);
        if known.is_some_and(|it| it.attempt <= released.attempt) {
            self.drop_remote(id);
        }
    }

    fn drop_remote(&mut self, id: Id) {
        if self.forwarding.received.swap_remove(&id).is_some() {
            self.dispatcher.remove(id);
            self.dispatcher.release(id);
        }
    }

    /// Records the outcome of a step of another instance's request.
    pub(super) fn handle_progress(&mut self, now: Instant, progress: &Progress) {
        let id = Id(progress.request);
        if self.forwarding.received.get(&id).is_none_or(|it| it.attempt != progress.attempt) {
            return;
        }
        let outcome = match progress.step() {
            Step::Failed => Outcome::Failed { sent: true, next_index: 0, ended: false },
            Step::Computed => Outcome::Computed { kv: "".into(), cached: progress.tokens },
            Step::Imported => Outcome::Imported,
            Step::FirstByte => Outcome::FirstByte,
            Step::Completed => Outcome::Completed { tokens: progress.tokens, answer: None },
        };
        self.dispatcher.observe(now, id, &outcome);
    }

    /// Reconciles the record with an origin's inventory: adopts listed requests that are missing
    /// here, and drops those that were placed [`INVENTORY_GRACE`] ago or earlier and are not
    /// listed.
    pub(super) fn handle_inventory(&mut self, now: Instant, from: &Sender, inventory: Inventory) {
        let config = self.config.clone();
        let Some(pool) = config.pool(&inventory.pool) else { return };
        let datacentre = self.settings.datacentre.clone();
        let mut listed = IndexSet::new();
        for running in inventory.running {
            let Some(submit) = running.submit else { continue };
            let id = Id(submit.request);
            listed.insert(id);
            if let Some(remote) = self.forwarding.received.get_mut(&id) {
                remote.last_seen = now;
                continue;
            }
            let Some(job) = self.remote_job(now, &submit) else { continue };
            let prefill = Some(running.prefill.as_str().into()).filter(|it: &Name| !it.is_empty());
            let run: Name = running.run.as_str().into();
            let placed = Placed {
                request: id.0,
                attempt: submit.attempt,
                prefill: running.prefill,
                run: running.run,
                reason: String::new(),
            };
            let placed = Some((placed, now));
            let origin = from.name.clone();
            let remote = RemoteRequest { origin, attempt: submit.attempt, placed, last_seen: now };
            self.forwarding.received.insert(id, remote);
            self.dispatcher.adopt(now, pool, &datacentre, Running { job, prefill, run });
        }
        self.drop_remote_where(|id, remote| {
            let placed = remote.placed.as_ref();
            remote.origin == from.name
                && !listed.contains(id)
                && placed.is_some_and(|it| now.since(it.1) >= INVENTORY_GRACE)
        });
    }

    /// Drops requests that their origin has neither submitted nor listed within [`ORIGIN_TIMEOUT`].
    pub(super) fn expire_remote_requests(&mut self, now: Instant) {
        self.drop_remote_where(|_, remote| now.since(remote.last_seen) >= ORIGIN_TIMEOUT);
    }

    fn drop_remote_where(&mut self, matches: impl Fn(&Id, &RemoteRequest) -> bool) {
        let ids: Vec<Id> = self
            .forwarding
            .received
            .iter()
            .filter(|(id, it)| matches(id, it))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter().for_each(|id| self.drop_remote(id));
    }
}
