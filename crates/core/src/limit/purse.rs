//! What an instance has borrowed of one team's rights.

use siskinstile_macros::value;
use siskinstile_wire::message::limit::Closed;

use crate::{Instant, object::Name};

/// One loan at its borrower.
#[value]
pub struct Lump {
    /// The home that lent it.
    pub home: Name,
    /// Number of the request that it answers.
    pub sequence: u64,
    /// Tokens lent.
    pub tokens: u64,
    /// Tokens not yet spent.
    pub left: u64,
    /// When its term ends on the local clock.
    pub until: Instant,
    /// When it was last spent from.
    pub used: Instant,
}

/// The loans of one team.
#[value(default)]
pub struct Purse {
    lumps: Vec<Lump>,
}

impl Purse {
    /// Adds a loan.
    pub fn add(&mut self, lump: Lump) {
        self.lumps.push(lump);
    }

    /// Drops the loans whose term is over.
    pub fn expire(&mut self, now: Instant) {
        self.lumps.retain(|it| it.until > now);
    }

    /// Returns the tokens that may be spent now.
    pub fn tokens(&self, now: Instant) -> u64 {
        self.lumps.iter().filter(|it| it.until > now).map(|it| it.left).sum()
    }

    /// Returns whether there is no loan.
    pub fn is_empty(&self) -> bool {
        self.lumps.is_empty()
    }

    /// Spends up to `tokens`, from the loans that end first; returns what was spent.
    pub fn spend(&mut self, now: Instant, tokens: u64) -> u64 {
        self.expire(now);
        self.lumps.sort_by_key(|it| it.until);
        let mut rest = tokens;
        for lump in &mut self.lumps {
            let part = rest.min(lump.left);
            rest -= part;
            lump.left -= part;
            if part > 0 {
                lump.used = now;
            }
        }
        tokens - rest
    }

    /// Puts unused tokens back into loans that still count at their homes; returns what was put.
    pub fn put(&mut self, now: Instant, tokens: u64) -> u64 {
        self.expire(now);
        let mut rest = tokens;
        for lump in &mut self.lumps {
            let part = rest.min(lump.tokens - lump.left);
            rest -= part;
            lump.left += part;
        }
        tokens - rest
    }

    /// Gives up the loans of a home that `ends` selects.
    pub fn close(&mut self, home: &str, ends: impl Fn(&Lump) -> bool) -> Vec<Closed> {
        self.lumps
            .extract_if(.., |it| &*it.home == home && ends(it))
            .map(|it| Closed { sequence: it.sequence, left: it.left })
            .collect()
    }

    /// Returns the homes of the loans that `ends` selects, each once.
    pub fn homes(&self, ends: impl Fn(&Lump) -> bool) -> Vec<Name> {
        let mut homes: Vec<Name> =
            self.lumps.iter().filter(|it| ends(it)).map(|it| it.home.clone()).collect();
        homes.sort();
        homes.dedup();
        homes
    }
}
