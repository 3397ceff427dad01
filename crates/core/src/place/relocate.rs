//! Relocation of a placed request's decode part.

use std::sync::Arc;

use super::{Scheduler, score};
use crate::{Instant, object::Endpoint, request::Id};

impl Scheduler {
    /// Reserves a slot for the decode part at another endpoint with capacity, and releases the old
    /// one.
    pub(super) fn move_decode(&mut self, now: Instant, request: Id) -> Option<Arc<Endpoint>> {
        let reservation = self.reservations.get(&request)?;
        let others = self.runs.values().filter(|it| it.endpoint.name != reservation.run);
        let found = score::run(now, others, &reservation.job, true).ok()?;
        let (previous, blocks) = (reservation.run.clone(), reservation.blocks);
        if let Some(record) = self.runs.get_mut(&previous) {
            record.release(blocks);
        }
        let record = self.runs.get_mut(&found.name)?;
        record.reserve(now, blocks);
        let endpoint = record.endpoint.clone();
        if let Some(reservation) = self.reservations.get_mut(&request) {
            reservation.run = found.name;
        }
        self.dirty = true;
        Some(endpoint)
    }
}
