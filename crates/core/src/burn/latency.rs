//! Latency histograms over the current and the previous hour.

use std::time::Duration;

use hdrhistogram::{
    Histogram,
    serialization::{Deserializer, Serializer as _, V2Serializer},
};
use siskinstile_macros::value;

use crate::Instant;

/// Largest latency recorded, in milliseconds; larger values count as this one.
const MAX_MS: u64 = 600_000;
/// Precision of the histograms, in significant decimal digits.
const DIGITS: u8 = 2;
/// Period after which the current histograms become the previous ones.
const PERIOD: Duration = Duration::from_secs(3_600);

/// Latency histograms of one service.
#[value(default)]
pub struct Latency {
    period: u64,
    current: Histograms,
    previous: Histograms,
}

#[value]
struct Histograms {
    first: Histogram<u32>,
    between: Histogram<u32>,
}

impl Default for Histograms {
    fn default() -> Histograms {
        Histograms { first: empty(), between: empty() }
    }
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MS, DIGITS).expect("the bounds are valid")
}

fn period(now: Instant) -> u64 {
    now.0 / PERIOD.as_micros() as u64
}

impl Latency {
    /// Records the latencies of one request, in milliseconds; zero counts as 1 ms.
    pub fn record(&mut self, now: Instant, first_ms: u64, between_ms: u64) {
        let period = period(now);
        if period > self.period {
            let current = std::mem::take(&mut self.current);
            self.previous = if period == self.period + 1 { current } else { Histograms::default() };
            self.period = period;
        }
        self.current.first.saturating_record(first_ms.max(1));
        self.current.between.saturating_record(between_ms.max(1));
    }

    /// Returns the histogram of the time to the first token.
    pub fn first_token(&self, now: Instant) -> Encoded {
        Encoded::of(&self.histograms(now).into_iter().map(|it| &it.first).collect::<Vec<_>>())
    }

    /// Returns the histogram of the mean time between tokens.
    pub fn between_tokens(&self, now: Instant) -> Encoded {
        Encoded::of(&self.histograms(now).into_iter().map(|it| &it.between).collect::<Vec<_>>())
    }

    fn histograms(&self, now: Instant) -> Vec<&Histograms> {
        match period(now) - self.period.min(period(now)) {
            0 => vec![&self.current, &self.previous],
            1 => vec![&self.current],
            _ => Vec::new(),
        }
    }
}

/// A histogram in its serialised form: the V2 encoding of HdrHistogram in hexadecimal digits; empty
/// without values.
#[value(serde, default, eq)]
pub struct Encoded(pub String);

impl Encoded {
    fn of(parts: &[&Histogram<u32>]) -> Encoded {
        let mut sum = empty();
        for part in parts {
            sum.add(*part).expect("the bounds are the same");
        }
        Encoded::encode(&sum)
    }

    fn encode(histogram: &Histogram<u32>) -> Encoded {
        let mut bytes = Vec::new();
        match V2Serializer::new().serialize(histogram, &mut bytes) {
            Ok(_) if !histogram.is_empty() => Encoded(hex::encode(bytes)),
            _ => Encoded::default(),
        }
    }

    fn decode(&self) -> Histogram<u32> {
        let bytes = hex::decode(&self.0).unwrap_or_default();
        let decoded = Deserializer::new().deserialize(&mut bytes.as_slice());
        decoded.unwrap_or_else(|_| empty())
    }

    /// Adds the values of another histogram.
    pub fn merge(&mut self, other: &Encoded) {
        let mut sum = empty();
        for part in [&*self, other] {
            sum.add(part.decode()).expect("the bounds are the same");
        }
        *self = Encoded::encode(&sum);
    }

    /// Returns the value at a quantile from 0 to 1, in milliseconds; none without values.
    pub fn quantile(&self, quantile: f64) -> Option<u64> {
        let histogram = self.decode();
        (!histogram.is_empty()).then(|| histogram.value_at_quantile(quantile))
    }

    /// Returns the number of recorded values.
    pub fn count(&self) -> u64 {
        self.decode().len()
    }
}
