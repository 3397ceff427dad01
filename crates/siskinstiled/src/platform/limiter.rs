//! A rate limit on one instance's calls to the platform.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Sustained rate, in calls per second.
///
/// Claims of non-idempotent requests count towards it. The platform supports several hundred writes
/// per second, which 360 instances stay below only because few of them use the full rate at once.
const RATE: f64 = 50.0;
/// Capacity of the token bucket, in calls.
const BURST: f64 = 600.0;

/// A token bucket with one token per call, which may go into debt.
pub(super) struct Limiter {
    /// Number of tokens, negative in debt, and the time to which it was last updated.
    state: Mutex<(f64, Instant)>,
}

impl Limiter {
    pub(super) fn new() -> Limiter {
        Limiter { state: Mutex::new((BURST, Instant::now())) }
    }

    /// Takes the token for one call and returns how long to wait before making the call.
    pub(super) fn reserve(&self) -> Duration {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let (tokens, updated_at) = *state;
        let tokens =
            (tokens + now.duration_since(updated_at).as_secs_f64() * RATE).min(BURST) - 1.0;
        *state = (tokens, now);
        Duration::from_secs_f64((-tokens / RATE).max(0.0))
    }
}
