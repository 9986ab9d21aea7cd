//! A caller that sends arbitrary bytes and parses answers strictly.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest time to wait for bytes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer as a caller receives it.
#[derive(Debug)]
pub struct Answer {
    /// Status; 0 if the connection ended before a complete head.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub is_whole: bool,
}

impl Answer {
    /// Value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Value of the verdict header; empty if it is missing.
    pub fn verdict(&self) -> &str {
        self.header("galenapath-verdict").unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller's connection.
pub struct Client {
    /// The socket.
    pub io: TcpStream,
    input: Vec<u8>,
}

/// Requests `path` of service `s` on a new connection.
pub fn get(address: SocketAddr, path: &str, headers: &str) -> Answer {
    let mut client = Client::connect(address);
    client.get(path, headers);
    client.answer()
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).unwrap()
    }

    /// Connects to an instance that may be gone.
    pub fn try_connect(address: SocketAddr) -> std::io::Result<Self> {
        Self::of(TcpStream::connect(address)?)
    }

    /// Uses a connected socket.
    pub fn of(io: TcpStream) -> std::io::Result<Self> {
        io.set_read_timeout(Some(WAIT_TIMEOUT))?;
        io.set_nodelay(true)?;
        Ok(Self { io, input: Vec::new() })
    }

    pub fn send(&mut self, text: &str) {
        self.io.write_all(text.as_bytes()).unwrap();
    }

    /// Sends a request without a body; `headers` are whole lines.
    pub fn get(&mut self, path: &str, headers: &str) {
        self.send(&format!("GET {path} HTTP/1.1\r\nHost: s\r\n{headers}\r\n"));
    }

    /// Reads the next answer.
    pub fn answer(&mut self) -> Answer {
        self.answer_to("GET")
    }

    /// Reads the next answer to a request with `method`.
    pub fn answer_to(&mut self, method: &str) -> Answer {
        let mut answer =
            Answer { status: 0, headers: Vec::new(), body: Vec::new(), is_whole: false };
        let Some(head) = self.take_until(b"\r\n\r\n") else { return answer };
        let head = String::from_utf8(head).unwrap();
        let mut lines = head.split("\r\n");
        answer.status = lines.next().unwrap()[9..12].parse().unwrap();
        answer.headers = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect();
        let is_bodiless =
            method == "HEAD" || answer.status < 200 || [204, 304].contains(&answer.status);
        let length = answer.header("content-length").map(|n| n.parse::<usize>().unwrap());
        if is_bodiless {
            answer.is_whole = true;
        } else if let Some(length) = length {
            answer.is_whole = self.fill_to(length);
            let have = length.min(self.input.len());
            answer.body = self.input.drain(..have).collect();
        } else if answer.header("transfer-encoding") == Some("chunked") {
            answer.is_whole = self.chunks(&mut answer.body);
        } else {
            while self.fill() {}
            answer.body = std::mem::take(&mut self.input);
            answer.is_whole = true;
        }
        answer
    }

    /// Whether the instance has closed the connection and sent nothing more.
    pub fn is_closed(&mut self) -> bool {
        self.input.is_empty() && !self.fill()
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.take_until(b"\r\n") else { return false };
            let line = String::from_utf8(line).unwrap();
            let size = usize::from_str_radix(line.trim_end(), 16).unwrap();
            let is_complete = self.fill_to(size + 2);
            let have = size.min(self.input.len());
            body.extend(self.input.drain(..have));
            if !is_complete {
                return false;
            }
            assert_eq!(self.input.drain(..2).collect::<Vec<_>>(), b"\r\n");
            if size == 0 {
                return true;
            }
        }
    }

    fn take_until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self.input.windows(end.len()).position(|w| w == end) {
                return Some(self.input.drain(..at + end.len()).collect());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn fill_to(&mut self, length: usize) -> bool {
        while self.input.len() < length {
            if !self.fill() {
                return false;
            }
        }
        true
    }

    /// Reads once; `false` at the end of the connection.
    fn fill(&mut self) -> bool {
        let mut buf = [0; 64 * 1024];
        match self.io.read(&mut buf) {
            Ok(n) => {
                self.input.extend_from_slice(&buf[..n]);
                n > 0
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => false,
            // A process that was stopped and continued; says nothing of the peer.
            Err(e) if e.kind() == ErrorKind::Interrupted => self.fill(),
            Err(e) => panic!("read: {e}"),
        }
    }
}
