//! The connections that a listener serves at a time.
//!
//! A connection on which no whole request has arrived yields its place to a new one when all places
//! are taken, the one that has waited for longest first, so that callers who send nothing cannot keep
//! out those who do.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;
use tokio::sync::Notify;

use self::table::Table;

/// The places of a listener.
#[derive(Debug)]
pub struct Places {
    most: usize,
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

impl Places {
    /// Creates a number of places.
    pub fn new(most: usize) -> Arc<Places> {
        Arc::new(Places { most, table: Mutex::default() })
    }

    /// Takes a place for a new connection; none if requests are under way on all others.
    pub fn take(self: &Arc<Places>) -> Option<Place> {
        let mut table = self.lock();
        if table.open.len() >= self.most {
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
        Some(Place { places: self.clone(), number, told })
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of one connection, free again when it is dropped.
#[derive(Debug)]
pub struct Place {
    places: Arc<Places>,
    number: u64,
    told: Arc<Notify>,
}

impl Place {
    /// Notes that a request has arrived: the place is kept until it is answered.
    pub fn keep(&self) {
        self.places.lock().waiting.shift_remove(&self.number);
    }

    /// Notes that no request is under way.
    pub fn wait(&self) {
        let mut table = self.places.lock();
        if table.open.contains_key(&self.number) {
            table.waiting.insert(self.number);
        }
    }

    /// Waits until the place is to be given up.
    pub async fn yielded(&self) {
        self.told.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.places.lock();
        table.open.remove(&self.number);
        table.waiting.shift_remove(&self.number);
    }
}
