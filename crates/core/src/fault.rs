//! Faults that tests inject to see that they are caught; nothing plants one in production.

use siskinstile_macros::value;

/// A mechanism that is left out.
#[value(id)]
pub enum Fault {
    /// Takes and hands over older generations.
    AdoptOlder,
    /// Takes a generation before all its chunks are there.
    AdoptPartial,
    /// Publishes a set with errors.
    PublishUnchecked,
    /// Publishes past the lease's term and without a condition on the manifest.
    PublishUnfenced,
    /// Takes nothing from other instances and does not watch.
    IgnorePeers,
    /// A non-idempotent request runs without a claim.
    SkipClaim,
    /// A non-idempotent request is tried again after it may have left.
    RetrySent,
    /// Peers are not told of holds, and what they note is not acted on.
    SkipHolds,
    /// Reports of older attempts are taken.
    AcceptOldAttempt,
    /// Every failure says that the request did not run.
    ReportNotRun,
    /// Calls without a report are never ended.
    NoDeadline,
    /// A claim whose fate is not known is left behind.
    AbandonClaim,
    /// Leaving endpoints get work.
    UseLeaving,
    /// A drain does not wait for open requests.
    SkipDrainWait,
    /// An answered request stays open.
    AnswerTwice,
}
