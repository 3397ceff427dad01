//! Requests that wait for a decode place.

use siskinstile_macros::value;

use crate::{Instant, Name, request};

/// The order in which requests get places; lower goes first.
#[value(id)]
pub struct Rank {
    /// Rank of the team.
    pub team: u32,
    /// Rank of the route.
    pub route: u32,
    /// Whether the latency target cannot be met any more.
    pub late: bool,
}

/// A request that waits.
#[value]
pub struct Waiting {
    /// The request.
    pub request: request::Id,
    /// Name of its service.
    pub service: Name,
    /// Its rank.
    pub rank: Rank,
    /// When it arrived.
    pub arrived: Instant,
    /// When it is refused.
    pub deadline: Instant,
}

/// The queue of one instance, in order of rank and arrival.
#[value(default)]
pub struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let key = |it: &Waiting| (it.rank, it.arrived);
        let at = self.waiting.partition_point(|it| key(it) <= key(&waiting));
        self.waiting.insert(at, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: request::Id) {
        self.waiting.retain(|it| it.request != request);
    }

    /// Returns the requests in the order in which they get places.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Returns how many requests wait for a service before one of the given rank.
    pub fn ahead(&self, service: &str, rank: Rank) -> u32 {
        self.waiting.iter().filter(|it| &*it.service == service && it.rank <= rank).count() as u32
    }

    /// Returns the first moment at which a request is refused.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|it| it.deadline).min()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
