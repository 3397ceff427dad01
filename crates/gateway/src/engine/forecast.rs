//! Estimates learned from traffic: prompt computation time, decode residence time and demand.

use std::time::Duration;

use siskinstile_macros::value;

use super::split::Demand;
use crate::request::Tokens;

/// Weight of a new sample in an exponentially weighted mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new request in the mean request sizes; lower, since sizes vary widely.
const REQUEST_SAMPLE_WEIGHT: f64 = 0.05;
/// Factor by which the weight of older prompts decays with each new one.
const DECAY: f64 = 0.98;
/// Assumed time for each prompt token, in milliseconds, before any prompt has been measured.
const ASSUMED_TOKEN_MS: f64 = 0.02;
/// Assumed time for each generated token, in milliseconds, before any stream has been measured.
const ASSUMED_GENERATION_MS: f64 = 10.0;
/// Assumed constant time for each prompt, in milliseconds, before any has been measured.
const ASSUMED_PROMPT_MS: f64 = 50.0;
/// Weight of a prompt that took longer than the fit predicts, since the engine may have computed
/// others at the same time.
const SLOW_PROMPT_WEIGHT: f64 = 0.1;
/// Minimum number of measured prompts for the fit to be used.
const MIN_PROMPTS: u32 = 5;
/// Weight of the assumed time for each token: that of ten prompts whose lengths differ by 2,000
/// tokens.
const PRIOR_VARIANCE: f64 = 10.0 * 10.0 * 2_000.0 * 2_000.0;
/// Assumed time that a request stays at a decode engine, before any has been measured.
const ASSUMED_STAY: Duration = Duration::from_secs(3);
/// Minimum number of requests for their mean size to be used.
const MIN_REQUESTS: u32 = 5;
/// Minimum number of completed streams for their mean token time to be used.
const MIN_STREAMS: u32 = 3;
/// Minimum timeout of a prompt computation.
const MIN_PROMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Ratio of the timeout of a prompt computation to its expected time.
const PROMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// Weighted linear fit of prompt computation time over prompt length, biased towards the lower
/// edge of the samples.
///
/// Prompts of other instances whose heartbeats have not arrived yet can only lengthen a sample, so
/// the shorter times show what a prompt takes on its own.
#[value(default)]
struct Fit {
    /// Number of prompts measured.
    samples: u32,
    /// Sum of the weights; it and the weighted sums below decay with each new sample.
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Fit {
    fn add(&mut self, tokens: f64, ms: f64) {
        let (base, slope) = self.coefficients();
        let weight = if ms > base + slope * tokens { SLOW_PROMPT_WEIGHT } else { 1.0 };
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.ms,
            &mut self.tokens_squared,
            &mut self.tokens_ms,
        ] {
            *sum *= DECAY;
        }
        self.samples += 1;
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_ms += weight * tokens * ms;
    }

    /// Returns the constant time for a prompt and the time for each token, in milliseconds.
    fn coefficients(&self) -> (f64, f64) {
        if self.samples < MIN_PROMPTS {
            return (ASSUMED_PROMPT_MS, ASSUMED_TOKEN_MS);
        }
        // Few prompts, or prompts of similar length, determine the slope poorly, so the assumed
        // time for each token is weighted in.
        let variance = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let covariance = self.weight * self.tokens_ms - self.tokens * self.ms;
        let slope = (covariance + PRIOR_VARIANCE * ASSUMED_TOKEN_MS) / (variance + PRIOR_VARIANCE);
        let slope = slope.clamp(ASSUMED_TOKEN_MS / 10.0, ASSUMED_TOKEN_MS * 10.0);
        let base = (self.ms - slope * self.tokens) / self.weight;
        (base.max(0.0), slope)
    }
}

/// Mean sizes of the requests that have arrived, independent of how the requests end.
#[value(default)]
struct RequestMeans {
    requests: u32,
    prompt_tokens: f64,
    output_tokens: f64,
}

impl RequestMeans {
    fn add(&mut self, tokens: Tokens) {
        self.requests += 1;
        let weight = REQUEST_SAMPLE_WEIGHT.max(1.0 / f64::from(self.requests));
        let output = tokens.expected_total() - tokens.prompt;
        self.prompt_tokens += (tokens.prompt as f64 - self.prompt_tokens) * weight;
        self.output_tokens += (output as f64 - self.output_tokens) * weight;
    }
}

/// Estimates for one service from the requests that this instance has handled.
#[value]
pub struct Forecast {
    prompts: Fit,
    request_means: RequestMeans,
    /// Mean time that a request stays at a decode engine, in milliseconds.
    stay_ms: f64,
    /// Mean time for each generated token, in milliseconds, over `streams` streams.
    token_ms: f64,
    streams: u32,
}

impl Default for Forecast {
    fn default() -> Forecast {
        Forecast {
            prompts: Fit::default(),
            request_means: RequestMeans::default(),
            stay_ms: ASSUMED_STAY.as_secs_f64() * 1_000.0,
            token_ms: 0.0,
            streams: 0,
        }
    }
}

impl Forecast {
    /// Records the size of an arriving request.
    pub fn record_request(&mut self, tokens: Tokens) {
        self.request_means.add(tokens);
    }

    /// Records the computation time of a prompt on an engine without other known prompts.
    pub fn record_prompt(&mut self, tokens: u64, duration: Duration) {
        self.prompts.add(tokens as f64, duration.as_secs_f64() * 1_000.0);
    }

    /// Records how long a request stayed at a decode engine.
    pub fn record_stay(&mut self, duration: Duration) {
        self.stay_ms += (duration.as_secs_f64() * 1_000.0 - self.stay_ms) * SAMPLE_WEIGHT;
    }

    /// Records how long the tokens of a stream took after its first event; without tokens, nothing
    /// is recorded.
    pub fn record_stream(&mut self, tokens: u64, duration: Duration) {
        if tokens == 0 {
            return;
        }
        self.streams += 1;
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams));
        let token_ms = duration.as_secs_f64() * 1_000.0 / tokens as f64;
        self.token_ms += (token_ms - self.token_ms) * weight;
    }

    /// Returns the demand of an average request on engines with the given memory; `None` before
    /// there are enough samples.
    pub fn demand(&self, memory_tokens: u64) -> Option<Demand> {
        let RequestMeans { requests, prompt_tokens, output_tokens } = self.request_means;
        let is_known = requests >= MIN_REQUESTS
            && self.streams >= MIN_STREAMS
            && self.prompts.samples >= MIN_PROMPTS;
        is_known.then(|| Demand {
            prompt_ms: self.compute_ms(prompt_tokens as u64),
            stay_ms: self.prompt_latency_ms(prompt_tokens as u64) + output_tokens * self.token_ms,
            memory_share: (prompt_tokens + output_tokens) / memory_tokens.max(1) as f64,
        })
    }

    /// Returns the time for which `tokens` prompt tokens occupy an engine, in milliseconds, without
    /// the constant time for each prompt.
    pub fn compute_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prompts.coefficients().1
    }

    /// Returns the time for which a prompt of mean length occupies an engine, in milliseconds.
    pub fn mean_compute_ms(&self) -> f64 {
        self.compute_ms(self.request_means.prompt_tokens as u64)
    }

    /// Returns the time in which an idle engine computes a prompt, in milliseconds.
    pub fn prompt_latency_ms(&self, tokens: u64) -> f64 {
        self.prompts.coefficients().0 + self.compute_ms(tokens)
    }

    /// Returns the time in which an idle engine computes a prompt; `None` before any was observed.
    pub fn usual_prompt(&self, tokens: u64) -> Option<Duration> {
        let is_known = self.prompts.samples >= MIN_PROMPTS;
        is_known.then(|| Duration::from_secs_f64(self.prompt_latency_ms(tokens) / 1_000.0))
    }

    /// Returns the mean time in which tokens of a stream are generated, in milliseconds.
    pub fn generation_ms(&self, tokens: u64) -> f64 {
        let is_known = self.streams >= MIN_STREAMS;
        tokens as f64 * if is_known { self.token_ms } else { ASSUMED_GENERATION_MS }
    }

    /// Returns the timeout of a prompt computation behind `backlog` other prompt tokens.
    pub fn prompt_timeout(&self, tokens: u64, backlog: u64) -> Duration {
        let expected = Duration::from_secs_f64(self.prompt_latency_ms(tokens + backlog) / 1_000.0);
        expected.mul_f64(PROMPT_TIMEOUT_FACTOR).max(MIN_PROMPT_TIMEOUT)
    }

    /// Returns the mean time that a request stays at a decode engine.
    pub fn mean_stay(&self) -> Duration {
        Duration::from_secs_f64(self.stay_ms / 1_000.0)
    }

    /// Returns the mean time until the next slot becomes free while `running` requests are running.
    pub fn slot_interval(&self, running: u32) -> Duration {
        self.mean_stay().div_f64(f64::from(running.max(1)))
    }

    /// Returns the expected wait of a queued request behind `ahead` others while `running` requests
    /// are running.
    pub fn queue_wait(&self, ahead: u32, running: u32) -> Duration {
        self.slot_interval(running).mul_f64(f64::from(ahead + 1))
    }
}
