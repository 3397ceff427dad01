//! The queue: from an admitted request to its endpoints.

use std::time::Duration;

use siskinstile_wire::message::dispatch::Message;

use crate::{
    Instant,
    error::{Failure, Kind},
    place::{Decision, Job},
    request::{Id, Phase, Request},
};

use super::{State, messages::Sender};

impl State {
    /// Queues a request for endpoints.
    pub(super) fn enqueue(&mut self, now: Instant, id: Id) {
        let config = self.config.clone();
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = Phase::Queued;
        let Some(pool) = config.pool(&request.route.pool) else {
            return self.give_up(now, id, Failure::not_run(Kind::NoEndpoint));
        };
        let weight = |name| config.set.teams.get(name).map_or(1, |team| team.weight);
        let job = job(request, request.team.as_ref().map_or(1, weight));
        if let Err(failure) = self.dispatcher.submit(now, pool, &self.settings.datacentre, job) {
            self.give_up(now, id, failure);
        }
    }

    /// Starts an attempt of each request that can be placed now.
    pub(super) fn place(&mut self, now: Instant) {
        let config = self.config.clone();
        for decision in self.dispatcher.poll(now, &config, &self.settings.datacentre) {
            match decision {
                Decision::Placed { request, placement, reason } => {
                    self.trace.note(now, request, reason);
                    self.begin(now, request, placement);
                }
                Decision::Refused { request, failure, reason } => {
                    self.trace.note(now, request, reason);
                    self.give_up(now, request, failure);
                }
            }
        }
    }

    /// Takes a request that nobody waits for out of the queue.
    pub(super) fn withdraw(&mut self, id: Id) {
        self.dispatcher.remove(id);
    }

    /// Frees what an attempt of a request took at endpoints.
    pub(super) fn release(&mut self, id: Id) {
        self.dispatcher.release(id);
    }

    /// Each instance places on its own and needs no messages.
    pub(super) fn dispatch_message(&mut self, _now: Instant, _from: &Sender, _message: Message) {}

    /// Does what the dispatcher does from time to time.
    pub(super) fn dispatch_tick(&mut self, now: Instant) {
        self.dispatcher.tick(now);
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
        prompt: arrival.prompt_tokens,
        most: arrival.max_tokens,
        prefixes: arrival.prefixes.clone(),
        first_token: Duration::from_millis(route.first_token_ms),
        between_tokens: Duration::from_millis(route.between_tokens_ms),
        avoid: request.avoid.clone(),
        again: request.attempt > 0,
    }
}
