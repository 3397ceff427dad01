//! Teams' rates and bursts, kept fleet-wide by rights that are handed over.
//!
//! Every team's rate and burst are divided among its homes, the seats of a [`seat::Table`]. A home
//! spends and lends only what its part has earned, and what is lent counts against its part of the
//! burst until the loan is closed or void at both ends. A borrower may spend a loan for
//! [`LOAN_TERM`] from the moment at which it asked, on its own clock. The giver gives up first in
//! both directions, so a message that is lost loses rate until the term is over and never doubles
//! it. The bound that holds for every window of time is: tokens granted <= burst + rate x time.

mod bucket;
mod even;
mod ledger;
mod limiter;
mod purse;
pub mod seat;
mod usage;

use std::time::Duration;

use siskinstile_macros::value;

pub use bucket::{Bucket, Part};
pub use even::Even;
pub use ledger::{Borrower, Ledger};
pub use limiter::{Entry, Limiter, Outgoing, Wait};
pub use purse::{Lump, Purse};
pub use usage::Usage;

/// Most that a clock may run fast or slow, in millionths; a rate is used only up to this margin.
pub const DRIFT_PPM: u64 = 1_000;
/// Time for which a borrower may spend a loan, from the moment at which it asked.
pub const LOAN_TERM: Duration = Duration::from_secs(4);
/// Time after which a home counts a loan as void: the term on clocks that drift apart, and a margin.
pub const LOAN_TERM_AT_HOME: Duration = Duration::from_millis(4_100);
/// Longest time that a request waits for rights.
pub const ADMIT_LIMIT: Duration = Duration::from_millis(200);
/// Longest time that a request waits for the seats to be known, at the start of an instance.
pub const SEATS_LIMIT: Duration = Duration::from_secs(2);

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
    /// Every home was asked and had too little.
    Empty,
    /// Some homes did not answer in time.
    Unreached,
    /// It is not yet known which instances are homes.
    NoSeats,
}

impl Cause {
    /// Returns whether the fleet, and not the team's use, is why.
    pub fn is_ours(self) -> bool {
        matches!(self, Cause::Unreached | Cause::NoSeats)
    }
}
