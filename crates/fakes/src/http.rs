//! HTTP requests and answers of the fakes.

use std::{
    fmt::Write as _,
    io::{self, Write},
};

use indexmap::IndexMap;
use serde_json::{Value, json};

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) path: Vec<String>,
    pub(crate) query: IndexMap<String, String>,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// The answer of a handler.
pub(crate) enum Answer {
    /// A status with a JSON body.
    Json(u16, Value),
    /// Server-sent events; the function writes them and returns whether to close the connection.
    Stream(Box<dyn FnOnce(&mut EventStream) -> bool + Send>),
}

/// Answers calls to a fake.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(&self, call: &Call) -> Answer;

    /// Returns whether a caller that accepts an event stream gets keep-alive comments until the
    /// answer, which is then the only event of the stream.
    fn sends_keep_alives(&self, _call: &Call) -> bool {
        false
    }
}

impl Call {
    pub(crate) fn new(
        method: String,
        target: String,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
    ) -> Call {
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path.split('/').filter(|part| !part.is_empty()).map(percent_decode).collect();
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (percent_decode(name), percent_decode(value)))
            .collect();
        Call { method, target, path, query, headers, body }
    }

    /// Returns the method and the decoded path segments.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        (&self.method, self.path.iter().map(String::as_str).collect())
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    /// Returns a numeric query parameter, or `None` if it is absent.
    ///
    /// Returns a 400 answer as the error if it is malformed.
    pub(crate) fn query_number(&self, name: &str) -> Result<Option<u64>, Answer> {
        let parse = |text: &String| text.parse().map_err(|_| error(400, name));
        self.query.get(name).map(parse).transpose()
    }

    /// Decodes the JSON body; returns a 400 answer as the error if it is malformed.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|it| error(400, &it.to_string()))
    }

    /// Returns the request as text, with head and body.
    pub(crate) fn transcript(&self) -> String {
        let mut out = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            let _ = write!(out, "{name}: {value}\r\n");
        }
        out.push_str("\r\n");
        out.push_str(&String::from_utf8_lossy(&self.body));
        out
    }
}

/// Returns a JSON error answer.
pub(crate) fn error(status: u16, message: &str) -> Answer {
    Answer::Json(status, json!({ "error": message }))
}

/// Decodes percent escapes; malformed ones are copied unchanged.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let digits = text.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        match digits.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Writes server-sent events in the chunked transfer coding.
pub(crate) struct EventStream {
    writer: Box<dyn Write + Send>,
}

impl EventStream {
    /// Writes the response head.
    pub(crate) fn start(mut writer: Box<dyn Write + Send>) -> io::Result<EventStream> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(EventStream { writer })
    }

    pub(crate) fn data(&mut self, value: &Value) -> io::Result<()> {
        self.chunk(&format!("data: {value}\n\n"))
    }

    /// Writes an empty comment, which clients ignore, as a keep-alive.
    pub(crate) fn comment(&mut self) -> io::Result<()> {
        self.chunk(":\n\n")
    }

    /// Writes the last chunk, which ends the response properly.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }
}
