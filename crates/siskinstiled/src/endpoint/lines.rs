//! Answers of engines, whose lines and bodies have a limit.

use std::io::{self, BufRead as _, BufReader, Read};

use serde_json::Value;

/// Maximum size of a line of an event stream, and of a JSON body, in bytes.
const MAX_BYTES: u64 = 1 << 20;

/// The lines of an event stream, each with its end.
pub(super) struct Lines<R>(BufReader<R>);

impl<R: Read> Lines<R> {
    pub(super) fn new(stream: R) -> Lines<R> {
        Lines(BufReader::new(stream))
    }
}

impl<R: Read> Iterator for Lines<R> {
    type Item = io::Result<String>;

    fn next(&mut self) -> Option<io::Result<String>> {
        let mut line = String::new();
        match self.0.by_ref().take(MAX_BYTES).read_line(&mut line) {
            Ok(0) => None,
            Ok(_) if line.len() as u64 == MAX_BYTES && !line.ends_with('\n') => {
                Some(Err(io::ErrorKind::InvalidData.into()))
            }
            Ok(_) => Some(Ok(line)),
            Err(error) => Some(Err(error)),
        }
    }
}

/// Reads a JSON body; returns null for one that is malformed, too large or broken off.
pub(super) fn read_json(body: impl Read) -> Value {
    serde_json::from_reader(BufReader::new(body.take(MAX_BYTES))).unwrap_or(Value::Null)
}
