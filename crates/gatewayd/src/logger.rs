//! Structured log lines on standard output, written without blocking the caller.

use std::{
    collections::HashMap,
    io::Write as _,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crossbeam::channel::{self, Sender};
use log::{LevelFilter, Log, Metadata};
use serde_json::{Map, Value, json};
use siskinstile_gateway::record::{self, Record};

/// Maximum number of lines that wait to be written; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 2_048;

/// Longest text in a line, in bytes; names and values that others have written may be much longer.
const MAX_TEXT_BYTES: usize = 4 << 10;
/// What a text ends with that has been cut.
const CUT: char = '\u{2026}';

/// Name in lines that are written before the name of the instance is known.
const UNKNOWN_INSTANCE: &str = "unknown";

/// Longest time for which the end of a process waits for its lines to be written.
const MAX_FLUSH_TIME: Duration = Duration::from_secs(1);
/// Lines of one code that may be written at once, if they concern no request.
const MAX_BURST: f64 = 20.0;
/// Lines of one code that may be written each second after that.
const MAX_LINES_PER_SECOND: f64 = 2.0;

/// Limit on the lines of one code that concern no request, so that their number does not grow with
/// the number of peers or endpoints. Lines about requests are bounded by the requests.
#[derive(Debug)]
struct Limit {
    /// Lines that may be written now.
    available: f64,
    refilled_at: Instant,
    /// Lines left out since the last one written.
    left_out: u64,
}

impl Limit {
    fn new(now: Instant) -> Limit {
        Limit { available: MAX_BURST, refilled_at: now, left_out: 0 }
    }

    /// Returns the number of lines left out before this one; `None` if this one is left out too.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * MAX_LINES_PER_SECOND).min(MAX_BURST);
        self.refilled_at = now;
        match self.available >= 1.0 {
            true => {
                self.available -= 1.0;
                Some(std::mem::take(&mut self.left_out))
            }
            false => {
                self.left_out += 1;
                None
            }
        }
    }
}

/// What the writer thread gets.
#[derive(Debug)]
pub enum Message {
    /// A line to write.
    Line(String),
    /// All lines before are to be written; then the sender is dropped.
    Flush(Sender<()>),
}

/// Queues log lines for a thread that writes them to standard output.
#[derive(Debug, Clone)]
pub struct Logger {
    messages: Sender<Message>,
    started_at: Instant,
    dropped: Arc<AtomicU64>,
    /// By code.
    limits: Arc<Mutex<HashMap<u16, Limit>>>,
    /// Name of the instance, once it is known.
    instance: Arc<OnceLock<Arc<str>>>,
}

impl Logger {
    /// Starts the writer thread; the name of the instance is not known yet.
    pub fn spawn() -> std::io::Result<Logger> {
        let (messages, written) = channel::bounded(QUEUE_CAPACITY);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            for message in written {
                write_out(message);
            }
        })?;
        Ok(Logger::unnamed(messages))
    }

    /// Creates a logger that queues lines to `messages`; `instance` is the name in each line.
    pub fn new(messages: Sender<Message>, instance: &str) -> Logger {
        let logger = Logger::unnamed(messages);
        logger.set_instance(instance);
        logger
    }

    fn unnamed(messages: Sender<Message>) -> Logger {
        let (dropped, limits, instance) = (Arc::default(), Arc::default(), Arc::default());
        Logger { messages, started_at: Instant::now(), dropped, limits, instance }
    }

    /// Returns the time since the logger was started.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Waits until the lines so far are written, but no longer than `MAX_FLUSH_TIME`; for the end of a process.
    pub fn flush(&self) {
        let deadline = Instant::now() + MAX_FLUSH_TIME;
        let (done, written) = channel::bounded(0);
        if self.messages.send_deadline(Message::Flush(done), deadline).is_ok() {
            // The sender is dropped as soon as the lines are written; nothing is sent.
            let _ = written.recv_deadline(deadline);
        }
    }

    /// Sets the name in each later line, if it has not been set.
    pub fn set_instance(&self, name: &str) {
        self.instance.get_or_init(|| name.into());
    }

    /// Installs this logger for the messages of the `log` crate, down to the given severity.
    ///
    /// Only the first call in a process has an effect; tests create several loggers.
    pub fn install(&self, level: LevelFilter) {
        if log::set_boxed_logger(Box::new(self.clone())).is_ok() {
            log::set_max_level(level);
        }
    }

    /// Queues a line, or drops it if the queue is full or there are too many with its code; a later
    /// line states how many were dropped.
    pub fn write(&self, record: &Record) {
        let left_out = match record.request {
            Some(_) => Some(0),
            None => self.take(record.code.number),
        };
        let Some(left_out) = left_out else { return };
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let text = self.line(record, dropped + left_out);
        if self.messages.try_send(Message::Line(text)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn take(&self, code: u16) -> Option<u64> {
        let now = Instant::now();
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.entry(code).or_insert_with(|| Limit::new(now)).take(now)
    }

    fn line(&self, record: &Record, dropped: u64) -> String {
        let mut line = Map::new();
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        line.insert("time_ms".to_owned(), json!(time.as_millis() as u64));
        line.insert("level".to_owned(), json!(record.code.level.as_str()));
        line.insert("code".to_owned(), json!(record.code.number));
        line.insert("event".to_owned(), json!(record.code.text));
        line.insert(
            "instance".to_owned(),
            json!(self.instance.get().map_or(UNKNOWN_INSTANCE, |it| it)),
        );
        if let Some(request) = &record.request {
            line.insert("request".to_owned(), json!(&**request));
        }
        let fields = record.fields.iter().filter(|(_, value)| !value.is_null());
        line.extend(fields.map(|(name, value)| ((*name).to_owned(), bounded(value))));
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

    fn flush(&self) {
        Logger::flush(self);
    }
}

/// Returns a value, cut if it is a text that is too long.
fn bounded(value: &Value) -> Value {
    match value {
        Value::String(text) if text.len() > MAX_TEXT_BYTES => {
            let ends = text.char_indices().map(|(at, _)| at).take_while(|it| *it <= MAX_TEXT_BYTES);
            let kept = &text[..ends.last().unwrap_or_default()];
            json!(format!("{kept}{CUT}"))
        }
        _ => value.clone(),
    }
}

fn write_out(message: Message) {
    let mut out = std::io::stdout();
    // There is no other output to report a failed write to.
    let _ = match message {
        Message::Line(line) => out.write_all(line.as_bytes()),
        Message::Flush(_) => out.flush(),
    };
}
