//! Requests of callers and the answers to them.

use super::{WAIT_TIMEOUT, read_some};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// An answer as a caller receives it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if the connection ended before a complete head.
    pub status: u16,
    /// Status line and headers in lower case.
    pub head: String,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the body is as long as its `Content-Length`.
    pub is_whole: bool,
}

impl Answer {
    /// Value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(start.as_str()))
    }
}

/// Sends a request on a new connection and reads the answer up to the end of the connection.
pub fn send_request(address: SocketAddr, head: &str, body: &[u8]) -> Answer {
    let Ok(mut io) = TcpStream::connect(address) else { return Answer::default() };
    io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    // An instance that ends may reset a connection that it has not accepted, and one that rejects the
    // request early may close before it has read the whole body. What was received shows that.
    let _ = io.write_all(format!("{head}{length}Connection: close\r\n\r\n").as_bytes());
    let _ = io.write_all(body);
    let mut bytes = Vec::new();
    let _ = io.read_to_end(&mut bytes);
    parse(&bytes)
}

/// A connection that a caller uses for several requests.
pub struct PersistentConnection {
    io: TcpStream,
    unread: Vec<u8>,
}

impl PersistentConnection {
    /// Connects; `None` if nothing listens on the address.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let io = TcpStream::connect(address).ok()?;
        io.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        Some(Self { io, unread: Vec::new() })
    }

    /// Sends a request and reads its answer; `None` if the connection ends before that.
    pub fn send_request(&mut self, head: &str, body: &[u8]) -> Option<Answer> {
        let length = format!("Content-Length: {}\r\n\r\n", body.len());
        let mut request = format!("{head}{length}").into_bytes();
        request.extend_from_slice(body);
        self.send(&request)?;
        self.read_answer()
    }

    /// Sends bytes; `None` if the connection has ended.
    pub fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.io.write_all(bytes).ok()
    }

    /// Reads the next answer; `None` if the connection ends before that.
    pub fn read_answer(&mut self) -> Option<Answer> {
        let mut chunk = [0; 64 * 1024];
        loop {
            if let Some((answer, len)) = first_answer(&self.unread) {
                self.unread.drain(..len);
                return Some(answer);
            }
            let n = read_some(&mut self.io, &mut chunk).ok().filter(|n| *n > 0)?;
            self.unread.extend_from_slice(&chunk[..n]);
        }
    }
}

/// The first answer, which has a `Content-Length` unless it is an interim one (1xx), and the number
/// of its bytes; `None` if it is not complete.
fn first_answer(bytes: &[u8]) -> Option<(Answer, usize)> {
    let head_len = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = parse(&bytes[..head_len]);
    let body_len: usize = match head.header("content-length") {
        Some(text) => text.parse().ok()?,
        None => (100..200).contains(&head.status).then_some(0)?,
    };
    let len = head_len + body_len;
    (bytes.len() >= len).then(|| (parse(&bytes[..len]), len))
}

fn parse(bytes: &[u8]) -> Answer {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.get(9..12).and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = bytes[end + 4..].to_vec();
    let mut answer = Answer { status, head, body, is_whole: false };
    let length = answer.header("content-length").and_then(|text| text.parse().ok());
    answer.is_whole = length == Some(answer.body.len());
    answer
}
