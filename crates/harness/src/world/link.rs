//! Links that delay, lose, double or cut messages.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt as _};
use siskinstile_core::{Instant, object::Name};

/// How a link treats messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Link {
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay; messages overtake one another within the range.
    pub max_delay: Duration,
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Share of messages that arrive twice.
    pub duplicate_rate: f64,
    /// Whether nothing arrives.
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

/// The links by direction; one that is not named is the usual one.
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// The usual link.
    pub default_link: Link,
    named: IndexMap<(Name, Name), Link>,
}

impl Links {
    /// Returns the link of one direction, to be changed.
    pub fn between(&mut self, from: &str, to: &str) -> &mut Link {
        let link = self.default_link.clone();
        self.named.entry((from.into(), to.into())).or_insert(link)
    }

    /// Cuts or mends both directions.
    pub fn set_cut(&mut self, a: &str, b: &str, cut: bool) {
        self.between(a, b).cut = cut;
        self.between(b, a).cut = cut;
    }

    /// Returns when a message sent now arrives: never, once or twice.
    pub fn arrivals(&self, now: Instant, rng: &mut impl Rng, from: &str, to: &str) -> Vec<Instant> {
        let link = self.named.get(&(from.into(), to.into())).unwrap_or(&self.default_link);
        if link.cut || (link.loss_rate > 0.0 && rng.random_bool(link.loss_rate)) {
            return Vec::new();
        }
        let copies =
            1 + usize::from(link.duplicate_rate > 0.0 && rng.random_bool(link.duplicate_rate));
        let (min_delay, max_delay) =
            (link.min_delay.as_micros() as u64, link.max_delay.as_micros() as u64);
        let delay =
            |rng: &mut _| Duration::from_micros(Rng::next_u64(rng) % (max_delay - min_delay + 1));
        (0..copies).map(|_| now + link.min_delay + delay(rng)).collect()
    }
}
