//! Removal of old claims: selection of the sweeper, its calls and their answers.

use crate::{
    Effect, Instant,
    member::{self, Status},
    store::{Answer, Call, Tag},
};

use super::State;

/// Rendezvous key by which the sweeper, the instance with the highest rank, is selected.
const SWEEPER: &str = "sweeper";

impl State {
    pub(super) fn sweep_tick(&mut self, now: Instant) {
        let is_sweeper = self.draining_since.is_none() && self.is_sweeper();
        for call in self.sweeper.tick(now, is_sweeper) {
            self.sweep_call(call);
        }
    }

    /// Returns whether this instance is the sweeper of the fleet.
    ///
    /// Instances may disagree for a while; several sweepers at once are safe, since removals are
    /// conditional on the claim's version.
    fn is_sweeper(&self) -> bool {
        let live = self.members.iter().filter(|it| it.state == Status::Live);
        let sweeper = live.max_by_key(|it| (member::rank(&it.name, SWEEPER), it.name.clone()));
        sweeper.is_some_and(|it| it.name == self.settings.name)
    }

    pub(super) fn sweep_answered(&mut self, now: Instant, answer: Answer) {
        if let Some(call) = self.sweeper.handle_answer(now, answer) {
            self.sweep_call(call);
        }
    }

    fn sweep_call(&mut self, call: Call) {
        let tag = match call {
            Call::Delete { .. } => Tag::SweepDelete,
            _ => Tag::Sweep,
        };
        self.emit(Effect::Store { tag, call });
    }
}
