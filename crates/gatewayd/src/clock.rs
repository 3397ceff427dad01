//! The instance's clock.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use siskinstile_gateway::Instant;

/// A monotonic clock that also counts the time for which the machine was suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    zero: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Clock {
        Clock { zero: since_boot() }
    }

    /// Returns the present moment.
    pub fn now(&self) -> Instant {
        let elapsed = since_boot().saturating_sub(self.zero);
        Instant(elapsed.as_micros() as u64)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
