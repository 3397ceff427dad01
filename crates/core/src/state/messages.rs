//! Messages of other instances, handed to the part of the core that they are for.

use siskinstile_wire::{Body, Envelope};

use crate::{Effect, Instant, member, object::Name};

use super::State;

/// The instance that sent a message.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    /// Its name.
    pub(super) name: Name,
    /// Its incarnation.
    pub(super) incarnation: u64,
}

impl State {
    pub(super) fn message(&mut self, now: Instant, envelope: Envelope) {
        let from =
            Sender { name: envelope.from.as_str().into(), incarnation: envelope.incarnation };
        // A paused or doubled process whose place a newer one has taken is not listened to.
        if self.members.heartbeat(&from.name).is_some_and(|it| from.incarnation < it.incarnation) {
            return;
        }
        self.hold_heard(now, &from);
        match envelope.body {
            Some(Body::Member(message)) => self.member_message(now, &from, message),
            Some(Body::Config(message)) => self.config_message(now, &from, message),
            Some(Body::Limit(message)) => self.limit_message(now, &from, message),
            Some(Body::Hold(message)) => self.hold_message(now, &from, message),
            Some(Body::Dispatch(message)) => self.dispatch_message(now, &from, message),
            Some(Body::Burn(message)) => self.burn.import(now, &message),
            None => {}
        }
    }

    /// Sends a message to an instance; without an address for it nothing is sent.
    pub(super) fn send(&mut self, to: &str, body: Body) {
        let Some(member::Record { address, .. }) = self.members.get(to) else { return };
        let to = address.clone();
        self.emit(Effect::Send { to, body });
    }
}
