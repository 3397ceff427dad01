//! Keys during traffic: withdrawal of what waits, and the grace without the platform.

use std::time::Duration;

use crate::{
    Instant,
    claim::Outcome,
    error::{Failure, Kind},
    object::Key,
    request::{Id, Phase, Request},
};

use super::State;

impl State {
    /// Ends the requests that have not been sent and whose key no longer stands; those that run
    /// go on to their end.
    pub(super) fn end_withdrawn(&mut self, now: Instant) {
        let gone: Vec<Id> =
            self.requests.iter().filter(|it| self.is_withdrawn(it.1)).map(|it| *it.0).collect();
        for id in gone {
            let charged = self.requests.get(&id).map_or(0, |it| it.charged);
            self.trace.note(now, id, "its key was withdrawn");
            self.withdraw(id);
            self.record_outcome(id, Outcome::NotRun);
            self.refund(now, id, charged);
            self.fail(now, id, Failure::not_run(Kind::Unauthorized));
        }
    }

    fn is_withdrawn(&self, request: &Request) -> bool {
        let waits = matches!(request.phase, Phase::Admitting | Phase::Claiming | Phase::Queued);
        let Some(name) = request.key_name.as_ref().filter(|_| waits && request.attempt == 0) else {
            return false;
        };
        let key = self.config.set.keys.get(name);
        !key.is_some_and(|it| !it.withdrawn && Some(&it.team) == request.team.as_ref())
    }

    /// Returns whether the platform has been out of reach for longer than a key's grace.
    pub(super) fn grace_is_over(&self, now: Instant, key: &Key) -> bool {
        let team = self.config.set.teams.get(&key.team).and_then(|it| it.offline_grace_s);
        let grace = key.offline_grace_s.or(team).map(Duration::from_secs);
        let silence =
            self.sync.last_contact().map_or(now.since(Instant::default()), |at| now.since(at));
        grace.is_some_and(|grace| silence > grace)
    }
}
