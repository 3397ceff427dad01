//! File descriptors of the process: their number, and how they are divided among connections.

use std::{io, rc::Rc, sync::Arc, time::Duration};

use rustix::{
    io::Errno,
    process::{Resource, Rlimit, getrlimit, setrlimit},
};
use siskinstile_net::Slots;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    task, time,
};

/// Descriptors that are reserved for files, listeners, the store, status connections and transfers.
const MAX_RESERVED: usize = 264;
/// The same for a process that may open few descriptors; half of them at most.
const MIN_RESERVED: usize = 64;
/// Part of all descriptors that is reserved between these two.
const RESERVED_PERCENT: usize = 25;
/// Connections that each status listener may have open.
const STATUS_CONNECTIONS: usize = 16;
/// Share of the other descriptors that callers' connections may use.
const CALLER_PERCENT: usize = 60;
/// The same for connections over which peers hand requests over.
const PEER_PERCENT: usize = 15;
/// Time limit for the close of a connection that makes room for another one.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after an error on accepting a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Raises the process's limit to `wanted`, as far as that is permitted; returns the number of descriptors
/// that it may have open, `wanted` at most.
pub fn raise_limit(wanted: usize) -> usize {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let possible = maximum.map_or(wanted as u64, |it| it.min(wanted as u64));
    let Some(current) = current.filter(|it| *it < possible) else { return possible as usize };
    match setrlimit(Resource::Nofile, Rlimit { current: Some(possible), maximum }) {
        Ok(()) => possible as usize,
        Err(error) => {
            log::warn!("the limit of {current} descriptors cannot be raised: {error}");
            current as usize
        }
    }
}

/// Returns whether an error shows that the process or the machine has no descriptor left.
pub fn is_exhausted(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}

/// The descriptors that connections of callers, of peers and to endpoints may use together.
#[derive(Debug)]
pub struct Budget {
    capacity: usize,
    /// Descriptors that are not in use.
    free: Arc<Semaphore>,
    /// Connections of callers.
    callers: Arc<Slots>,
}

impl Budget {
    /// Creates the budget of a process that may have `limit` descriptors open.
    pub fn new(limit: usize) -> Rc<Budget> {
        let reserved = (limit * RESERVED_PERCENT / 100).clamp(MIN_RESERVED, MAX_RESERVED);
        let capacity = limit - reserved.min(limit / 2);
        let callers = Slots::new(capacity * CALLER_PERCENT / 100);
        let free = Arc::new(Semaphore::new(capacity));
        Rc::new(Budget { capacity, free, callers })
    }

    /// Returns the slots of callers' connections.
    pub fn callers(&self) -> Arc<Slots> {
        self.callers.clone()
    }

    /// Returns slots for connections over which peers hand requests over.
    pub fn peers(&self) -> Arc<Slots> {
        Slots::new(self.capacity * PEER_PERCENT / 100)
    }

    /// Returns slots for the connections to one status listener, which use reserved descriptors.
    pub fn status(&self) -> Arc<Slots> {
        Slots::new(STATUS_CONNECTIONS)
    }

    /// Acquires the descriptor of a connection, which is returned when the result is dropped.
    ///
    /// If all are in use, `make_room` may close another connection and return true; otherwise the caller's
    /// connection that has been idle the longest is closed. Returns none if there is none.
    pub async fn acquire(&self, make_room: impl FnOnce() -> bool) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Some(permit);
        }
        if !make_room() && !self.callers.evict_idle() {
            return None;
        }
        // The other connection is closed by its own task.
        let permit = time::timeout(CLOSE_TIMEOUT, self.free.clone().acquire_owned()).await;
        permit.ok().and_then(Result::ok)
    }

    /// Closes the caller's connection that has been idle the longest if an error shows that descriptors are
    /// exhausted, and waits until a connection may be accepted again.
    pub async fn recover(&self, error: &io::Error) {
        match is_exhausted(error) && self.callers.evict_idle() {
            true => task::yield_now().await,
            false => time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
