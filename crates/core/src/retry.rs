//! Retry budget of a pool, which prevents retries from amplifying an overload.

use std::time::Duration;

use siskinstile_macros::value;

use crate::Instant;

/// Number of requests that together add one retry to the budget.
const REQUESTS_PER_RETRY: u32 = 5;
/// Retries available without any traffic.
const FLOOR: u32 = 10;
/// Maximum number of unused retries.
const MAX_RETRIES: u32 = 100;
/// Time after which one retry of the floor is restored.
const FLOOR_REFILL: Duration = Duration::from_secs(1);

/// A balance of unused retries, in units of requests.
#[value]
pub struct Budget {
    balance: u32,
    refilled_at: Instant,
}

impl Budget {
    /// Creates a budget that contains the floor of 10 retries.
    pub fn new(now: Instant) -> Budget {
        Budget { balance: FLOOR * REQUESTS_PER_RETRY, refilled_at: now }
    }

    /// Counts a request, which adds a fifth of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + 1).min(MAX_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Withdraws a retry; returns whether one was available.
    pub fn try_withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        match self.balance.checked_sub(REQUESTS_PER_RETRY) {
            Some(balance) => self.balance = balance,
            None => return false,
        }
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_refills = now.since(self.refilled_at).as_millis() / FLOOR_REFILL.as_millis();
        if elapsed_refills == 0 {
            return;
        }
        self.refilled_at = now;
        let floor = FLOOR * REQUESTS_PER_RETRY;
        if self.balance < floor {
            let restored = (elapsed_refills as u32).min(FLOOR) * REQUESTS_PER_RETRY;
            self.balance = (self.balance + restored).min(floor);
        }
    }
}
