//! Threads for blocking calls.

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

/// Most threads of one instance; more calls wait.
const MAX_THREADS: usize = 1_024;
/// Stack of a thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Time after which an idle thread ends.
const IDLE: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Runs blocking calls on threads that come and go with demand.
#[derive(Clone)]
pub struct Workers {
    shared: Arc<Shared>,
}

struct Shared {
    sender: Sender<Job>,
    receiver: Receiver<Job>,
    /// Threads that wait for a job, less the jobs that wait for a thread.
    idle: AtomicUsize,
    threads: AtomicUsize,
}

impl Workers {
    /// Starts with no thread.
    pub fn open() -> Workers {
        let (sender, receiver) = unbounded();
        let (idle, threads) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Workers { shared: Arc::new(Shared { sender, receiver, idle, threads }) }
    }

    /// Runs a job on an idle thread, or on a new one.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        let idle = &self.shared.idle;
        let took = idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1));
        let job: Job = Box::new(job);
        let room = self.shared.threads.load(Ordering::Acquire) < MAX_THREADS;
        match took {
            Err(_) if room => self.spawn(job).unwrap_or_else(|error| {
                log::error!("cannot start a thread: {error}");
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

    /// Returns the next job, or none once this thread has taken itself off the idle ones.
    fn next(&self) -> Option<Job> {
        loop {
            if let Ok(job) = self.receiver.recv_timeout(IDLE) {
                return Some(job);
            }
            let left =
                self.idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1));
            if left.is_ok() {
                return None;
            }
        }
    }
}
