//! The removal of old claims: calls and answers of the sweeper.

use crate::{
    Effect, Instant,
    member::{self, Status},
    store::{Answer, Call, Tag},
};

use super::State;

/// What the instance with the first rank for this word does is remove old claims.
const SWEEPER: &str = "sweeper";

impl State {
    pub(super) fn sweep_tick(&mut self, now: Instant) {
        let sweeps = self.draining.is_none() && self.sweeps();
        for call in self.sweeper.tick(now, sweeps) {
            self.sweep_call(call);
        }
    }

    /// Returns whether this instance is the sweeper; two for a while do no harm, since both remove
    /// on a version.
    fn sweeps(&self) -> bool {
        let live = self.members.iter().filter(|it| it.state == Status::Live);
        let first = live.max_by_key(|it| (member::rank(&it.name, SWEEPER), it.name.clone()));
        first.is_some_and(|it| it.name == self.settings.name)
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
