//! Structured log lines on standard output, written without blocking the caller.

use std::{
    io::Write as _,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use crossbeam::channel::{self, Sender};
use log::{LevelFilter, Log, Metadata};
use serde_json::{Map, Value, json};
use siskinstile_gateway::record::{self, Record};

/// Maximum number of lines that wait to be written; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 2_048;

/// Queues log lines for a thread that writes them to standard output.
#[derive(Debug, Clone)]
pub struct Logger {
    lines: Sender<String>,
    dropped: Arc<AtomicU64>,
    instance: Arc<str>,
}

impl Logger {
    /// Starts the writer thread; `instance` is the name in each line.
    pub fn spawn(instance: &str) -> std::io::Result<Logger> {
        let (lines, written) = channel::bounded::<String>(QUEUE_CAPACITY);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            let mut out = std::io::stdout();
            for line in written {
                // There is no other output to report a failed write to.
                let _ = out.write_all(line.as_bytes());
            }
        })?;
        Ok(Logger { lines, dropped: Arc::default(), instance: instance.into() })
    }

    /// Installs this logger for the messages of the `log` crate, down to the given severity.
    ///
    /// Only the first call in a process has an effect; tests create several loggers.
    pub fn install(&self, level: LevelFilter) {
        if log::set_boxed_logger(Box::new(self.clone())).is_ok() {
            log::set_max_level(level);
        }
    }

    /// Queues a line, or drops it if the queue is full; the next line states how many were dropped.
    pub fn write(&self, record: &Record) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let text = self.line(record, dropped);
        if self.lines.try_send(text).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn line(&self, record: &Record, dropped: u64) -> String {
        let mut line = Map::new();
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        line.insert("time_ms".to_owned(), json!(time.as_millis() as u64));
        line.insert("level".to_owned(), json!(record.code.level.as_str()));
        line.insert("code".to_owned(), json!(record.code.number));
        line.insert("event".to_owned(), json!(record.code.text));
        line.insert("instance".to_owned(), json!(&*self.instance));
        if let Some(request) = &record.request {
            line.insert("request".to_owned(), json!(&**request));
        }
        let fields = record.fields.iter().filter(|(_, value)| !value.is_null());
        line.extend(fields.map(|(name, value)| ((*name).to_owned(), value.clone())));
        if dropped > 0 {
            line.insert("left_out".to_owned(), json!(dropped));
        }
        format!("{}\n", Value::Object(line))
    }
}

impl Log for Logger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, message: &log::Record) {
        let line = Record::new(record::DIAGNOSTIC)
            .with("problem", message.args().to_string())
            .with("module", message.module_path())
            .with("detail", message.level().as_str().to_lowercase());
        self.write(&line);
    }

    fn flush(&self) {}
}
