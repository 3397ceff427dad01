//! Limit on the connections that a listener serves concurrently.
//!
//! A connection is active from the arrival of a complete request until the request has been
//! answered, and idle otherwise. When all slots are taken, a new connection evicts the connection
//! that has been idle the longest, so that clients that send nothing cannot lock out those that do.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;
use tokio::sync::Notify;

use self::table::Table;

/// The connection slots of a listener.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    table: Mutex<Table>,
}

mod table {
    use std::{collections::HashMap, sync::Arc};

    use super::{IndexSet, Notify};

    /// The connections that hold a slot.
    #[derive(Debug, Default)]
    pub(super) struct Table {
        /// Number of the next connection.
        pub(super) next: u64,
        /// Eviction signals of the open connections by number.
        pub(super) open: HashMap<u64, Arc<Notify>>,
        /// Numbers of the idle connections, longest idle first.
        pub(super) idle: IndexSet<u64>,
    }

    impl Table {
        /// Takes the slot from the longest idle connection; returns whether there was one.
        pub(super) fn evict_idle(&mut self) -> bool {
            let Some(oldest) = self.idle.shift_remove_index(0) else { return false };
            if let Some(evicted) = self.open.remove(&oldest) {
                evicted.notify_one();
            }
            true
        }
    }
}

impl Slots {
    /// Creates `capacity` slots.
    pub fn new(capacity: usize) -> Arc<Slots> {
        Arc::new(Slots { capacity, table: Mutex::default() })
    }

    /// Acquires a slot for a new connection, which starts as idle.
    ///
    /// If all slots are taken, the longest idle connection is evicted; returns none if no
    /// connection is idle.
    pub fn acquire(self: &Arc<Slots>) -> Option<Slot> {
        let mut table = self.lock();
        if table.open.len() >= self.capacity && !table.evict_idle() {
            return None;
        }
        let number = table.next;
        table.next += 1;
        let evicted = Arc::new(Notify::new());
        table.open.insert(number, evicted.clone());
        table.idle.insert(number);
        Some(Slot { slots: self.clone(), number, evicted })
    }

    /// Evicts the longest idle connection; returns whether there was one.
    pub fn evict_idle(&self) -> bool {
        self.lock().evict_idle()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The slot of one connection; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
    number: u64,
    evicted: Arc<Notify>,
}

impl Slot {
    /// Marks the connection as active, so that it is not evicted; called when a request has
    /// arrived.
    pub fn mark_active(&self) {
        self.slots.lock().idle.shift_remove(&self.number);
    }

    /// Marks the connection as idle; called when its request has been answered.
    ///
    /// Has no effect on a connection that was already evicted.
    pub fn mark_idle(&self) {
        let mut table = self.slots.lock();
        if table.open.contains_key(&self.number) {
            table.idle.insert(self.number);
        }
    }

    /// Waits until the connection is evicted and has to be closed.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut table = self.slots.lock();
        table.open.remove(&self.number);
        table.idle.shift_remove(&self.number);
    }
}
