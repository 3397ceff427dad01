//! Histograms of latency, over the current and the last hour.

use std::time::Duration;

use hdrhistogram::{
    Histogram,
    serialization::{Deserializer, Serializer as _, V2Serializer},
};
use siskinstile_macros::value;

use crate::Instant;

/// Longest latency that is told apart, in milliseconds.
const MAX_MS: u64 = 600_000;
/// Significant decimal digits.
const DIGITS: u8 = 2;
/// Time after which the histograms are begun anew.
const TURN: Duration = Duration::from_secs(3_600);

/// The latencies of one service.
#[value(default)]
pub struct Latency {
    turn: u64,
    current: Pair,
    last: Pair,
}

#[value]
struct Pair {
    first: Histogram<u32>,
    between: Histogram<u32>,
}

impl Default for Pair {
    fn default() -> Pair {
        Pair { first: empty(), between: empty() }
    }
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MS, DIGITS).expect("the bounds are valid")
}

fn turn(now: Instant) -> u64 {
    now.0 / TURN.as_micros() as u64
}

impl Latency {
    /// Counts a request.
    pub fn record(&mut self, now: Instant, first_ms: u64, between_ms: u64) {
        let turn = turn(now);
        if turn > self.turn {
            let current = std::mem::take(&mut self.current);
            self.last = if turn == self.turn + 1 { current } else { Pair::default() };
            self.turn = turn;
        }
        self.current.first.saturating_record(first_ms.max(1));
        self.current.between.saturating_record(between_ms.max(1));
    }

    /// Returns the times to the first token.
    pub fn first_token(&self, now: Instant) -> Encoded {
        Encoded::of(&self.pairs(now).into_iter().map(|it| &it.first).collect::<Vec<_>>())
    }

    /// Returns the mean times between tokens.
    pub fn between_tokens(&self, now: Instant) -> Encoded {
        Encoded::of(&self.pairs(now).into_iter().map(|it| &it.between).collect::<Vec<_>>())
    }

    fn pairs(&self, now: Instant) -> Vec<&Pair> {
        match turn(now) - self.turn.min(turn(now)) {
            0 => vec![&self.current, &self.last],
            1 => vec![&self.current],
            _ => Vec::new(),
        }
    }
}

/// A histogram as it travels: its V2 encoding in hexadecimal digits, empty without values.
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

    /// Adds another histogram.
    pub fn merge(&mut self, other: &Encoded) {
        let mut sum = empty();
        for part in [&*self, other] {
            sum.add(part.decode()).expect("the bounds are the same");
        }
        *self = Encoded::encode(&sum);
    }

    /// Returns the value at a quantile, in milliseconds; none without values.
    pub fn quantile(&self, quantile: f64) -> Option<u64> {
        let histogram = self.decode();
        (!histogram.is_empty()).then(|| histogram.value_at_quantile(quantile))
    }

    /// Returns the number of values.
    pub fn count(&self) -> u64 {
        self.decode().len()
    }
}
