//! HTTP/1.1 as far as the stand-ins need it: heads, and bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut same = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        same.next().map(|(_, value)| value.as_str())
    }

    /// Status code of an answer; zero if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.word(0)
    }

    /// Path of a request, without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Value of a query parameter, decoded; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| decode(value)).unwrap_or_default()
    }

    fn target(&self) -> &str {
        self.word(1)
    }

    fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or("")
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        if b != b'%' {
            bytes.push(b);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let text = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection and the bytes that were received behind the last message.
pub struct Conn {
    pub io: TcpStream,
    rest: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Self { io, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buf = [0; 16 * 1024];
        match self.io.read(&mut buf)? {
            0 => Err(ended()),
            n => {
                self.rest.extend_from_slice(&buf[..n]);
                Ok(())
            }
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < len {
            self.fill()?;
        }
        let behind = self.rest.split_off(len);
        Ok(std::mem::replace(&mut self.rest, behind))
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.rest.iter().position(|b| *b == b'\n') {
                let line = self.take(at + 1)?;
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(message);
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the next message, a body without a length to the end of the connection only if
    /// `is_answer`.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = length {
            message.body = self.take(length)?;
        } else if is_answer && !matches!(message.status(), 204 | 304) {
            while self.fill().is_ok() {}
            message.body = std::mem::take(&mut self.rest);
        }
        Ok(message)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let digits = line.split(';').next().unwrap_or("").trim();
            let len = usize::from_str_radix(digits, 16).map_err(io::Error::other)?;
            if len == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(len)?);
            self.take_line()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes)
    }
}

/// The bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}
