//! Structured log lines on standard output: bounded, and never waited for.

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

/// Lines that wait to be written; more are left out and counted.
const DEPTH: usize = 2_048;

/// Writes lines by a thread of its own.
#[derive(Debug, Clone)]
pub struct Logger {
    lines: Sender<String>,
    left_out: Arc<AtomicU64>,
    instance: Arc<str>,
}

impl Logger {
    /// Starts the thread that writes.
    pub fn spawn(instance: &str) -> std::io::Result<Logger> {
        let (lines, written) = channel::bounded::<String>(DEPTH);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            let mut out = std::io::stdout();
            for line in written {
                // Nobody is left to be told that the log cannot be written.
                let _ = out.write_all(line.as_bytes());
            }
        })?;
        Ok(Logger { lines, left_out: Arc::default(), instance: instance.into() })
    }

    /// Takes what the process tells by the `log` library, up to a level.
    ///
    /// The first logger of a process does; further ones of a test leave it at that.
    pub fn install(&self, level: LevelFilter) {
        if log::set_boxed_logger(Box::new(self.clone())).is_ok() {
            log::set_max_level(level);
        }
    }

    /// Writes a line, or leaves it out if too many wait.
    pub fn write(&self, record: &Record) {
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        let text = self.line(record, left_out);
        if self.lines.try_send(text).is_err() {
            self.left_out.fetch_add(left_out + 1, Ordering::Relaxed);
        }
    }

    fn line(&self, record: &Record, left_out: u64) -> String {
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
        if left_out > 0 {
            line.insert("left_out".to_owned(), json!(left_out));
        }
        format!("{}\n", Value::Object(line))
    }
}

impl Log for Logger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, told: &log::Record) {
        let line = Record::new(record::DIAGNOSTIC)
            .with("problem", told.args().to_string())
            .with("module", told.module_path())
            .with("detail", told.level().as_str().to_lowercase());
        self.write(&line);
    }

    fn flush(&self) {}
}
