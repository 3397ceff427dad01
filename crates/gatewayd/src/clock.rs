//! The instance's clock.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use siskinstile_gateway::Instant;

/// A monotonic clock that keeps running while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Clock {
        Clock { origin: since_boot() }
    }

    /// Returns the time since the clock was created, in whole microseconds.
    pub fn now(&self) -> Instant {
        let elapsed = since_boot().saturating_sub(self.origin);
        Instant(elapsed.as_micros() as u64)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
