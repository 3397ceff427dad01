//! Rights to spend: messages and ticks of the limiter.

use siskinstile_wire::message::limit::Message;

use crate::Instant;

use super::{State, messages::Sender};

impl State {
    /// Rates are split evenly and need no messages.
    pub(super) fn limit_message(&mut self, _now: Instant, _from: &Sender, _message: Message) {}

    /// Does what the limiter does from time to time.
    pub(super) fn limit_tick(&mut self, _now: Instant) {}
}
