//! Fleet-wide rate limits of teams, as hierarchical token buckets with loans between instances.
//!
//! Each team's rate and burst are divided among its owners, which are chosen from the participants
//! of a [`participant::Table`]. An owner spends and lends only what its share has earned. Tokens on
//! loan count against its share of the burst until the loan is closed or expires at the owner. A
//! borrower may spend a loan for [`LOAN_TERM`] from the moment at which it sent the request, on its
//! own clock. The sender of a loan or repayment deducts the tokens before it sends the message, so
//! that a lost message costs rate until the term ends but never duplicates tokens. For every time
//! window, tokens granted <= burst + rate x time.

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

/// Largest clock drift that is tolerated, in millionths; a share earns less than its nominal rate
/// by this margin.
pub const DRIFT_PPM: u64 = 1_000;
/// Time for which a borrower may spend a loan, from the moment at which it sent the request.
pub const LOAN_TERM: Duration = Duration::from_secs(4);
/// Time after which an owner considers a loan expired: the borrower's term, with a margin for clock
/// drift.
pub const LOAN_TERM_AT_OWNER: Duration = Duration::from_millis(4_100);
/// Longest time that a request waits for borrowed tokens before it is refused.
pub const MAX_ADMIT_WAIT: Duration = Duration::from_millis(200);
/// Longest time that a request waits for the participant table after the instance has started.
pub const MAX_PARTICIPANTS_WAIT: Duration = Duration::from_secs(2);

/// Outcome of a request for tokens.
#[value(eq)]
pub enum Verdict {
    /// The tokens are deducted.
    Granted,
    /// Tokens are being borrowed; the verdict follows through [`Limiter::take_verdicts`].
    Pending,
    /// Too few tokens are available.
    Refused {
        /// Estimated time until enough tokens are available.
        retry_after: Duration,
        /// Reason for the refusal.
        cause: Cause,
    },
}

/// Reason for which a request is refused.
#[value(id, serde)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request costs more than the team's whole burst.
    Burst,
    /// All owners answered, and too few tokens could be borrowed from them.
    Empty,
    /// At least one owner did not answer within the timeout.
    Unreached,
    /// The participant table is not known yet.
    #[serde(rename = "no_seats")]
    NoParticipants,
}

impl Cause {
    /// Returns whether the refusal is due to a fault of the fleet rather than to the team's usage.
    pub fn is_fleet_fault(self) -> bool {
        matches!(self, Cause::Unreached | Cause::NoParticipants)
    }
}
