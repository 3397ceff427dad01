//! Faults that tests plant to see that they are caught; nothing plants one in production.

use siskinstile_macros::value;

/// A mechanism that is left out.
#[value(id)]
pub enum Fault {
    /// Takes and hands over older generations.
    Revert,
    /// Takes a generation before all its chunks are there.
    Partial,
    /// Publishes a set with errors.
    Unchecked,
    /// Publishes past the lease's term and without a condition on the manifest.
    Unfenced,
    /// Takes nothing from other instances and does not watch.
    Deaf,
    /// A non-idempotent request runs without a claim.
    SkipClaim,
    /// A non-idempotent request is tried again after it may have left.
    RetrySent,
    /// Peers are not told of holds, and what they note is not acted on.
    ForgetHold,
    /// Reports of older attempts are taken.
    OldAttempt,
    /// Every failure says that the request did not run.
    ClaimNotRun,
    /// Calls without a report are never ended.
    NoDeadline,
    /// A claim whose fate is not known is left behind.
    LeaveClaim,
    /// Leaving endpoints get work.
    UseLeaving,
    /// A drain does not wait for open requests.
    CutDrain,
    /// An answered request stays open.
    AnswerTwice,
}
