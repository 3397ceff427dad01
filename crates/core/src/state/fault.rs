//! The planting of faults, to show that an oracle sees them; never done outside tests.

use std::sync::Arc;

use crate::{Config, fault::Fault};

use super::State;

impl State {
    /// Plants a fault.
    #[doc(hidden)]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.planted = fault;
        if let Some(fault) = fault {
            self.sync.inject(fault);
            self.publisher.inject(fault);
        }
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
