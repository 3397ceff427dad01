//! The record of a case: what was sent, answered and run, each line with its time.

use std::{
    fs, io,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record that all threads write to.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Record {
    fn default() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }
}

impl Record {
    /// Adds a line, and prints it.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the record to a file.
    pub fn save(&self, path: &str) -> io::Result<()> {
        fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}
