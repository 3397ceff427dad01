//! The queue: from an admitted request to its endpoints.

use std::sync::Arc;

use siskinstile_wire::message::dispatch::Message;

use crate::{
    Instant,
    error::{Failure, Kind},
    object::Endpoint,
    place::{Decision, Job},
    request::{Id, Phase, Placement},
};

use super::{State, messages::Sender};

impl State {
    /// Queues a request for endpoints.
    pub(super) fn enqueue(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = Phase::Queued;
        let job =
            Job { request: id, pool: request.route.pool.clone(), avoid: request.avoid.clone() };
        let Some(pool) = self.config.pool(&job.pool).cloned() else {
            return self.give_up(now, id, Failure::not_run(Kind::NoEndpoint));
        };
        if self.dispatcher.submit(&pool, job).is_err() {
            self.give_up(now, id, Failure::not_run(Kind::QueueFull));
        }
    }

    /// Starts an attempt of each request that can be placed now.
    pub(super) fn place(&mut self, now: Instant) {
        let config = self.placing_config();
        for decision in self.dispatcher.poll(&config, &self.settings.datacentre.clone()) {
            let Decision::Placed { request, placement } = decision;
            self.begin(now, request, placement);
        }
    }

    /// Takes a request that nobody waits for out of the queue.
    pub(super) fn withdraw(&mut self, id: Id) {
        self.dispatcher.remove(id);
    }

    /// Frees the places of an attempt.
    pub(super) fn release(&mut self, placement: &Placement) {
        for endpoint in placement.prefill.iter().chain([&placement.run]) {
            self.dispatcher.release(endpoint);
        }
    }

    /// Returns another endpoint for the decode part of an attempt, with a place taken there.
    pub(super) fn move_run(&mut self, id: Id) -> Option<Arc<Endpoint>> {
        let request = self.requests.get(&id)?;
        let pool = self.config.pool(&request.route.pool)?.clone();
        let run = request.placement.as_ref()?.run.clone();
        self.dispatcher.move_run(&pool, &self.settings.datacentre.clone(), &run)
    }

    /// Each instance places on its own and needs no messages.
    pub(super) fn dispatch_message(&mut self, _now: Instant, _from: &Sender, _message: Message) {}

    /// Does what the dispatcher does from time to time.
    pub(super) fn dispatch_tick(&mut self, _now: Instant) {}
}
