//! Effects of key changes on open requests, and the grace period without the platform.

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
    /// Fails the requests whose key was revoked before they were sent to an endpoint; requests that
    /// are running complete.
    pub(super) fn fail_revoked(&mut self, now: Instant) {
        let revoked: Vec<Id> =
            self.requests.iter().filter(|it| self.is_key_revoked(it.1)).map(|it| *it.0).collect();
        for id in revoked {
            let charged = self.requests.get(&id).map_or(0, |it| it.charged);
            self.trace.note(now, id, "its key was withdrawn");
            self.withdraw(id);
            self.record_outcome(id, Outcome::NotRun);
            self.refund(now, id, charged);
            self.fail(now, id, Failure::not_run(Kind::Unauthorized));
        }
    }

    /// Returns whether a request has not been sent and its key was revoked, removed or moved to
    /// another team.
    fn is_key_revoked(&self, request: &Request) -> bool {
        let unsent = matches!(request.phase, Phase::Admitting | Phase::Claiming | Phase::Queued);
        let Some(name) = request.key_name.as_ref().filter(|_| unsent && request.attempt == 0)
        else {
            return false;
        };
        let key = self.config.set.keys.get(name);
        !key.is_some_and(|it| !it.withdrawn && Some(&it.team) == request.team.as_ref())
    }

    /// Returns whether the platform has been unreachable for longer than the grace period of a key.
    ///
    /// A key without its own grace period uses its team's. If neither is set, it never expires.
    pub(super) fn is_grace_over(&self, now: Instant, key: &Key) -> bool {
        let team = self.config.set.teams.get(&key.team).and_then(|it| it.offline_grace_s);
        let grace = key.offline_grace_s.or(team).map(Duration::from_secs);
        let unreachable_for =
            self.sync.last_contact().map_or(now.since(Instant::default()), |at| now.since(at));
        grace.is_some_and(|grace| unreachable_for > grace)
    }
}
