//! The division of the process's file descriptors.

use siskinstile_gatewayd::descriptors::Budget;
use tokio::task;

/// Descriptors of a process that may open few.
const LIMIT: usize = 256;

/// Guards against a process without descriptors for its calls: all that are not reserved are given out, then
/// a caller's idle connection makes room, and a busy one does not.
#[tokio::test(flavor = "current_thread")]
async fn acquire_closes_idle_caller() {
    let budget = Budget::new(LIMIT);
    let caller = budget.callers().acquire().expect("free");
    let callers_permit = budget.acquire(|| false).await.expect("free");
    let mut permits = Vec::new();
    caller.mark_active();
    while let Some(permit) = budget.acquire(|| false).await {
        permits.push(permit);
        assert!(permits.len() < LIMIT, "none is reserved");
    }
    caller.mark_idle();
    let closed = task::LocalSet::new();
    closed.spawn_local(async move {
        caller.evicted().await;
        drop(callers_permit);
    });
    let late = closed.run_until(budget.acquire(|| false)).await;
    assert!(late.is_some(), "an idle caller holds a descriptor");
}
