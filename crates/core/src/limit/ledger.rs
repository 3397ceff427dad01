//! The parts of which an instance is an owner, and what it has lent of them.

use indexmap::IndexMap;
use siskinstile_macros::value;
use siskinstile_wire::message::limit::{Borrow, Repayment};

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{
    LOAN_TERM_AT_OWNER,
    bucket::{Bucket, Share},
};

/// What an owner keeps of its level when it lends ahead of need, as a divisor.
const AHEAD_DIVISOR: u64 = 4;

/// An instance that borrows, with its incarnation.
#[value(eq)]
pub struct Borrower {
    /// Its name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A right that has been handed over and may still be spent.
#[value]
struct Loan {
    borrower: Borrower,
    sequence: u64,
    tokens: u64,
    until: Instant,
}

/// The messages that came from one borrower.
#[value(id, default)]
struct Heard {
    incarnation: u64,
    /// Number of the newest.
    newest: u64,
    /// Which of the 64 numbers up to the newest have come, the newest in the lowest bit.
    recent: u64,
}

impl Heard {
    /// Notes a message; returns false if it came before or is too old to tell.
    fn note(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation > self.incarnation {
            *self = Heard { incarnation, newest: sequence, recent: 1 };
            return true;
        }
        if incarnation < self.incarnation {
            return false;
        }
        if sequence > self.newest {
            let ahead = (sequence - self.newest) as u32;
            self.recent = self.recent.checked_shl(ahead).unwrap_or(0) | 1;
            self.newest = sequence;
            return true;
        }
        let Some(bit) = 1_u64.checked_shl((self.newest - sequence).min(64) as u32) else {
            return false;
        };
        let fresh = self.recent & bit == 0;
        self.recent |= bit;
        fresh
    }
}

/// One team's part.
#[value]
struct Account {
    bucket: Bucket,
    part: Share,
    loans: Vec<Loan>,
    heard: IndexMap<Name, Heard>,
}

impl Account {
    fn lent(&self) -> u64 {
        self.loans.iter().map(|it| it.tokens).sum()
    }

    /// Drops the loans whose term is over and adds what was earned.
    fn settle(&mut self, now: Instant, part: Share) {
        self.bucket.settle(now, &self.part, self.lent());
        self.part = part;
        self.loans.retain(|it| it.until > now);
        self.bucket.settle(now, &self.part, self.lent());
    }

    fn close(&mut self, borrower: &Borrower, repayment: &Repayment) {
        let found = self
            .loans
            .iter()
            .position(|it| it.sequence == repayment.sequence && it.borrower == *borrower);
        let Some(index) = found else { return };
        let loan = self.loans.swap_remove(index);
        self.bucket.put(repayment.unspent.min(loan.tokens), &self.part, self.lent());
    }

    /// Notes a message; returns false if it came before.
    fn hear(&mut self, from: &Borrower, sequence: u64) -> bool {
        let heard = self.heard.entry(from.name.clone()).or_default();
        heard.note(from.incarnation, sequence)
    }
}

/// The accounts of an instance.
#[value]
pub struct Ledger {
    /// No account earns before; what an earlier incarnation lent is spent or void by then.
    opens: Instant,
    /// Whether the parts were full when they opened.
    full: bool,
    accounts: IndexMap<Name, Account>,
}

impl Ledger {
    /// Creates the ledger of an instance that starts `now`.
    pub fn new(now: Instant) -> Ledger {
        Ledger { opens: now + LOAN_TERM_AT_OWNER, full: false, accounts: IndexMap::new() }
    }

    /// Opens full parts, for the first holder that they ever had.
    pub fn open_full(&mut self, now: Instant) {
        *self = Ledger { opens: now, full: true, accounts: IndexMap::new() };
    }

    /// Forgets every level and earns again only after all that was lent is void.
    pub fn reset(&mut self, now: Instant) {
        *self = Ledger::new(now);
    }

    fn account(&mut self, now: Instant, team: &Team, ppm: u64) -> Option<&mut Account> {
        if now < self.opens {
            return None;
        }
        let part = Share::new(team, ppm);
        let (opens, full) = (self.opens, self.full);
        let account = self.accounts.entry(team.name.clone()).or_insert_with(|| Account {
            bucket: if full { Bucket::full(opens, &part) } else { Bucket::empty(opens) },
            part,
            loans: Vec::new(),
            heard: IndexMap::new(),
        });
        account.settle(now, part);
        Some(account)
    }

    /// Returns the tokens of a team that are here.
    pub fn tokens(&mut self, now: Instant, team: &Team, ppm: u64) -> u64 {
        self.account(now, team, ppm).map_or(0, |it| it.bucket.tokens())
    }

    /// Returns the tokens of a team that are lent.
    pub fn lent(&self, team: &str) -> u64 {
        self.accounts.get(team).map_or(0, Account::lent)
    }

    /// Spends tokens that are here.
    pub fn spend(&mut self, now: Instant, team: &Team, ppm: u64, tokens: u64) {
        if let Some(account) = self.account(now, team, ppm) {
            account.bucket.take(tokens);
        }
    }

    /// Puts back tokens that were charged and not used.
    pub fn put(&mut self, now: Instant, team: &Team, ppm: u64, tokens: u64) {
        if let Some(account) = self.account(now, team, ppm) {
            let lent = account.lent();
            account.bucket.put(tokens, &account.part, lent);
        }
    }

    /// Takes back what a borrower has given up and lends what it asks for, as far as it is here.
    ///
    /// Returns the tokens that are lent, or none if the message asks for nothing or came before.
    pub fn handle_borrow(
        &mut self,
        now: Instant,
        team: &Team,
        ppm: u64,
        from: Borrower,
        borrow: &Borrow,
    ) -> Option<u64> {
        let Some(account) = self.account(now, team, ppm) else {
            return (borrow.tokens + borrow.advance > 0).then_some(0);
        };
        for repayment in &borrow.repayments {
            account.close(&from, repayment);
        }
        if !account.hear(&from, borrow.sequence) {
            return None;
        }
        let lent = account.lent();
        account.bucket.put(borrow.refund, &account.part, lent);
        if borrow.tokens + borrow.advance == 0 {
            return None;
        }
        let level = account.bucket.tokens();
        let needed = borrow.tokens.min(level);
        let tokens = needed + borrow.advance.min((level - needed) / AHEAD_DIVISOR);
        account.bucket.take(tokens);
        if tokens > 0 {
            let until = now + LOAN_TERM_AT_OWNER;
            account.loans.push(Loan { borrower: from, sequence: borrow.sequence, tokens, until });
        }
        Some(tokens)
    }
}
