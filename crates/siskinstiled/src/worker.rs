//! A pool of threads for blocking calls.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, unbounded};

/// Maximum number of threads; further jobs wait in a queue.
const MAX_THREADS: usize = 1_024;
/// Stack size of a thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Time without a job after which a thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Runs blocking calls on threads that are started on demand and end when idle.
#[derive(Clone)]
pub struct Workers {
    shared: Arc<Shared>,
}

struct Shared {
    sender: Sender<Job>,
    receiver: Receiver<Job>,
    /// Number of threads that wait for a job, minus the number of jobs queued for them.
    idle: AtomicUsize,
    threads: AtomicUsize,
}

impl Workers {
    /// Creates a pool without threads.
    pub fn empty() -> Workers {
        let (sender, receiver) = unbounded();
        let (idle, threads) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Workers { shared: Arc::new(Shared { sender, receiver, idle, threads }) }
    }

    /// Runs a job on an idle thread or a new one.
    ///
    /// With `MAX_THREADS` busy threads, queues the job for the next one that becomes free.
    /// Logs an error if a thread cannot be started; the job is then dropped.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        let idle = &self.shared.idle;
        let reserved = idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1));
        let job: Job = Box::new(job);
        let below_limit = self.shared.threads.load(Ordering::Acquire) < MAX_THREADS;
        match reserved {
            Err(_) if below_limit => self.spawn(job).unwrap_or_else(|error| {
                log::error!("cannot start a worker thread: {error}");
            }),
            _ => drop(self.shared.sender.send(job)),
        }
    }

    fn spawn(&self, first: Job) -> io::Result<()> {
        let shared = self.shared.clone();
        shared.threads.fetch_add(1, Ordering::AcqRel);
        let builder = thread::Builder::new().name("worker".into()).stack_size(STACK_BYTES);
        builder.spawn(move || shared.work(first)).map(drop)
    }
}

impl Shared {
    fn work(&self, first: Job) {
        let mut job = first;
        loop {
            job();
            self.idle.fetch_add(1, Ordering::AcqRel);
            match self.next() {
                Some(next) => job = next,
                None => break,
            }
        }
        self.threads.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the next job, or `None` once this thread has removed itself from the idle count.
    ///
    /// An idle count of zero after [`IDLE_TIMEOUT`] means that a job for this thread is on its way.
    fn next(&self) -> Option<Job> {
        loop {
            if let Ok(job) = self.receiver.recv_timeout(IDLE_TIMEOUT) {
                return Some(job);
            }
            let removed =
                self.idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1));
            if removed.is_ok() {
                return None;
            }
        }
    }
}
