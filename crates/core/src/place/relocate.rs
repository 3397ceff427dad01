//! The move of a placed request's decode part to another endpoint.

use std::sync::Arc;

use super::{Scheduler, score};
use crate::{Instant, object::Endpoint, request::Id};

impl Scheduler {
    /// Takes a place at another endpoint for the decode part of a placed request, if one has room,
    /// and frees the old one.
    pub(super) fn move_run(&mut self, now: Instant, request: Id) -> Option<Arc<Endpoint>> {
        let grant = self.grants.get(&request)?;
        let others = self.runs.values().filter(|it| it.endpoint.name != grant.run);
        let found = score::run(now, others, &grant.job, true).ok()?;
        let (from, pieces) = (grant.run.clone(), grant.pieces);
        if let Some(slot) = self.runs.get_mut(&from) {
            slot.free(pieces);
        }
        let slot = self.runs.get_mut(&found.name)?;
        slot.take(now, pieces);
        let endpoint = slot.endpoint.clone();
        if let Some(grant) = self.grants.get_mut(&request) {
            grant.run = found.name;
        }
        self.changed = true;
        Some(endpoint)
    }
}
