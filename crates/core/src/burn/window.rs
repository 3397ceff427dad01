//! Request counts over sliding windows with a fixed number of slots.

use std::time::Duration;

use siskinstile_macros::value;

use super::Count;
use crate::Instant;

/// Number of slots of a window; it slides in steps of a twelfth.
pub(super) const SLOTS: usize = 12;

/// Name and length of a window.
#[value(id)]
pub struct Window {
    /// Name in reports, such as `5m`.
    pub name: &'static str,
    /// Time that the window covers.
    pub length: Duration,
}

const fn window(name: &'static str, seconds: u64) -> Window {
    Window { name, length: Duration::from_secs(seconds) }
}

/// The windows, shortest first.
pub const WINDOWS: [Window; 4] =
    [window("5m", 300), window("1h", 3_600), window("6h", 21_600), window("3d", 259_200)];

/// Ring buffer of the slots of one window.
#[value(id, default)]
pub(super) struct Ring {
    total: [u32; SLOTS],
    bad: [u32; SLOTS],
    /// Number of the newest slot, counted from the clock's zero.
    newest: u64,
}

impl Ring {
    /// Counts a request in the current slot.
    pub(super) fn count(&mut self, now: Instant, length: Duration, bad: bool) {
        self.advance(slot_number(now, length));
        let index = self.newest as usize % SLOTS;
        self.total[index] = self.total[index].saturating_add(1);
        self.bad[index] = self.bad[index].saturating_add(u32::from(bad));
    }

    /// Returns the sum over the slots within the window.
    pub(super) fn sum(&self, now: Instant, length: Duration) -> Count {
        let current = slot_number(now, length);
        let mut count = Count::default();
        for age in 0..SLOTS as u64 {
            let Some(number) = self.newest.checked_sub(age) else { break };
            if number + SLOTS as u64 > current {
                let index = number as usize % SLOTS;
                count.total += u64::from(self.total[index]);
                count.bad += u64::from(self.bad[index]);
            }
        }
        count
    }

    /// Returns total and bad requests of each slot, newest first.
    pub(super) fn slots(&self, now: Instant, length: Duration) -> impl Iterator<Item = [u32; 2]> {
        let current = slot_number(now, length);
        (0..SLOTS as u64).map(move |age| {
            let number = current
                .checked_sub(age)
                .filter(|it| *it <= self.newest && it + SLOTS as u64 > self.newest);
            let index = number.map(|it| it as usize % SLOTS);
            index.map_or([0, 0], |index| [self.total[index], self.bad[index]])
        })
    }

    /// Adds slots exported by another instance. Slots before the clock's zero are added to the
    /// oldest one.
    pub(super) fn add(&mut self, now: Instant, length: Duration, slots: &[u32]) {
        let current = slot_number(now, length);
        self.advance(current);
        for (age, pair) in slots.chunks_exact(2).take(SLOTS).enumerate() {
            let index = current.saturating_sub(age as u64) as usize % SLOTS;
            self.total[index] = self.total[index].saturating_add(pair[0]);
            self.bad[index] = self.bad[index].saturating_add(pair[1]);
        }
    }

    fn advance(&mut self, to: u64) {
        let steps = to.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=steps {
            let index = (to - steps + step) as usize % SLOTS;
            self.total[index] = 0;
            self.bad[index] = 0;
        }
        self.newest = self.newest.max(to);
    }
}

fn slot_number(now: Instant, length: Duration) -> u64 {
    now.0 / (length.as_micros() as u64 / SLOTS as u64)
}
