//! Token buckets of the shares that an instance owns, and the loans that it has granted.

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

/// When an owner lends in advance of need, it lends at most its remaining level divided by this.
const ADVANCE_DIVISOR: u64 = 4;

/// An instance that borrows tokens.
#[value(eq)]
pub struct Borrower {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

/// An outstanding loan, which the borrower may still spend.
#[value]
struct Loan {
    borrower: Borrower,
    sequence: u64,
    tokens: u64,
    expires: Instant,
}

/// Sliding window over the sequence numbers of one borrower, which detects repeated messages.
#[value(id, default)]
struct ReplayWindow {
    incarnation: u64,
    /// Highest sequence number received.
    highest: u64,
    /// Bitmap of the last 64 sequence numbers received; the lowest bit is `highest`.
    bitmap: u64,
}

impl ReplayWindow {
    /// Records a message. Returns false if it is a repetition, too old for the window or of an
    /// earlier incarnation.
    fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation > self.incarnation {
            *self = ReplayWindow { incarnation, highest: sequence, bitmap: 1 };
            return true;
        }
        if incarnation < self.incarnation {
            return false;
        }
        if sequence > self.highest {
            let shift = (sequence - self.highest) as u32;
            self.bitmap = self.bitmap.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let Some(bit) = 1_u64.checked_shl((self.highest - sequence).min(64) as u32) else {
            return false;
        };
        let is_new = self.bitmap & bit == 0;
        self.bitmap |= bit;
        is_new
    }
}

/// Bucket, loans and replay windows of one team.
#[value]
struct Account {
    bucket: Bucket,
    share: Share,
    loans: Vec<Loan>,
    replay_windows: IndexMap<Name, ReplayWindow>,
}

impl Account {
    fn lent(&self) -> u64 {
        self.loans.iter().map(|it| it.tokens).sum()
    }

    /// Refills the bucket at the previous share, then drops expired loans and applies `share`.
    fn refresh(&mut self, now: Instant, share: Share) {
        self.bucket.refill(now, &self.share, self.lent());
        self.share = share;
        self.loans.retain(|it| it.expires > now);
        self.bucket.refill(now, &self.share, self.lent());
    }

    fn close(&mut self, borrower: &Borrower, repayment: &Repayment) {
        let found = self
            .loans
            .iter()
            .position(|it| it.sequence == repayment.sequence && it.borrower == *borrower);
        let Some(index) = found else { return };
        let loan = self.loans.swap_remove(index);
        self.bucket.credit(repayment.unspent.min(loan.tokens), &self.share, self.lent());
    }

    /// Records a message. Returns false if its replay window does not accept it.
    fn accept(&mut self, from: &Borrower, sequence: u64) -> bool {
        let window = self.replay_windows.entry(from.name.clone()).or_default();
        window.accept(from.incarnation, sequence)
    }
}

/// The accounts of the teams of which this instance owns a share.
#[value]
pub struct Ledger {
    /// Time before which no account earns; loans of an earlier incarnation have expired by then.
    opens_at: Instant,
    /// Whether the buckets start full.
    starts_full: bool,
    accounts: IndexMap<Name, Account>,
}

impl Ledger {
    /// Creates the ledger of an instance that starts at `now`. Its accounts start empty after
    /// [`LOAN_TERM_AT_OWNER`].
    pub fn new(now: Instant) -> Ledger {
        Ledger { opens_at: now + LOAN_TERM_AT_OWNER, starts_full: false, accounts: IndexMap::new() }
    }

    /// Starts with full buckets, for the first owner that the shares ever had.
    pub fn start_full(&mut self, now: Instant) {
        *self = Ledger { opens_at: now, starts_full: true, accounts: IndexMap::new() };
    }

    /// Drops all levels and loans; accounts earn again once all loans granted before have expired.
    pub fn reset(&mut self, now: Instant) {
        *self = Ledger::new(now);
    }

    fn account(&mut self, now: Instant, team: &Team, ppm: u64) -> Option<&mut Account> {
        if now < self.opens_at {
            return None;
        }
        let share = Share::new(team, ppm);
        let (opens_at, starts_full) = (self.opens_at, self.starts_full);
        let account = self.accounts.entry(team.name.clone()).or_insert_with(|| Account {
            bucket: if starts_full {
                Bucket::full(opens_at, &share)
            } else {
                Bucket::empty(opens_at)
            },
            share,
            loans: Vec::new(),
            replay_windows: IndexMap::new(),
        });
        account.refresh(now, share);
        Some(account)
    }

    /// Returns the tokens of a team that are available, zero before the ledger opens.
    pub fn tokens(&mut self, now: Instant, team: &Team, ppm: u64) -> u64 {
        self.account(now, team, ppm).map_or(0, |it| it.bucket.tokens())
    }

    /// Returns the tokens of a team that are on loan.
    pub fn lent(&self, team: &str) -> u64 {
        self.accounts.get(team).map_or(0, Account::lent)
    }

    /// Deducts tokens that [`Ledger::tokens`] has returned as available.
    pub fn spend(&mut self, now: Instant, team: &Team, ppm: u64, tokens: u64) {
        if let Some(account) = self.account(now, team, ppm) {
            account.bucket.take(tokens);
        }
    }

    /// Returns tokens that were charged and not used.
    pub fn credit(&mut self, now: Instant, team: &Team, ppm: u64, tokens: u64) {
        if let Some(account) = self.account(now, team, ppm) {
            let lent = account.lent();
            account.bucket.credit(tokens, &account.share, lent);
        }
    }

    /// Takes repayments and a refund, and lends the requested tokens as far as they are available.
    ///
    /// Returns the tokens lent, or none if the message requests no tokens or is a repetition.
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
        if !account.accept(&from, borrow.sequence) {
            return None;
        }
        let lent = account.lent();
        account.bucket.credit(borrow.refund, &account.share, lent);
        if borrow.tokens + borrow.advance == 0 {
            return None;
        }
        let level = account.bucket.tokens();
        let needed = borrow.tokens.min(level);
        let tokens = needed + borrow.advance.min((level - needed) / ADVANCE_DIVISOR);
        account.bucket.take(tokens);
        if tokens > 0 {
            let expires = now + LOAN_TERM_AT_OWNER;
            account.loans.push(Loan { borrower: from, sequence: borrow.sequence, tokens, expires });
        }
        Some(tokens)
    }
}
