//! The queue: from an admitted request to its endpoints.
//!
//! Each pool has one dispatcher in each data centre: the live instance with the first rank. The
//! instance that a request came to, its door, asks it for endpoints. A door that gets no sign of
//! its dispatcher places on its own, within its part of the places.

mod client;
mod server;

use std::{sync::Arc, time::Duration};

use siskinstile_macros::value;
use siskinstile_wire::{
    Body,
    message::dispatch::{Kind as Said, Message},
};

use crate::{
    Instant,
    error::{Failure, Kind},
    object::{Endpoint, Name},
    place::{Decision, Job},
    request::{Id, Outcome, Phase, Request},
};

use super::{State, messages::Sender};

/// Time without a heartbeat after which an instance is no dispatcher.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(3);

/// What this instance has asked of dispatchers, and what others have asked of it.
#[value(default)]
pub(super) struct Desk {
    clients: server::Clients,
    asked: client::Asked,
    listed: Option<Instant>,
}

impl State {
    /// Queues a request for endpoints, here or at the dispatcher of its pool.
    pub(super) fn enqueue(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.enter(now, Phase::Queued);
        let pool = request.route.pool.clone();
        match self.dispatcher_of(now, &pool) {
            Some(to) => self.ask(now, id, to),
            None => self.enqueue_here(now, id),
        }
    }

    fn enqueue_here(&mut self, now: Instant, id: Id) {
        let config = self.config.clone();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(pool) = config.pool(&request.route.pool) else {
            return self.fail_with_refund(now, id, Failure::not_run(Kind::NoEndpoint));
        };
        let weight = |name| config.set.teams.get(name).map_or(1, |team| team.weight);
        let job = job(request, request.team.as_ref().map_or(1, weight));
        let parts = self.parts(&pool.name);
        let datacentre = self.settings.datacentre.clone();
        let submitted = self.dispatcher.submit(now, pool, &datacentre, job);
        self.dispatcher.split_slots(&pool.name, parts);
        if let Err(failure) = submitted {
            self.fail_with_refund(now, id, failure);
        }
    }

    /// Returns the instance that places the requests of a pool, or none if it is this one or no
    /// other is heard of.
    fn dispatcher_of(&self, now: Instant, pool: &str) -> Option<Name> {
        let key = format!("dispatch:{pool}");
        let ranked = self.members.ranked(&self.settings.datacentre, &key);
        let own = &self.settings.name;
        let heard = |name: &str| {
            let recent =
                |it: &crate::member::Heartbeat| !it.leaving && now.since(it.at) < HEARTBEAT_LIMIT;
            self.members.heartbeat(name).is_some_and(recent)
        };
        let first = ranked.into_iter().find(|it| it.name == *own || heard(&it.name))?;
        (first.name != *own).then(|| first.name.clone())
    }

    /// Returns among how many instances the places of a pool are split: all of the data centre, if
    /// this one is not the first of them.
    fn parts(&self, pool: &str) -> u32 {
        let key = format!("dispatch:{pool}");
        let ranked = self.members.ranked(&self.settings.datacentre, &key);
        match ranked.first() {
            Some(first) if first.name != self.settings.name => ranked.len() as u32,
            _ => 1,
        }
    }

    /// Starts an attempt of each request that can be placed now.
    pub(super) fn place(&mut self, now: Instant) {
        let config = self.placement_config();
        let datacentre = self.settings.datacentre.clone();
        for decision in self.dispatcher.poll(now, &config, &datacentre) {
            match decision {
                decision if self.answer_client(now, &decision) => {}
                Decision::Placed { request, placement, reason } => {
                    self.trace.note(now, request, reason);
                    self.start_attempt(now, request, placement);
                }
                Decision::Refused { request, failure, reason } => {
                    self.trace.note(now, request, reason);
                    self.fail_with_refund(now, request, failure);
                }
            }
        }
    }

    /// Takes a request that nobody waits for out of the queue.
    pub(super) fn withdraw(&mut self, id: Id) {
        self.dispatcher.remove(id);
        self.withdraw_ask(id);
    }

    /// Frees what an attempt of a request took at endpoints.
    pub(super) fn release(&mut self, now: Instant, id: Id) {
        self.dispatcher.release(id);
        self.tell_released(now, id);
    }

    /// Takes notice of what became of a step of a request.
    pub(super) fn observe(&mut self, now: Instant, id: Id, outcome: &Outcome) {
        self.dispatcher.observe(now, id, outcome);
        self.tell_progress(now, id, outcome);
    }

    /// Takes a message of another instance on placement.
    pub(super) fn dispatch_message(&mut self, now: Instant, from: &Sender, message: Message) {
        match message.kind {
            Some(Said::Submit(submit)) => self.submitted(now, from, &submit),
            Some(Said::Released(released)) => self.released(&released),
            Some(Said::Progress(progress)) => self.progressed(now, &progress),
            Some(Said::Inventory(inventory)) => self.inventory(now, from, inventory),
            Some(Said::Queued(queued)) => self.acknowledged(now, &queued),
            Some(Said::Placed(placed)) => self.placed(now, from, placed),
            Some(Said::Refused(refused)) => self.refused_by(now, from, &refused),
            None => {}
        }
    }

    /// Returns another endpoint for the decode part of an attempt, with a place taken there; none
    /// where another instance placed it.
    pub(super) fn move_decode(&mut self, now: Instant, id: Id) -> Option<Arc<Endpoint>> {
        self.dispatcher.move_decode(now, id)
    }

    /// Does what the dispatcher and its clients do from time to time.
    pub(super) fn dispatch_tick(&mut self, now: Instant) {
        self.dispatcher.tick(now);
        self.expire_clients(now);
        self.ask_again(now);
        self.send_inventory(now);
    }

    fn say(&mut self, to: &str, said: Said) {
        self.send(to, Body::Dispatch(Message { kind: Some(said) }));
    }
}

/// Returns what the dispatcher needs to know of a request.
fn job(request: &Request, weight: u32) -> Job {
    let (arrival, route) = (&request.arrival, &request.route);
    Job {
        request: arrival.id,
        pool: route.pool.clone(),
        route: route.name.clone(),
        team: request.team.clone().unwrap_or_else(|| "".into()),
        weight,
        urgency: route.urgency,
        arrived: request.arrived,
        prompt_tokens: arrival.prompt_tokens,
        max_tokens: arrival.max_tokens,
        prefixes: arrival.prefixes.clone(),
        first_token: Duration::from_millis(route.first_token_ms),
        between_tokens: Duration::from_millis(route.between_tokens_ms),
        excluded: request.excluded.clone(),
        is_retry: request.attempt > 0,
    }
}
