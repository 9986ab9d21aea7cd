//! A backend server whose answers are the exact bytes that a test writes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::sync::Arc;

/// Load report of an idle server.
const REPORT: &str = "galenapath-report: in-flight=0;waiting=0;slots=6;leaving=0\r\n";

/// A request as the backend server received it.
pub struct Request {
    /// Method and path.
    pub line: String,
    /// Header lines in lower case.
    pub headers: String,
    /// Body without its framing.
    pub body: Vec<u8>,
}

impl Request {
    /// Path with its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Writes an answer with a length and a load report.
pub fn answer_ok(io: &mut TcpStream, body: &[u8]) -> ControlFlow<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{REPORT}content-length: {}\r\n\r\n", body.len());
    write(io, &[head.as_bytes(), body].concat())
}

/// Writes bytes; ends the connection if the peer has closed it.
fn write(io: &mut TcpStream, bytes: &[u8]) -> ControlFlow<()> {
    match io.write_all(bytes) {
        Ok(()) => ControlFlow::Continue(()),
        Err(_) => ControlFlow::Break(()),
    }
}

/// A listening server. It answers load queries itself, without the handler of the test.
pub struct FakeServer {
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl FakeServer {
    /// Serves each request with `handler`; `Break` from it closes the connection.
    pub fn start(
        handler: impl Fn(&mut TcpStream, Request) -> ControlFlow<()> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Arc::new(handler);
        std::thread::spawn(move || {
            for io in listener.incoming().map_while(Result::ok) {
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || serve(io, &*handler));
            }
        });
        Self { address }
    }

    /// Answers every request with the same bytes and closes.
    pub fn fixed(answer: impl Into<Vec<u8>>) -> Self {
        let answer = answer.into();
        Self::start(move |io, _| {
            let _ = io.write_all(&answer);
            ControlFlow::Break(())
        })
    }
}

fn serve(mut io: TcpStream, handler: &dyn Fn(&mut TcpStream, Request) -> ControlFlow<()>) {
    let _ = io.set_nodelay(true);
    let mut reader = BufReader::new(io.try_clone().unwrap());
    while let Some(req) = read_request(&mut reader) {
        let flow = match req.path() {
            "/.well-known/load" => {
                let head = format!("HTTP/1.1 200 OK\r\n{REPORT}content-length: 0\r\n\r\n");
                write(&mut io, head.as_bytes())
            }
            _ => handler(&mut io, req),
        };
        if flow.is_break() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader)?;
    let mut headers = String::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        headers.push_str(&line.to_ascii_lowercase());
        headers.push('\n');
    }
    let length = headers.lines().find_map(|line| line.strip_prefix("content-length: "));
    let body = match length {
        Some(length) => read_exact(reader, length.parse().ok()?)?,
        None if headers.contains("transfer-encoding: chunked") => read_chunks(reader)?,
        None => Vec::new(),
    };
    Some(Request { line, headers, body })
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    Some(line.trim_end_matches("\r\n").to_owned())
}

fn read_exact(reader: &mut BufReader<TcpStream>, length: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
        body.extend(read_exact(reader, size)?);
        read_line(reader)?;
        if size == 0 {
            return Some(body);
        }
    }
}
