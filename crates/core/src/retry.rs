//! The retry budget of a pool, which keeps retries from multiplying an overload.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Requests that together earn one retry.
const REQUESTS_PER_RETRY: u32 = 5;
/// Retries that are there without any request.
const FLOOR: u32 = 10;
/// Most retries that may be saved up.
const MOST: u32 = 100;
/// Time in which one retry of the floor comes back.
const FLOOR_REFILL: Duration = Duration::from_secs(1);

/// Earned and unused retries, counted in requests.
#[value]
pub struct Budget {
    credit: u32,
    refilled: Instant,
}

impl Budget {
    /// Creates a budget that holds the floor.
    pub fn new(now: Instant) -> Budget {
        Budget { credit: FLOOR * REQUESTS_PER_RETRY, refilled: now }
    }

    /// Counts a request, which earns a fifth of a retry.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(MOST * REQUESTS_PER_RETRY);
    }

    /// Takes a retry; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        match self.credit.checked_sub(REQUESTS_PER_RETRY) {
            Some(rest) => self.credit = rest,
            None => return false,
        }
        true
    }

    fn refill(&mut self, now: Instant) {
        let due = now.since(self.refilled).as_millis() / FLOOR_REFILL.as_millis();
        if due == 0 {
            return;
        }
        self.refilled = now;
        let floor = FLOOR * REQUESTS_PER_RETRY;
        if self.credit < floor {
            let earned = (due as u32).min(FLOOR) * REQUESTS_PER_RETRY;
            self.credit = (self.credit + earned).min(floor);
        }
    }
}
