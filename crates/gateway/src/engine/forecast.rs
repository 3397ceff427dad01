//! What has been learnt of engines: how fast prompts are computed, how long requests stay.

use std::time::Duration;

use siskinstile_macros::value;

use super::split::Demand;
use crate::request::Tokens;

/// Weight of a new sample in a mean.
const SAMPLE: f64 = 0.1;
/// Weight of a new request in the means of what is asked for; sizes differ by far.
const ASKED_SAMPLE: f64 = 0.05;
/// Weight that older prompts keep with each new one.
const MEMORY: f64 = 0.98;
/// Time for each token of a prompt, in milliseconds, before any prompt was seen.
const FIRST_TOKEN_MS: f64 = 0.02;
/// Time for any prompt besides, in milliseconds, before any was seen.
const FIRST_PROMPT_MS: f64 = 50.0;
/// Weight of a prompt that took longer than the line tells: others may have been computed beside it.
const LONGER: f64 = 0.1;
/// Prompts of different lengths that have to be seen before the line through them counts.
const LEAST_PROMPTS: u32 = 5;
/// Weight of the assumed time for each token: that of ten prompts which differ by 2,000 tokens.
const ASSUMED_SPREAD: f64 = 10.0 * 10.0 * 2_000.0 * 2_000.0;
/// Time that a request stays at a decode engine, before any was seen.
const STAY: Duration = Duration::from_secs(3);
/// Requests that have to arrive before their mean counts.
const LEAST_ASKED: u32 = 5;
/// Streams that have to end before their mean counts.
const LEAST_STREAMS: u32 = 3;
/// Shortest time that is waited for a computed prompt.
const PROMPT_LIMIT_FLOOR: Duration = Duration::from_millis(500);
/// Factor between the time expected for a prompt and the limit on it.
const PROMPT_LIMIT_FACTOR: f64 = 4.0;

/// The line below most prompts that were seen: time over length.
///
/// What an engine does for instances that are not heard yet only lengthens a prompt, so that the shorter
/// times tell what one takes alone.
#[value(default)]
struct Line {
    /// Prompts that were seen.
    seen: u32,
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Line {
    fn add(&mut self, tokens: f64, ms: f64) {
        let (base, slope) = self.fit();
        let weight = if ms > base + slope * tokens { LONGER } else { 1.0 };
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.ms,
            &mut self.tokens_squared,
            &mut self.tokens_ms,
        ] {
            *sum *= MEMORY;
        }
        self.seen += 1;
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_ms += weight * tokens * ms;
    }

    /// Returns the time for a prompt of no length and for each token, in milliseconds.
    fn fit(&self) -> (f64, f64) {
        if self.seen < LEAST_PROMPTS {
            return (FIRST_PROMPT_MS, FIRST_TOKEN_MS);
        }
        // Few prompts, or prompts of like length, say little of the slope: what was assumed before any
        // was seen counts beside them.
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let together = self.weight * self.tokens_ms - self.tokens * self.ms;
        let slope = (together + ASSUMED_SPREAD * FIRST_TOKEN_MS) / (spread + ASSUMED_SPREAD);
        let slope = slope.clamp(FIRST_TOKEN_MS / 10.0, FIRST_TOKEN_MS * 10.0);
        let base = (self.ms - slope * self.tokens) / self.weight;
        (base.max(0.0), slope)
    }
}

/// Means over the requests that have arrived; what they ask for does not depend on how they end.
#[value(default)]
struct Asked {
    requests: u32,
    prompt_tokens: f64,
    output_tokens: f64,
}

impl Asked {
    fn add(&mut self, tokens: Tokens) {
        self.requests += 1;
        let weight = ASKED_SAMPLE.max(1.0 / f64::from(self.requests));
        let output = tokens.expected_total() - tokens.prompt;
        self.prompt_tokens += (tokens.prompt as f64 - self.prompt_tokens) * weight;
        self.output_tokens += (output as f64 - self.output_tokens) * weight;
    }
}

/// What has been learnt from the requests that this instance has seen.
#[value]
pub struct Forecast {
    prompts: Line,
    asked: Asked,
    stay_ms: f64,
    /// Time for each generated token, in milliseconds, and the number of streams it was seen on.
    token_ms: f64,
    streams: u32,
}

impl Default for Forecast {
    fn default() -> Forecast {
        Forecast {
            prompts: Line::default(),
            asked: Asked::default(),
            stay_ms: STAY.as_secs_f64() * 1_000.0,
            token_ms: 0.0,
            streams: 0,
        }
    }
}

impl Forecast {
    /// Notes what a request asks for.
    pub fn record_request(&mut self, tokens: Tokens) {
        self.asked.add(tokens);
    }

    /// Notes how long a prompt took on an engine that had nothing else to compute.
    pub fn record_prompt(&mut self, tokens: u64, took: Duration) {
        self.prompts.add(tokens as f64, took.as_secs_f64() * 1_000.0);
    }

    /// Notes how long a request stayed at a decode engine.
    pub fn record_stay(&mut self, took: Duration) {
        self.stay_ms += (took.as_secs_f64() * 1_000.0 - self.stay_ms) * SAMPLE;
    }

    /// Notes how long the tokens of a stream took after its first event.
    pub fn record_stream(&mut self, tokens: u64, took: Duration) {
        if tokens == 0 {
            return;
        }
        self.streams += 1;
        let weight = SAMPLE.max(1.0 / f64::from(self.streams));
        let each = took.as_secs_f64() * 1_000.0 / tokens as f64;
        self.token_ms += (each - self.token_ms) * weight;
    }

    /// Returns what a mean request takes of engines with the given memory, once enough were seen.
    pub fn demand(&self, memory_tokens: u64) -> Option<Demand> {
        let Asked { requests, prompt_tokens, output_tokens } = self.asked;
        let known = requests >= LEAST_ASKED
            && self.streams >= LEAST_STREAMS
            && self.prompts.seen >= LEAST_PROMPTS;
        known.then(|| Demand {
            prompt_ms: self.compute_ms(prompt_tokens as u64),
            stay_ms: self.prompt_latency_ms(prompt_tokens as u64) + output_tokens * self.token_ms,
            memory: (prompt_tokens + output_tokens) / memory_tokens.max(1) as f64,
        })
    }

    /// Returns the time for which prompt tokens keep an engine busy, in milliseconds.
    pub fn compute_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prompts.fit().1
    }

    /// Returns the time for which a mean prompt keeps an engine busy, in milliseconds.
    pub fn mean_compute_ms(&self) -> f64 {
        self.compute_ms(self.asked.prompt_tokens as u64)
    }

    /// Returns the time until a prompt is computed by an idle engine, in milliseconds.
    pub fn prompt_latency_ms(&self, tokens: u64) -> f64 {
        self.prompts.fit().0 + self.compute_ms(tokens)
    }

    /// Returns how long a computed prompt is waited for, behind others that amount to `backlog` tokens.
    pub fn prompt_timeout(&self, tokens: u64, backlog: u64) -> Duration {
        let expected = Duration::from_secs_f64(self.prompt_latency_ms(tokens + backlog) / 1_000.0);
        expected.mul_f64(PROMPT_LIMIT_FACTOR).max(PROMPT_LIMIT_FLOOR)
    }

    /// Returns the mean time that a request stays at a decode engine.
    pub fn mean_stay(&self) -> Duration {
        Duration::from_secs_f64(self.stay_ms / 1_000.0)
    }

    /// Returns the time in which one place becomes free, while `running` requests leave one by one.
    pub fn slot_interval(&self, running: u32) -> Duration {
        self.mean_stay().div_f64(f64::from(running.max(1)))
    }

    /// Returns how long the request behind `ahead` others waits while `running` requests leave one
    /// by one.
    pub fn queue_wait(&self, ahead: u32, running: u32) -> Duration {
        self.slot_interval(running).mul_f64(f64::from(ahead + 1))
    }
}
