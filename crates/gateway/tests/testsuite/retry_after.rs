//! Retry-after times of refused callers.

use std::time::Duration;

use siskinstile_gateway::{Instant, engine::RetryAfter};

/// Retry-after times of a burst of refusals are spread over seconds, none before a slot is
/// expected.
#[test]
fn schedule_burst() {
    let mut retry_after = RetryAfter::default();
    let now = Instant::from_millis(1_000);
    let wait = Duration::from_millis(300);
    let interval = Duration::from_millis(120);
    let times: Vec<Duration> = (0..40).map(|_| retry_after.schedule(now, wait, interval)).collect();
    assert!(times.iter().all(|it| *it >= wait && *it <= Duration::from_secs(4)), "{times:?}");
    for second in 0..4 {
        let within = |it: &&Duration| it.as_secs() == second;
        let count = times.iter().filter(within).count();
        assert!((5..=15).contains(&count), "{count} in second {second}");
    }
}

/// A single refused caller gets the time until a slot is expected as its retry-after time.
#[test]
fn schedule_single() {
    let mut retry_after = RetryAfter::default();
    let wait = Duration::from_millis(700);
    for second in 1..5 {
        let now = Instant::from_millis(second * 10_000);
        assert_eq!(retry_after.schedule(now, wait, Duration::from_millis(100)), wait);
    }
}
