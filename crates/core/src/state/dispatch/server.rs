//! The dispatcher's side: answering the questions of doors.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;
use siskinstile_wire::message::dispatch::{
    Inventory, Kind as Said, Placed, Progress, Queued, Refused, Released, Step, Submit,
};

use crate::{
    Instant,
    error::Failure,
    object::Name,
    place::{Decision, Job, Running},
    request::{Id, Outcome},
};

use super::{Sender, State};

/// Time after its placement from which a request has to be on its door's list.
const LIST_GRACE: Duration = Duration::from_secs(3);
/// Time without a list of a door after which what it had is free.
const DOOR_LIMIT: Duration = Duration::from_secs(10);

/// A request of another instance.
#[value]
pub(super) struct Client {
    door: Name,
    attempt: u32,
    /// The placement that was sent, and when.
    answer: Option<(Placed, Instant)>,
    /// When its door was last known to want it.
    seen: Instant,
}

/// The requests of other instances that wait or run.
pub(super) type Clients = IndexMap<Id, Client>;

impl State {
    /// Queues a request of another instance; asked again, the answer is given again.
    pub(super) fn submitted(&mut self, now: Instant, from: &Sender, submit: &Submit) {
        let id = Id(submit.request);
        match self.desk.clients.get_mut(&id) {
            Some(client) if client.attempt > submit.attempt => return,
            Some(client) if client.attempt == submit.attempt => {
                client.seen = now;
                let said = match &client.answer {
                    Some((placed, _)) => Said::Placed(placed.clone()),
                    None => Said::Queued(Queued { request: id.0, attempt: submit.attempt }),
                };
                return self.say(&from.name, said);
            }
            _ => self.forget(id),
        }
        let config = self.config.clone();
        let Some(job) = self.client_job(now, submit) else { return };
        let Some(pool) = config.pool(&job.pool) else { return };
        let datacentre = self.settings.datacentre.clone();
        let submitted = self.dispatcher.submit(now, pool, &datacentre, job);
        let parts = self.parts(&pool.name);
        self.dispatcher.split_slots(&pool.name, parts);
        match submitted {
            Ok(()) => {
                let (door, attempt) = (from.name.clone(), submit.attempt);
                let client = Client { door, attempt, answer: None, seen: now };
                self.desk.clients.insert(id, client);
                self.say(&from.name, Said::Queued(Queued { request: id.0, attempt }));
            }
            Err(failure) => self.tell_refused(&from.name, id, submit.attempt, &failure),
        }
    }

    fn client_job(&self, now: Instant, submit: &Submit) -> Option<Job> {
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

    fn tell_refused(&mut self, door: &str, id: Id, attempt: u32, failure: &Failure) {
        let retry_ms = failure.retry_after.map_or(0, |it| it.as_millis() as u64);
        let kind = failure.kind.as_str().to_owned();
        self.say(door, Said::Refused(Refused { request: id.0, attempt, kind, retry_ms }));
    }

    /// Sends a decision to the door that asked for it; returns whether one did.
    pub(super) fn answer_client(&mut self, now: Instant, decision: &Decision) -> bool {
        let (Decision::Placed { request, .. } | Decision::Refused { request, .. }) = decision;
        let Some(client) = self.desk.clients.get_mut(request) else { return false };
        let (door, attempt) = (client.door.clone(), client.attempt);
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
                client.answer = Some((placed.clone(), now));
                self.say(&door, Said::Placed(placed));
            }
            Decision::Refused { failure, .. } => {
                self.desk.clients.swap_remove(request);
                self.tell_refused(&door, *request, attempt, failure);
            }
        }
        true
    }

    /// Frees what a request of another instance had.
    pub(super) fn released(&mut self, released: &Released) {
        let id = Id(released.request);
        let known = self.desk.clients.get(&id);
        if known.is_some_and(|it| it.attempt <= released.attempt) {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: Id) {
        if self.desk.clients.swap_remove(&id).is_some() {
            self.dispatcher.remove(id);
            self.dispatcher.release(id);
        }
    }

    /// Takes notice of a step of another instance's request.
    pub(super) fn progressed(&mut self, now: Instant, progress: &Progress) {
        let id = Id(progress.request);
        if self.desk.clients.get(&id).is_none_or(|it| it.attempt != progress.attempt) {
            return;
        }
        let outcome = match progress.step() {
            Step::Broken => Outcome::Failed { sent: true, next_index: 0 },
            Step::Computed => Outcome::Computed { kv: "".into(), cached: progress.tokens },
            Step::Imported => Outcome::Imported,
            Step::First => Outcome::FirstByte,
            Step::Ended => Outcome::Completed { tokens: progress.tokens, answer: None },
        };
        self.dispatcher.observe(now, id, &outcome);
    }

    /// Compares the record with what a door has running: takes over what is missing here, frees
    /// what is missing there.
    pub(super) fn inventory(&mut self, now: Instant, from: &Sender, inventory: Inventory) {
        let config = self.config.clone();
        let Some(pool) = config.pool(&inventory.pool) else { return };
        let datacentre = self.settings.datacentre.clone();
        let mut listed = IndexSet::new();
        for running in inventory.running {
            let Some(submit) = running.submit else { continue };
            let id = Id(submit.request);
            listed.insert(id);
            if let Some(client) = self.desk.clients.get_mut(&id) {
                client.seen = now;
                continue;
            }
            let Some(job) = self.client_job(now, &submit) else { continue };
            let prefill = Some(running.prefill.as_str().into()).filter(|it: &Name| !it.is_empty());
            let run: Name = running.run.as_str().into();
            let placed = Placed {
                request: id.0,
                attempt: submit.attempt,
                prefill: running.prefill,
                run: running.run,
                reason: String::new(),
            };
            let answer = Some((placed, now));
            let door = from.name.clone();
            let client = Client { door, attempt: submit.attempt, answer, seen: now };
            self.desk.clients.insert(id, client);
            self.dispatcher.adopt(now, pool, &datacentre, Running { job, prefill, run });
        }
        self.forget_where(|id, client| {
            let placed = client.answer.as_ref();
            client.door == from.name
                && !listed.contains(id)
                && placed.is_some_and(|it| now.since(it.1) >= LIST_GRACE)
        });
    }

    /// Frees what doors had that are gone.
    pub(super) fn expire_clients(&mut self, now: Instant) {
        self.forget_where(|_, client| now.since(client.seen) >= DOOR_LIMIT);
    }

    fn forget_where(&mut self, gone: impl Fn(&Id, &Client) -> bool) {
        let ids: Vec<Id> =
            self.desk.clients.iter().filter(|(id, it)| gone(id, it)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.forget(id));
    }
}
