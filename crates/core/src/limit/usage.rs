//! What a team has used at this instance, and why it was refused.

use std::time::Duration;

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::Instant;

use super::Cause;

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Counts of one team.
#[value(default)]
pub struct Usage {
    /// Tokens granted, less those given back.
    pub granted: u64,
    /// Tokens given back.
    pub returned: u64,
    /// Refusals by cause.
    pub refused: IndexMap<Cause, u64>,
    window: Instant,
    in_window: u64,
    demand: u64,
}

impl Usage {
    /// Counts tokens that a request wants.
    pub fn wanted(&mut self, now: Instant, tokens: u64) {
        self.roll(now);
        self.in_window += tokens;
    }

    /// Returns the recent demand, in tokens a second.
    pub fn demand(&mut self, now: Instant) -> u64 {
        self.roll(now);
        self.demand.max(self.in_window)
    }

    fn roll(&mut self, now: Instant) {
        let passed = now.since(self.window);
        if passed < DEMAND_WINDOW {
            return;
        }
        let windows = (passed.as_millis() / DEMAND_WINDOW.as_millis()).min(63) as u32;
        self.demand = ((self.demand + self.in_window) / 2) >> (windows - 1);
        self.in_window = 0;
        self.window = now;
    }

    /// Counts a refusal.
    pub fn refuse(&mut self, cause: Cause) {
        *self.refused.entry(cause).or_default() += 1;
    }

    /// Returns the counts as JSON.
    pub fn value(&self) -> Value {
        json!({ "granted": self.granted, "returned": self.returned, "refused": self.refused })
    }
}
