//! Queue of requests that wait for a decode slot.

use siskinstile_macros::value;

use crate::{Instant, Name, request};

/// Order in which requests get slots; the lowest value goes first.
#[value(id)]
pub struct Rank {
    /// Priority of the team, or of the route if the team has none; 0 goes first.
    pub team_priority: u32,
    /// Priority of the route; 0 goes first.
    pub route_priority: u32,
    /// Whether the latency target has passed.
    pub is_late: bool,
}

/// A queued request.
#[value]
pub struct Waiting {
    /// The request.
    pub request: request::Id,
    /// Name of its service.
    pub service: Name,
    /// Rank at the time of queueing.
    pub rank: Rank,
    /// When it arrived.
    pub arrived: Instant,
    /// When it is refused unless it has been placed.
    pub deadline: Instant,
}

/// The queue of one instance, ordered by rank and arrival.
#[value(default)]
pub struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Inserts a request behind those of the same rank that arrived no later.
    pub fn push(&mut self, waiting: Waiting) {
        let key = |it: &Waiting| (it.rank, it.arrived);
        let index = self.waiting.partition_point(|it| key(it) <= key(&waiting));
        self.waiting.insert(index, waiting);
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, request: request::Id) {
        self.waiting.retain(|it| it.request != request);
    }

    /// Returns the requests in the order in which they get slots.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Returns the number of requests for a service that go before a new one of the given rank.
    pub fn ahead(&self, service: &str, rank: Rank) -> u32 {
        self.waiting.iter().filter(|it| &*it.service == service && it.rank <= rank).count() as u32
    }

    /// Returns the earliest deadline in the queue.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|it| it.deadline).min()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
