//! Structured log lines on standard output: bounded, and never waited for.

use std::{
    cell::Cell,
    io::Write as _,
    rc::Rc,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use crossbeam::channel::{self, Sender};
use serde_json::{Map, Value, json};
use siskinstile_gateway::record::Record;

/// Lines that wait to be written; more are left out and counted.
const DEPTH: usize = 2_048;

/// Writes lines by a thread of its own.
#[derive(Debug, Clone)]
pub struct Logger {
    lines: Sender<String>,
    left_out: Rc<Cell<u64>>,
    instance: Rc<str>,
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
        Ok(Logger { lines, left_out: Rc::default(), instance: instance.into() })
    }

    /// Writes a line, or leaves it out if too many wait.
    pub fn write(&self, record: &Record) {
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
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            line.insert("left_out".to_owned(), json!(left_out));
        }
        let text = format!("{}\n", Value::Object(line));
        if self.lines.try_send(text).is_err() {
            self.left_out.set(left_out + 1);
        }
    }
}
