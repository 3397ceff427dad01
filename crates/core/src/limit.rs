//! Teams' rates and bursts, kept fleet-wide by rights that are handed over.
//!
//! Every team's rate and burst are divided among its owners, the participants of a [`participant::Table`]. An owner
//! spends and lends only what its part has earned, and what is lent counts against its part of the
//! burst until the loan is closed or void at both ends. A borrower may spend a loan for
//! [`LOAN_TERM`] from the moment at which it asked, on its own clock. The giver gives up first in
//! both directions, so a message that is lost loses rate until the term is over and never doubles
//! it. The bound that holds for every window of time is: tokens granted <= burst + rate x time.

mod bucket;
mod even_split;
mod ledger;
mod limiter;
mod loans;
pub mod participant;
mod usage;

use std::time::Duration;

use siskinstile_macros::value;

pub use bucket::{Bucket, Share};
pub use even_split::EvenSplit;
pub use ledger::{Borrower, Ledger};
pub use limiter::{Entry, Limiter, Outgoing, WaitId};
pub use loans::{Loan, Loans};
pub use usage::Usage;

/// Most that a clock may run fast or slow, in millionths; a rate is used only up to this margin.
pub const DRIFT_PPM: u64 = 1_000;
/// Time for which a borrower may spend a loan, from the moment at which it asked.
pub const LOAN_TERM: Duration = Duration::from_secs(4);
/// Time after which an owner counts a loan as void: the term on clocks that drift apart, and a margin.
pub const LOAN_TERM_AT_OWNER: Duration = Duration::from_millis(4_100);
/// Longest time that a request waits for rights.
pub const MAX_ADMIT_WAIT: Duration = Duration::from_millis(200);
/// Longest time that a request waits for the participants to be known, at the start of an instance.
pub const MAX_PARTICIPANTS_WAIT: Duration = Duration::from_secs(2);

/// Whether a request may spend.
#[value(eq)]
pub enum Verdict {
    /// The tokens are taken.
    Granted,
    /// Rights have been asked for; the verdict comes later.
    Pending,
    /// They are not; this is when they could be.
    Refused {
        /// Time until enough could be there.
        retry_after: Duration,
        /// Why.
        cause: Cause,
    },
}

/// Why a request was refused.
#[value(id, serde)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It costs more than the team's whole burst.
    Burst,
    /// Every owner was asked and had too little.
    Empty,
    /// Some owners did not answer in time.
    Unreached,
    /// It is not yet known which instances are owners.
    #[serde(rename = "no_seats")]
    NoParticipants,
}

impl Cause {
    /// Returns whether the fleet, and not the team's use, is why.
    pub fn is_fleet_fault(self) -> bool {
        matches!(self, Cause::Unreached | Cause::NoParticipants)
    }
}
