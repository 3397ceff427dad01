//! Faults planted on purpose, to show that an oracle sees them; never set outside tests.

use std::sync::Arc;

use siskinstile_macros::value;

use crate::Config;

use super::State;

/// A mechanism that is left out.
#[doc(hidden)]
#[value(id)]
pub enum Fault {
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

impl State {
    /// Plants a fault.
    #[doc(hidden)]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.planted = fault;
    }

    /// Returns the configuration by which requests are placed.
    pub(super) fn placing_config(&self) -> Arc<Config> {
        if !self.has(Fault::UseLeaving) {
            return self.config.clone();
        }
        let mut set = self.config.set.clone();
        let endpoints = set.pools.values_mut().flat_map(|pool| &mut pool.endpoints);
        endpoints.for_each(|it| it.leaving = false);
        Arc::new(Config::new(self.config.generation, set))
    }

    pub(super) fn has(&self, fault: Fault) -> bool {
        self.planted == Some(fault)
    }
}
