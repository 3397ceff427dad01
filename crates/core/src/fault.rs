//! Faults that tests inject to show that their checks detect them; never injected in production.

use siskinstile_macros::value;

/// A safety mechanism that is disabled or violated.
#[value(id)]
pub enum Fault {
    /// Adopts and forwards generations older than the current one.
    AdoptOlder,
    /// Adopts a generation before all its chunks have been received.
    AdoptPartial,
    /// Publishes a set of objects that has errors.
    PublishUnchecked,
    /// Publishes after the lease has expired and without a version condition on the manifest.
    PublishUnfenced,
    /// Ignores configurations from other instances and does not watch the platform.
    IgnorePeers,
    /// Executes non-idempotent requests without a claim.
    SkipClaim,
    /// Retries non-idempotent requests that may have been sent.
    RetrySent,
    /// Registers no holds with peers, so that they cannot cancel the holds of a failed instance.
    SkipHolds,
    /// Accepts reports of earlier attempts.
    AcceptOldAttempt,
    /// Reports a request that may have been executed as not executed.
    ReportNotRun,
    /// Applies no time limits to requests, so that a call that is never reported on does not end.
    NoDeadline,
    /// Leaves a claim behind whose write was not confirmed.
    AbandonClaim,
    /// Places requests at endpoints that are leaving.
    UseLeaving,
    /// Completes a drain without waiting for open requests.
    SkipDrainWait,
    /// Keeps a request open after it has been answered.
    AnswerTwice,
}
