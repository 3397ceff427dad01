//! Token usage of a team at this instance, and its refusals by cause.

use std::time::Duration;

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::Instant;

use super::Cause;

/// Time window over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Usage counters of one team.
#[value(default)]
pub struct Usage {
    /// Tokens granted, less refunds.
    pub granted: u64,
    /// Tokens refunded.
    pub returned: u64,
    /// Refusals by cause.
    pub refused: IndexMap<Cause, u64>,
    window_start: Instant,
    window_tokens: u64,
    demand: u64,
}

impl Usage {
    /// Records the tokens that a request requires, whether or not they are granted.
    pub fn record_demand(&mut self, now: Instant, tokens: u64) {
        self.roll(now);
        self.window_tokens += tokens;
    }

    /// Returns the recent demand, in tokens per second.
    pub fn demand(&mut self, now: Instant) -> u64 {
        self.roll(now);
        self.demand.max(self.window_tokens)
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.since(self.window_start);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let windows = (elapsed.as_millis() / DEMAND_WINDOW.as_millis()).min(63) as u32;
        self.demand = ((self.demand + self.window_tokens) / 2) >> (windows - 1);
        self.window_tokens = 0;
        self.window_start = now;
    }

    /// Counts a refusal.
    pub fn record_refusal(&mut self, cause: Cause) {
        *self.refused.entry(cause).or_default() += 1;
    }

    /// Returns the counters as JSON, for status reports.
    pub fn to_json(&self) -> Value {
        json!({ "granted": self.granted, "returned": self.returned, "refused": self.refused })
    }
}
