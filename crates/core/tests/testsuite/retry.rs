use siskinstile_core::{Instant, retry::Budget};

#[test]
fn budget_bounds_retries() {
    let now = Instant::from_millis(0);
    let mut budget = Budget::new(now);
    let floor = (0..1_000).filter(|_| budget.take(now)).count();
    (0..100).for_each(|_| budget.earn());
    let earned = (0..1_000).filter(|_| budget.take(now)).count();
    assert_eq!((floor, earned), (10, 20));
}

#[test]
fn budget_floor_returns() {
    let mut budget = Budget::new(Instant::from_millis(0));
    while budget.take(Instant::from_millis(0)) {}
    assert!(!budget.take(Instant::from_millis(900)));
    assert!(budget.take(Instant::from_millis(1_000)));
    assert!(!budget.take(Instant::from_millis(1_100)));
}
