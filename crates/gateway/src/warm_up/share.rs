//! An instance's share of the calls to one cold endpoint.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, catalog::WarmUp, request, state::ColdTolerance};

/// Time after which a unit may be used again at the earliest: the second of the bound, and the time by
/// which two calls may arrive closer together than they were made.
const MIN_WINDOW: Duration = Duration::from_millis(1_100);
/// Longest such time; bounds the effect of absurd values.
const MAX_WINDOW: Duration = Duration::from_secs(3_600);

/// What the instances together may call a cold endpoint.
#[value]
pub(super) struct Rate {
    /// Requests a second that the endpoint takes.
    per_second: f64,
    /// Number of units, each of which allows one reservation and one other call in any second.
    units: usize,
}

impl Rate {
    /// Returns the rate of a service's endpoints. There is no unit if two calls in a second would
    /// exceed the bound.
    pub(super) fn new(warm_up: &WarmUp, tolerance: &ColdTolerance) -> Rate {
        let bound = warm_up.rate * tolerance.overshoot + tolerance.slack;
        Rate { per_second: warm_up.rate, units: (bound / 2.0) as usize }
    }

    /// Returns the mean time between two calls of all instances together.
    pub(super) fn spacing(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.per_second).unwrap_or(Duration::MAX)
    }
}

/// The units of one instance, and the calls that use them.
#[value(default)]
pub(super) struct Share {
    units: usize,
    /// Time for which a call uses a unit.
    window: Duration,
    /// Reservations whose runs have not been made yet, with the time of the reservation.
    reserved: IndexMap<request::Id, Instant>,
    /// Times of the calls, and of reservations that were given up.
    calls: VecDeque<Instant>,
}

impl Share {
    /// Divides the units among the members with the highest ranks; `rank` is the number of members
    /// that precede this instance.
    pub(super) fn assign(&mut self, rate: &Rate, rank: usize, members: usize) {
        let callers = rate.units.min(members);
        let units = rate.units.checked_div(callers).unwrap_or_default();
        self.units = if rank < callers { units } else { 0 };
        let window = (units * callers) as f64 / rate.per_second;
        let window = Duration::try_from_secs_f64(window).unwrap_or(MAX_WINDOW);
        self.window = window.clamp(MIN_WINDOW, MAX_WINDOW);
    }

    /// Returns the time until a unit is free; `None` if one is now.
    pub(super) fn wait(&self, now: Instant) -> Option<Duration> {
        let free_times = self.calls.iter().map(|it| *it + self.window).filter(|it| *it > now);
        let free_times: Vec<Instant> = free_times.collect();
        let used = self.reserved.len() + free_times.len();
        match () {
            () if used < self.units => None,
            () if self.units == 0 => Some(Duration::MAX),
            () => match free_times.get(used - self.units) {
                Some(free_at) => Some(free_at.since(now)),
                // It is not known when the runs after reservations are made.
                None => Some(self.window),
            },
        }
    }

    /// Returns whether a unit is kept for the run of a request.
    pub(super) fn is_reserved_for(&self, id: request::Id) -> bool {
        self.reserved.contains_key(&id)
    }

    /// Counts a reservation, whose unit is kept for the run that follows it.
    pub(super) fn record_reservation(&mut self, now: Instant, id: request::Id) {
        self.reserved.insert(id, now);
    }

    /// Counts another call.
    pub(super) fn record_call(&mut self, now: Instant, id: Option<request::Id>) {
        if let Some(id) = id {
            self.reserved.shift_remove(&id);
        }
        self.calls.push_back(now);
        while self.calls.front().is_some_and(|it| *it + self.window <= now) {
            self.calls.pop_front();
        }
    }

    /// Gives up the run of a request; the reservation stays counted.
    pub(super) fn release(&mut self, id: request::Id) {
        if let Some(reserved_at) = self.reserved.shift_remove(&id) {
            let position = self.calls.partition_point(|it| *it <= reserved_at);
            self.calls.insert(position, reserved_at);
        }
    }
}
