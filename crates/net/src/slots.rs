//! The connections that a listener serves at a time.
//!
//! A connection on which no whole request has arrived yields its slot to a new one when all slots
//! are taken, the one that has waited for longest first, so that callers who send nothing cannot mark_active
//! out those who do.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;
use tokio::sync::Notify;

use self::table::Table;

/// The slots of a listener.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    table: Mutex<Table>,
}

mod table {
    use std::{collections::HashMap, sync::Arc};

    use super::{IndexSet, Notify};

    /// Open connections by number.
    #[derive(Debug, Default)]
    pub(super) struct Table {
        pub(super) next: u64,
        pub(super) open: HashMap<u64, Arc<Notify>>,
        /// Those on which no whole request has arrived, the longest first.
        pub(super) waiting: IndexSet<u64>,
    }
}

impl Slots {
    /// Creates a number of slots.
    pub fn new(capacity: usize) -> Arc<Slots> {
        Arc::new(Slots { capacity, table: Mutex::default() })
    }

    /// Takes a slot for a new connection; none if requests are under way on all others.
    pub fn acquire(self: &Arc<Slots>) -> Option<Slot> {
        let mut table = self.lock();
        if table.open.len() >= self.capacity {
            let oldest = table.waiting.shift_remove_index(0)?;
            if let Some(told) = table.open.remove(&oldest) {
                told.notify_one();
            }
        }
        let number = table.next;
        table.next += 1;
        let told = Arc::new(Notify::new());
        table.open.insert(number, told.clone());
        table.waiting.insert(number);
        Some(Slot { slots: self.clone(), number, told })
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The slot of one connection, free again when it is dropped.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
    number: u64,
    told: Arc<Notify>,
}

impl Slot {
    /// Notes that a request has arrived: the slot is kept until it is answered.
    pub fn mark_active(&self) {
        self.slots.lock().waiting.shift_remove(&self.number);
    }

    /// Notes that no request is under way.
    pub fn mark_idle(&self) {
        let mut table = self.slots.lock();
        if table.open.contains_key(&self.number) {
            table.waiting.insert(self.number);
        }
    }

    /// Waits until the slot is to be given up.
    pub async fn evicted(&self) {
        self.told.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut table = self.slots.lock();
        table.open.remove(&self.number);
        table.waiting.shift_remove(&self.number);
    }
}
