//! Injection of faults by tests, to show that their checks detect them.

use std::sync::Arc;

use crate::{Config, fault::Fault};

use super::State;

impl State {
    /// Sets the injected fault.
    #[doc(hidden)]
    pub fn inject(&mut self, fault: Option<Fault>) {
        self.injected = fault;
        if let Some(fault) = fault {
            self.sync.inject(fault);
            self.publisher.inject(fault);
        }
    }

    /// Returns the configuration used for placement: the current one, unless a fault is injected.
    pub(super) fn placement_config(&self) -> Arc<Config> {
        if !self.has_fault(Fault::UseLeaving) {
            return self.config.clone();
        }
        let mut set = self.config.set.clone();
        let endpoints = set.pools.values_mut().flat_map(|pool| &mut pool.endpoints);
        endpoints.for_each(|it| it.leaving = false);
        Arc::new(Config::new(self.config.generation, set))
    }

    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.injected == Some(fault)
    }
}
