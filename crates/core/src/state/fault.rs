//! The planting of faults, to show that an oracle sees them; never done outside tests.

use crate::fault::Fault;

use super::State;

impl State {
    /// Plants a fault.
    #[doc(hidden)]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.planted = fault;
        if let Some(fault) = fault {
            self.sync.plant(fault);
            self.publisher.plant(fault);
        }
    }

    pub(super) fn has(&self, fault: Fault) -> bool {
        self.planted == Some(fault)
    }
}
