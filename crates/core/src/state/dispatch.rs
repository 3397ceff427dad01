//! Dispatch: queues admitted requests until endpoints are chosen for them.
//!
//! Each pool has one dispatcher in each data centre, the live instance with the first rank. The
//! instance that received a request, its origin, submits it to the dispatcher. An origin that gets
//! no acknowledgement from its dispatcher places the request itself, within its share of the slots.

mod client;
mod server;

use std::{sync::Arc, time::Duration};

use siskinstile_macros::value;
use siskinstile_wire::{
    Body,
    message::dispatch::{Kind as Payload, Message},
};

use crate::{
    Instant,
    error::{Failure, Kind},
    object::{Endpoint, Name},
    place::{Decision, Job},
    request::{Id, Outcome, Phase, Request},
};

use super::{State, messages::Sender};

/// Time without a heartbeat after which an instance is not used as a dispatcher.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests submitted to other dispatchers, and requests received as a dispatcher.
#[value(default)]
pub(super) struct Forwarding {
    received: server::RemoteRequests,
    sent: client::Submissions,
    inventory_sent_at: Option<Instant>,
}

impl State {
    /// Queues a request for placement, locally or at the dispatcher of its pool.
    pub(super) fn enqueue(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.enter(now, Phase::Queued);
        let pool = request.route.pool.clone();
        match self.dispatcher_of(now, &pool) {
            Some(dispatcher) => self.submit_remote(now, id, dispatcher),
            None => self.enqueue_local(now, id),
        }
    }

    fn enqueue_local(&mut self, now: Instant, id: Id) {
        let config = self.config.clone();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(pool) = config.pool(&request.route.pool) else {
            return self.fail_with_refund(now, id, Failure::not_run(Kind::NoEndpoint));
        };
        let weight = |name| config.set.teams.get(name).map_or(1, |team| team.weight);
        let job = job(request, request.team.as_ref().map_or(1, weight));
        let sharers = self.slot_sharers(&pool.name);
        let datacentre = self.settings.datacentre.clone();
        let submitted = self.dispatcher.submit(now, pool, &datacentre, job);
        self.dispatcher.split_slots(&pool.name, sharers);
        if let Err(failure) = submitted {
            self.fail_with_refund(now, id, failure);
        }
    }

    /// Returns the instance that places the requests of a pool, or none if it is this instance or
    /// no other instance is reachable.
    fn dispatcher_of(&self, now: Instant, pool: &str) -> Option<Name> {
        let key = format!("dispatch:{pool}");
        let ranked = self.members.ranked(&self.settings.datacentre, &key);
        let own = &self.settings.name;
        let is_alive = |name: &str| {
            let recent = |it: &crate::member::Heartbeat| {
                !it.leaving && now.since(it.received_at) < HEARTBEAT_TIMEOUT
            };
            self.members.heartbeat(name).is_some_and(recent)
        };
        let first = ranked.into_iter().find(|it| it.name == *own || is_alive(&it.name))?;
        (first.name != *own).then(|| first.name.clone())
    }

    /// Returns the number of instances among which the slots of a pool are divided: all of the data
    /// centre if this instance is not the first-ranked one, otherwise one.
    fn slot_sharers(&self, pool: &str) -> u32 {
        let key = format!("dispatch:{pool}");
        let ranked = self.members.ranked(&self.settings.datacentre, &key);
        match ranked.first() {
            Some(first) if first.name != self.settings.name => ranked.len() as u32,
            _ => 1,
        }
    }

    /// Starts an attempt of each queued request that can be placed now.
    pub(super) fn place(&mut self, now: Instant) {
        let config = self.placement_config();
        let datacentre = self.settings.datacentre.clone();
        for decision in self.dispatcher.poll(now, &config, &datacentre) {
            match decision {
                decision if self.answer_remote(now, &decision) => {}
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

    /// Removes a request from the queue, here or at its dispatcher.
    pub(super) fn withdraw(&mut self, id: Id) {
        self.dispatcher.remove(id);
        self.withdraw_submission(id);
    }

    /// Releases the slots and memory that an attempt of a request had reserved.
    pub(super) fn release(&mut self, now: Instant, id: Id) {
        self.dispatcher.release(id);
        self.notify_released(now, id);
    }

    /// Records the outcome of a step of a request.
    pub(super) fn observe(&mut self, now: Instant, id: Id, outcome: &Outcome) {
        self.dispatcher.observe(now, id, outcome);
        self.notify_progress(now, id, outcome);
    }

    /// Handles a placement message from another instance.
    pub(super) fn handle_dispatch_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: Message,
    ) {
        match message.kind {
            Some(Payload::Submit(submit)) => self.handle_submit(now, from, &submit),
            Some(Payload::Released(released)) => self.handle_released(&released),
            Some(Payload::Progress(progress)) => self.handle_progress(now, &progress),
            Some(Payload::Inventory(inventory)) => self.handle_inventory(now, from, inventory),
            Some(Payload::Queued(queued)) => self.handle_queued(now, &queued),
            Some(Payload::Placed(placed)) => self.handle_placed(now, from, placed),
            Some(Payload::Refused(refused)) => self.handle_refused(now, from, &refused),
            None => {}
        }
    }

    /// Moves the decode part of an attempt to another endpoint and returns that endpoint; none if
    /// another instance placed the request or no endpoint has capacity.
    pub(super) fn move_decode(&mut self, now: Instant, id: Id) -> Option<Arc<Endpoint>> {
        self.dispatcher.move_decode(now, id)
    }

    /// Runs the periodic work of the dispatcher and of the requests submitted to other dispatchers.
    pub(super) fn dispatch_tick(&mut self, now: Instant) {
        self.dispatcher.tick(now);
        self.expire_remote_requests(now);
        self.resubmit_due(now);
        self.send_inventory(now);
    }

    fn send_dispatch(&mut self, to: &str, payload: Payload) {
        self.send(to, Body::Dispatch(Message { kind: Some(payload) }));
    }
}

/// Returns the placement job of a request.
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
