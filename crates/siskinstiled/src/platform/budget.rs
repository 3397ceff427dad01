//! A bound on the calls of one instance to the platform.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Calls a second that an instance may make in the long run.
///
/// Claims of non-idempotent requests are among them: 360 instances that all spend this much stay
/// under the several hundred writes a second of the platform only because few of them do at once.
const RATE: f64 = 50.0;
/// Calls that may be made at once.
const BURST: f64 = 600.0;

/// The right to make calls, refilled with time.
pub(super) struct Budget {
    state: Mutex<(f64, Instant)>,
}

impl Budget {
    pub(super) fn new() -> Budget {
        Budget { state: Mutex::new((BURST, Instant::now())) }
    }

    /// Takes the right to one call and returns how long to wait before it is made.
    pub(super) fn take(&self) -> Duration {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let (left, at) = *state;
        let left = (left + now.duration_since(at).as_secs_f64() * RATE).min(BURST) - 1.0;
        *state = (left, now);
        Duration::from_secs_f64((-left / RATE).max(0.0))
    }
}
