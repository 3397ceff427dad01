//! Links that delay, lose, double or cut messages.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt as _};
use siskinstile_core::{Instant, object::Name};

/// How a link treats messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Link {
    /// Shortest delay.
    pub least: Duration,
    /// Longest delay; messages overtake one another within the range.
    pub most: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub twice: f64,
    /// Whether nothing arrives.
    pub cut: bool,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            least: Duration::from_micros(1_000),
            most: Duration::from_micros(1_500),
            loss: 0.0,
            twice: 0.0,
            cut: false,
        }
    }
}

/// The links by direction; one that is not named is the usual one.
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// The usual link.
    pub usual: Link,
    named: IndexMap<(Name, Name), Link>,
}

impl Links {
    /// Returns the link of one direction, to be changed.
    pub fn between(&mut self, from: &str, to: &str) -> &mut Link {
        let usual = self.usual.clone();
        self.named.entry((from.into(), to.into())).or_insert(usual)
    }

    /// Cuts or mends both directions.
    pub fn cut(&mut self, a: &str, b: &str, cut: bool) {
        self.between(a, b).cut = cut;
        self.between(b, a).cut = cut;
    }

    /// Returns when a message sent now arrives: never, once or twice.
    pub fn arrivals(&self, now: Instant, rng: &mut impl Rng, from: &str, to: &str) -> Vec<Instant> {
        let link = self.named.get(&(from.into(), to.into())).unwrap_or(&self.usual);
        if link.cut || (link.loss > 0.0 && rng.random_bool(link.loss)) {
            return Vec::new();
        }
        let copies = 1 + usize::from(link.twice > 0.0 && rng.random_bool(link.twice));
        let (least, most) = (link.least.as_micros() as u64, link.most.as_micros() as u64);
        let delay = |rng: &mut _| Duration::from_micros(Rng::next_u64(rng) % (most - least + 1));
        (0..copies).map(|_| now + link.least + delay(rng)).collect()
    }
}
