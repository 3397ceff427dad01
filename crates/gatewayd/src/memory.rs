//! Accounting of the bytes that are buffered for callers and endpoints.
//!
//! One budget covers bodies that are being read, requests in progress, answers that wait for their
//! caller, and events of streams. Without it, many peers that read slowly take the memory of the
//! process together, although each of them has a limit.

use std::{cell::Cell, rc::Rc};

use tokio::sync::Notify;

/// Budget of a process whose memory limit is not known, in bytes.
const DEFAULT_BYTES: usize = 16 << 20;
/// Part of the process's memory that may be used for buffers.
const BUDGET_SHARE: usize = 4;

#[derive(Debug)]
struct Shared {
    used: Cell<usize>,
    limit: usize,
    released: Notify,
}

/// The budget for buffered bytes.
#[derive(Debug, Clone)]
pub struct Memory(Rc<Shared>);

impl Default for Memory {
    fn default() -> Memory {
        Memory::with_limit(DEFAULT_BYTES)
    }
}

impl Memory {
    /// Creates the budget of a process that may use `process_bytes`, if that is known.
    pub fn new(process_bytes: Option<usize>) -> Memory {
        process_bytes.map_or_else(Memory::default, |it| Memory::with_limit(it / BUDGET_SHARE))
    }

    /// Creates a budget of `limit` bytes.
    pub fn with_limit(limit: usize) -> Memory {
        Memory(Rc::new(Shared { used: Cell::default(), limit, released: Notify::new() }))
    }

    /// Returns whether as many bytes more exceed the budget.
    pub fn is_exceeded_by(&self, bytes: usize) -> bool {
        self.0.used.get() + bytes > self.0.limit
    }

    /// Returns whether as many bytes more exceed twice the budget, which also bounds small buffers.
    pub fn is_exhausted_by(&self, bytes: usize) -> bool {
        self.0.used.get() + bytes > 2 * self.0.limit
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Counts bytes as used until the result is dropped.
    pub fn charge(&self, bytes: usize) -> Charge {
        let mut charge = Charge { bytes: 0, memory: self.clone() };
        charge.add(bytes);
        charge
    }

    /// Waits until some bytes have been released.
    pub async fn released(&self) {
        self.0.released.notified().await;
    }
}

/// Bytes that count as used until they are released.
#[derive(Debug)]
pub struct Charge {
    bytes: usize,
    memory: Memory,
}

impl Charge {
    /// Counts further bytes.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        let used = &self.memory.0.used;
        used.set(used.get() + bytes);
    }

    /// Releases some of the bytes.
    pub fn release(&mut self, bytes: usize) {
        let released = bytes.min(self.bytes);
        self.bytes -= released;
        let used = &self.memory.0.used;
        used.set(used.get() - released);
        self.memory.0.released.notify_waiters();
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
