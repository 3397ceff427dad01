//! Network links that delay, lose, duplicate or block messages.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt as _};
use siskinstile_core::{Instant, object::Name};

/// Properties of a link in one direction.
#[derive(Debug, Clone, PartialEq)]
pub struct Link {
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay; each message gets a random delay in the range, so messages can be reordered.
    pub max_delay: Duration,
    /// Fraction of messages that are lost.
    pub loss_rate: f64,
    /// Fraction of messages that arrive twice.
    pub duplicate_rate: f64,
    /// Whether the link drops every message.
    pub cut: bool,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            min_delay: Duration::from_micros(1_000),
            max_delay: Duration::from_micros(1_500),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            cut: false,
        }
    }
}

/// Links by direction, with a default for the directions that have no link of their own.
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// Link of every direction without one of its own.
    pub default_link: Link,
    overrides: IndexMap<(Name, Name), Link>,
}

impl Links {
    /// Returns the link of one direction for modification, created from the default if missing.
    pub fn between(&mut self, from: &str, to: &str) -> &mut Link {
        let link = self.default_link.clone();
        self.overrides.entry((from.into(), to.into())).or_insert(link)
    }

    /// Cuts both directions between two ends, or ends the cut; other properties stay.
    pub fn set_cut(&mut self, a: &str, b: &str, cut: bool) {
        self.between(a, b).cut = cut;
        self.between(b, a).cut = cut;
    }

    /// Returns the arrival times of a message sent now: none if lost, two if duplicated.
    pub fn arrivals(&self, now: Instant, rng: &mut impl Rng, from: &str, to: &str) -> Vec<Instant> {
        let link = self.overrides.get(&(from.into(), to.into())).unwrap_or(&self.default_link);
        if link.cut || (link.loss_rate > 0.0 && rng.random_bool(link.loss_rate)) {
            return Vec::new();
        }
        let count =
            1 + usize::from(link.duplicate_rate > 0.0 && rng.random_bool(link.duplicate_rate));
        let (min_delay, max_delay) =
            (link.min_delay.as_micros() as u64, link.max_delay.as_micros() as u64);
        let delay =
            |rng: &mut _| Duration::from_micros(Rng::next_u64(rng) % (max_delay - min_delay + 1));
        (0..count).map(|_| now + link.min_delay + delay(rng)).collect()
    }
}
