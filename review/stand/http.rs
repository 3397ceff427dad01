//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
};

/// A request or a response.
#[derive(Clone, Default, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    headers: Vec<(String, String)>,
    /// The body, without the framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns whether the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"))
    }

    /// Returns the length of the body that the head states.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// A connection.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        let reader = BufReader::with_capacity(1 << 10, stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    /// Writes bytes; returns whether that succeeded.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> Option<Message> {
        let mut message = Message { start: self.read_line()?, ..Message::default() };
        loop {
            let line = self.read_line()?;
            match line.split_once(':') {
                _ if line.is_empty() => return Some(message),
                Some((name, value)) => {
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
                None => return None,
            }
        }
    }

    /// Reads a message with its whole body; `None` at the end of the connection.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if message.is_chunked() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else {
            message.body = vec![0; message.length()];
            self.reader.read_exact(&mut message.body).ok()?;
        }
        Some(message)
    }

    /// Reads a chunk: `Some(None)` for the last one, `None` if the connection ends before.
    pub fn read_chunk(&mut self) -> Option<Option<Vec<u8>>> {
        let length = usize::from_str_radix(self.read_line()?.trim(), 16).ok()?;
        let mut chunk = vec![0; length];
        self.reader.read_exact(&mut chunk).ok()?;
        self.read_line()?;
        Some((length > 0).then_some(chunk))
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(length) if length > 0 && line.ends_with('\n') => {}
            _ => return None,
        }
        Some(line.trim_end_matches(['\r', '\n']).to_owned())
    }

    /// Closes the connection.
    pub fn close(&self) {
        // The other end may have closed it already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Returns a response with a JSON body.
pub fn json(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Accepts connections in a thread, each with a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + Clone + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            if let Ok(connection) = Connection::new(stream) {
                thread::spawn(move || handle(connection));
            }
        }
    });
}

/// Sends a GET and returns the status; 0 without an answer.
pub fn get(address: SocketAddr, path: &str) -> u16 {
    let Ok(stream) = TcpStream::connect(address) else { return 0 };
    let Ok(mut connection) = Connection::new(stream) else { return 0 };
    connection.write(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    connection.read_head().map_or(0, |it| it.status())
}
