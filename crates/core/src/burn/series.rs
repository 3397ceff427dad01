//! Counts of one service and team, by window and by cause.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::{
    Cause, Count,
    window::{Ring, SLOTS, WINDOWS},
};
use crate::Instant;

/// Time constant of the decay of the counts by cause.
const DECAY: Duration = Duration::from_secs(6 * 3_600);

/// Counts by window and by cause.
#[value(default)]
pub struct Series {
    rings: [Ring; WINDOWS.len()],
    causes: [f32; Cause::ALL.len()],
    decayed_at: Instant,
}

impl Series {
    /// Counts a request, with the cause if it missed the objective.
    pub fn count(&mut self, now: Instant, cause: Option<Cause>) {
        for (ring, window) in self.rings.iter_mut().zip(WINDOWS) {
            ring.count(now, window.length, cause.is_some());
        }
        let Some(cause) = cause else { return };
        let factor = self.decay(now);
        self.causes.iter_mut().for_each(|count| *count *= factor);
        self.decayed_at = now;
        self.causes[cause as usize] += 1.0;
    }

    fn decay(&self, now: Instant) -> f32 {
        (-now.since(self.decayed_at).as_secs_f32() / DECAY.as_secs_f32()).exp()
    }

    /// Returns the counts by window, in the order of [`WINDOWS`].
    pub fn windows(&self, now: Instant) -> Vec<Count> {
        self.rings.iter().zip(WINDOWS).map(|(ring, window)| ring.sum(now, window.length)).collect()
    }

    /// Returns the counts by cause, decayed to `now`, without zero counts.
    pub fn causes(&self, now: Instant) -> IndexMap<Cause, f64> {
        let factor = self.decay(now);
        let count = |cause: Cause| (cause, f64::from(self.causes[cause as usize] * factor));
        Cause::ALL.into_iter().map(count).filter(|(_, count)| *count > 0.0).collect()
    }

    /// Exports the window slots, each as total and bad requests, and the counts by cause.
    pub(super) fn export(&self, now: Instant) -> (Vec<u32>, Vec<f32>) {
        let rings = self.rings.iter().zip(WINDOWS);
        let slots = rings.flat_map(|(ring, window)| ring.slots(now, window.length)).flatten();
        let factor = self.decay(now);
        (slots.collect(), self.causes.iter().map(|count| count * factor).collect())
    }

    /// Adds counts exported by another instance.
    pub(super) fn import(&mut self, now: Instant, slots: &[u32], causes: &[f32]) {
        let windows = self.rings.iter_mut().zip(WINDOWS).zip(slots.chunks(SLOTS * 2));
        windows.for_each(|((ring, window), slots)| ring.add(now, window.length, slots));
        let factor = self.decay(now);
        self.decayed_at = now;
        for (index, count) in self.causes.iter_mut().enumerate() {
            *count = *count * factor + causes.get(index).copied().unwrap_or(0.0);
        }
    }
}
