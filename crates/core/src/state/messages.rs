//! Dispatch of messages from other instances, and sending of messages to them.

use siskinstile_wire::{Body, Envelope};

use crate::{Effect, Instant, member, object::Name};

use super::State;

/// The instance that sent a message.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    /// Name of the instance.
    pub(super) name: Name,
    /// Incarnation of the instance.
    pub(super) incarnation: u64,
}

impl State {
    pub(super) fn handle_message(&mut self, now: Instant, envelope: Envelope) {
        let from =
            Sender { name: envelope.from.as_str().into(), incarnation: envelope.incarnation };
        // Messages of an older incarnation come from a paused or duplicate process that a newer one
        // has replaced; they are ignored.
        if self.members.heartbeat(&from.name).is_some_and(|it| from.incarnation < it.incarnation) {
            return;
        }
        self.record_peer_message(now, &from);
        match envelope.body {
            Some(Body::Member(message)) => self.handle_member_message(now, &from, message),
            Some(Body::Config(message)) => self.handle_config_message(now, &from, message),
            Some(Body::Limit(message)) => self.handle_limit_message(now, &from, message),
            Some(Body::Hold(message)) => self.handle_hold_message(now, &from, message),
            Some(Body::Dispatch(message)) => self.handle_dispatch_message(now, &from, message),
            Some(Body::Burn(message)) => self.burn.import(now, &message),
            None => {}
        }
    }

    /// Sends a message to an instance; dropped if the instance's address is unknown.
    pub(super) fn send(&mut self, to: &str, body: Body) {
        let Some(member::Record { address, .. }) = self.members.get(to) else { return };
        let to = address.clone();
        self.emit(Effect::Send { to, body });
    }
}
