//! Tokens that an instance has borrowed of one team's rate.

use siskinstile_macros::value;
use siskinstile_wire::message::limit::Repayment;

use crate::{Instant, object::Name};

/// A loan, as its borrower records it.
#[value]
pub struct Loan {
    /// The owner that granted the loan.
    pub owner: Name,
    /// Sequence number of the borrow request.
    pub sequence: u64,
    /// Tokens lent.
    pub tokens: u64,
    /// Tokens not spent yet.
    pub unspent: u64,
    /// When the loan expires on the local clock.
    pub expires: Instant,
    /// When tokens of it were last spent.
    pub last_used: Instant,
}

/// The loans of one team.
#[value(default)]
pub struct Loans {
    loans: Vec<Loan>,
}

impl Loans {
    /// Adds a loan; it may be spent until it expires.
    pub fn add(&mut self, loan: Loan) {
        self.loans.push(loan);
    }

    /// Drops expired loans.
    pub fn expire(&mut self, now: Instant) {
        self.loans.retain(|it| it.expires > now);
    }

    /// Returns the tokens available now.
    pub fn tokens(&self, now: Instant) -> u64 {
        self.loans.iter().filter(|it| it.expires > now).map(|it| it.unspent).sum()
    }

    /// Returns whether there is no loan, expired ones included.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Spends up to `tokens`, from the loans that expire first. Returns the tokens spent.
    pub fn spend(&mut self, now: Instant, tokens: u64) -> u64 {
        self.expire(now);
        self.loans.sort_by_key(|it| it.expires);
        let mut remaining = tokens;
        for loan in &mut self.loans {
            let amount = remaining.min(loan.unspent);
            remaining -= amount;
            loan.unspent -= amount;
            if amount > 0 {
                loan.last_used = now;
            }
        }
        tokens - remaining
    }

    /// Returns unused tokens to loans that have not expired. Returns the tokens restored.
    pub fn restore(&mut self, now: Instant, tokens: u64) -> u64 {
        self.expire(now);
        let mut remaining = tokens;
        for loan in &mut self.loans {
            let amount = remaining.min(loan.tokens - loan.unspent);
            remaining -= amount;
            loan.unspent += amount;
        }
        tokens - remaining
    }

    /// Removes the loans of `owner` that match `selects` and returns their repayments.
    pub fn close(&mut self, owner: &str, selects: impl Fn(&Loan) -> bool) -> Vec<Repayment> {
        self.loans
            .extract_if(.., |it| &*it.owner == owner && selects(it))
            .map(|it| Repayment { sequence: it.sequence, unspent: it.unspent })
            .collect()
    }

    /// Returns the distinct owners of the loans that match `selects`.
    pub fn owners(&self, selects: impl Fn(&Loan) -> bool) -> Vec<Name> {
        let mut owners: Vec<Name> =
            self.loans.iter().filter(|it| selects(it)).map(|it| it.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        owners
    }
}
