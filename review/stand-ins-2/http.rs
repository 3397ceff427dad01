//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client for single requests.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1)
    }

    /// Status of a response; 0 if this is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what has been read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, ahead: Vec::new() }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a line without its end; none at the end of the connection.
    pub fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.more().ok()? == 0 {
                return None;
            }
        }
    }

    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.ahead.len() < count {
            if self.more().ok()? == 0 {
                return None;
            }
        }
        Some(self.ahead.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> Option<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(Message { first, headers, body: Vec::new() });
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the body of a message whose head states its end; returns whether it is whole.
    pub fn body(&mut self, message: &mut Message) -> bool {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            return self.chunks(message).is_some();
        }
        let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        match self.exactly(length) {
            Some(body) => {
                message.body = body;
                true
            }
            None => false,
        }
    }

    fn chunks(&mut self, message: &mut Message) -> Option<()> {
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            let chunk = self.exactly(size)?;
            message.body.extend(chunk);
            self.line()?;
            if size == 0 {
                return Some(());
            }
        }
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        self.body(&mut message).then_some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, headers: &[(&str, &str)], body: &str) -> bool {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        self.write(text.as_bytes())
    }
}

/// Serves connections at an address, each in a thread of its own.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&mut Connection) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a free address");
    let own = listener.local_addr().expect("a bound listener");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(&mut Connection::new(stream)));
        }
    });
    own
}

/// Sends one request on a new connection and reads the answer; none if it is not whole.
pub fn request(address: SocketAddr, text: &str, timeout: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut connection = Connection::new(stream);
    if !connection.write(text.as_bytes()) {
        return None;
    }
    connection.message()
}
