//! What an instance has borrowed of one team's rights.

use siskinstile_macros::value;
use siskinstile_wire::message::limit::Repayment;

use crate::{Instant, object::Name};

/// One loan at its borrower.
#[value]
pub struct Loan {
    /// The owner that lent it.
    pub owner: Name,
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
pub struct Loans {
    loans: Vec<Loan>,
}

impl Loans {
    /// Adds a loan.
    pub fn add(&mut self, loan: Loan) {
        self.loans.push(loan);
    }

    /// Drops the loans whose term is over.
    pub fn expire(&mut self, now: Instant) {
        self.loans.retain(|it| it.until > now);
    }

    /// Returns the tokens that may be spent now.
    pub fn tokens(&self, now: Instant) -> u64 {
        self.loans.iter().filter(|it| it.until > now).map(|it| it.left).sum()
    }

    /// Returns whether there is no loan.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Spends up to `tokens`, from the loans that end first; returns what was spent.
    pub fn spend(&mut self, now: Instant, tokens: u64) -> u64 {
        self.expire(now);
        self.loans.sort_by_key(|it| it.until);
        let mut rest = tokens;
        for loan in &mut self.loans {
            let part = rest.min(loan.left);
            rest -= part;
            loan.left -= part;
            if part > 0 {
                loan.used = now;
            }
        }
        tokens - rest
    }

    /// Puts unused tokens back into loans that still count at their owners; returns what was put.
    pub fn put(&mut self, now: Instant, tokens: u64) -> u64 {
        self.expire(now);
        let mut rest = tokens;
        for loan in &mut self.loans {
            let part = rest.min(loan.tokens - loan.left);
            rest -= part;
            loan.left += part;
        }
        tokens - rest
    }

    /// Gives up the loans of an owner that `ends` selects.
    pub fn close(&mut self, owner: &str, ends: impl Fn(&Loan) -> bool) -> Vec<Repayment> {
        self.loans
            .extract_if(.., |it| &*it.owner == owner && ends(it))
            .map(|it| Repayment { sequence: it.sequence, unspent: it.left })
            .collect()
    }

    /// Returns the owners of the loans that `ends` selects, each once.
    pub fn owners(&self, ends: impl Fn(&Loan) -> bool) -> Vec<Name> {
        let mut owners: Vec<Name> =
            self.loans.iter().filter(|it| ends(it)).map(|it| it.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        owners
    }
}
