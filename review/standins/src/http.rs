//! HTTP/1.1 messages on a blocking socket.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The largest head or body that is read, in bytes.
const LIMIT: usize = 4 << 20;

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection and what was read from it beyond the last message.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Conn {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    /// Reads the next head; `None` if the peer closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.input, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if !self.fill()? {
                return if self.input.is_empty() { Ok(None) } else { Err(too_short()) };
            }
        }
    }

    /// Reads the body of a message whose head states its length.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let len = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.input.len() < len {
            if !self.fill()? {
                return Err(too_short());
            }
        }
        Ok(self.input.drain(..len).collect())
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads once; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        if self.input.len() > LIMIT {
            return Err(io::Error::other("a message is too large"));
        }
        let mut buf = [0; 16 * 1024];
        let n = self.stream.read(&mut buf)?;
        self.input.extend_from_slice(&buf[..n]);
        Ok(n > 0)
    }
}

fn too_short() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended within a message")
}

fn find(input: &[u8], what: &[u8]) -> Option<usize> {
    input.windows(what.len()).position(|part| part == what)
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").split(' ').map(str::to_owned).collect();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    Head { first, headers: lines.filter_map(header).collect() }
}

/// The bytes of an answer.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}
