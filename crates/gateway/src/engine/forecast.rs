//! What has been learnt of engines: how fast prompts are computed, how long requests stay.

use std::time::Duration;

use siskinstile_macros::value;

/// Weight of a new sample in a mean.
const SAMPLE: f64 = 0.1;
/// Prompt tokens that an engine computes in a millisecond, before any was seen.
const PROMPT_TOKENS_PER_MS: f64 = 50.0;
/// Time that a request stays at a decode engine, before any was seen.
const STAY: Duration = Duration::from_secs(3);
/// Shortest time that is waited for a computed prompt.
const PROMPT_LIMIT_FLOOR: Duration = Duration::from_millis(500);
/// Factor between the time expected for a prompt and the limit on it.
const PROMPT_LIMIT_FACTOR: f64 = 3.0;

/// Means over the requests that this instance has seen.
#[value]
pub struct Forecast {
    prompt_tokens_per_ms: f64,
    stay_ms: f64,
}

impl Default for Forecast {
    fn default() -> Forecast {
        Forecast {
            prompt_tokens_per_ms: PROMPT_TOKENS_PER_MS,
            stay_ms: STAY.as_secs_f64() * 1_000.0,
        }
    }
}

impl Forecast {
    /// Notes how long a prompt took on an engine that had nothing else to compute.
    pub fn prompt_seen(&mut self, tokens: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        if ms > 0.0 {
            self.prompt_tokens_per_ms += (tokens as f64 / ms - self.prompt_tokens_per_ms) * SAMPLE;
        }
    }

    /// Notes how long a request stayed at a decode engine.
    pub fn stay_seen(&mut self, took: Duration) {
        self.stay_ms += (took.as_secs_f64() * 1_000.0 - self.stay_ms) * SAMPLE;
    }

    /// Returns the time that prompt tokens take, in milliseconds.
    pub fn prompt_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prompt_tokens_per_ms
    }

    /// Returns how long a computed prompt is waited for, behind others that amount to `backlog` tokens.
    pub fn prompt_limit(&self, tokens: u64, backlog: u64) -> Duration {
        let expected = Duration::from_secs_f64(self.prompt_ms(tokens + backlog) / 1_000.0);
        expected.mul_f64(PROMPT_LIMIT_FACTOR).max(PROMPT_LIMIT_FLOOR)
    }

    /// Returns the mean time that a request stays at a decode engine.
    pub fn stay(&self) -> Duration {
        Duration::from_secs_f64(self.stay_ms / 1_000.0)
    }

    /// Returns how long the request behind `ahead` others waits while `running` requests leave one
    /// by one.
    pub fn wait(&self, ahead: u32, running: u32) -> Duration {
        self.stay().mul_f64(f64::from(ahead + 1) / f64::from(running.max(1)))
    }
}
