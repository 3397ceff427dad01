//! Tests of the components shared by listeners.

use siskinstile_net::Slots;

#[tokio::test(flavor = "current_thread")]
async fn acquire_evicts_idle_connection() {
    let slots = Slots::new(2);
    let first = slots.acquire().expect("free");
    let second = slots.acquire().expect("free");
    first.mark_active();
    let third = slots.acquire().expect("the second has sent nothing");
    second.evicted().await;
    third.mark_active();
    assert!(slots.acquire().is_none(), "requests are under way on both");
    first.mark_idle();
    assert!(slots.acquire().is_some());
}

#[test]
fn acquire_after_drop() {
    let slots = Slots::new(1);
    let slot = slots.acquire().expect("free");
    slot.mark_active();
    assert!(slots.acquire().is_none());
    drop(slot);
    assert!(slots.acquire().is_some());
}
