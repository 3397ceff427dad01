//! Holds: engine memory of this and of other instances.

use siskinstile_wire::message::hold::Message;

use crate::Instant;

use super::{State, messages::Sender};

impl State {
    /// Holds are not told to peers yet.
    pub(super) fn hold_message(&mut self, _now: Instant, _from: &Sender, _message: Message) {}

    /// Does what the keeping of holds does from time to time.
    pub(super) fn hold_tick(&mut self, _now: Instant) {}
}
