//! The move of a placed request's decode part to another endpoint.

use std::sync::Arc;

use super::{Scheduler, score};
use crate::{Instant, object::Endpoint, request::Id};

impl Scheduler {
    /// Takes a place at another endpoint for the decode part of a placed request, if one has room,
    /// and frees the old one.
    pub(super) fn move_decode(&mut self, now: Instant, request: Id) -> Option<Arc<Endpoint>> {
        let grant = self.grants.get(&request)?;
        let others = self.runs.values().filter(|it| it.endpoint.name != grant.run);
        let found = score::run(now, others, &grant.job, true).ok()?;
        let (from, blocks) = (grant.run.clone(), grant.blocks);
        if let Some(record) = self.runs.get_mut(&from) {
            record.free(blocks);
        }
        let record = self.runs.get_mut(&found.name)?;
        record.take(now, blocks);
        let endpoint = record.endpoint.clone();
        if let Some(grant) = self.grants.get_mut(&request) {
            grant.run = found.name;
        }
        self.changed = true;
        Some(endpoint)
    }
}
