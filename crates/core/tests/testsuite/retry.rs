use siskinstile_core::{Instant, retry::Budget};

#[test]
fn budget_bounds_retries() {
    let now = Instant::from_millis(0);
    let mut budget = Budget::new(now);
    let floor = (0..1_000).filter(|_| budget.try_withdraw(now)).count();
    (0..100).for_each(|_| budget.deposit());
    let deposited = (0..1_000).filter(|_| budget.try_withdraw(now)).count();
    assert_eq!((floor, deposited), (10, 20));
}

#[test]
fn budget_floor_refills() {
    let mut budget = Budget::new(Instant::from_millis(0));
    while budget.try_withdraw(Instant::from_millis(0)) {}
    assert!(!budget.try_withdraw(Instant::from_millis(900)));
    assert!(budget.try_withdraw(Instant::from_millis(1_000)));
    assert!(!budget.try_withdraw(Instant::from_millis(1_100)));
}
