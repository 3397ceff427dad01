//! Inner faults: a panic in what a process cannot do without ends the process, with a logged cause.
//!
//! A panic while one request is handled outside the reducer ends only that request's task.

use std::{panic, panic::AssertUnwindSafe, process, thread};

use futures_util::FutureExt as _;
use siskinstile_gateway::record::{self, Record};
use tokio::task::spawn_local;

use crate::{logger::Logger, status};

/// Exit status of a process that ends by an inner fault.
pub const EXIT_STATUS: i32 = 70;

/// Logs each panic of the process with its message and place, before what is done without this.
pub fn log_panics(logger: &Logger) {
    let logger = logger.clone();
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let problem = text.unwrap_or("unknown");
        let place = info.location().map(ToString::to_string);
        let line = Record::new(record::INNER_FAULT).with("problem", problem).with("place", place);
        status::count_line(&line);
        logger.write(&line);
        report(info);
    }));
}

/// Runs a task that the process cannot do without; a panic in it ends the process.
pub fn spawn_essential(task: impl Future<Output = ()> + 'static) {
    spawn_local(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            end_process();
        }
    });
}

/// Ends the process if it is dropped by a panic.
#[derive(Debug)]
pub struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        if thread::panicking() {
            end_process();
        }
    }
}

fn end_process() -> ! {
    log::logger().flush();
    process::exit(EXIT_STATUS)
}
